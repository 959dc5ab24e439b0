// Package directory keeps who is there: one session per carrier, with its backends. It isn't replicated through the
// register: carriers tell it every second, sorters tell one another, and what is lost is told again.
package directory

import (
	"maps"
	"slices"
	"sort"
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/resource"
	"snowflow/internal/transport/wire"
)

// SessionTimeout is how long a carrier stays a member without being heard.
const SessionTimeout = 3 * monotonic.Second

// endedSessionRetention is how long an ended session is remembered, so that old hearsay doesn't bring it back.
const endedSessionRetention = 30 * monotonic.Second

// Directory is one sorter's table of sessions.
// Invariants: of two tellings of one incarnation the one with the higher beat stands; of two incarnations the one
// heard last; shown has what carriers see of each session that stands, and its last change made the newest version.
type Directory struct {
	clock           monotonic.Clock
	source          uint64
	lock            sync.Mutex
	sessions        map[string]*sessionEntry
	activity        recentActivity // whose calls ended
	demand          recentActivity // whose tries wanted entry
	published       *resource.Set
	versions        []version // the newest last; there is always one
	droppedVersions uint64    // the versions before them
	createdAt       monotonic.Micros
}

// version is one change of what carriers are shown. Its serial is one more than the one's before it.
type version struct {
	proxy    string // which came, changed or went
	checksum uint64 // of the whole since
}

// maxVersions bounds the versions that carriers are told changes from.
const maxVersions = 4096

// lately holds, by service, when a carrier last did something.
type recentActivity map[string]map[string]monotonic.Micros

func (a recentActivity) record(service, proxy string, now monotonic.Micros) {
	if a[service] == nil {
		a[service] = map[string]monotonic.Micros{}
	}
	a[service][proxy] = now
}

func (a recentActivity) activeProxies(service string, now monotonic.Micros) (proxies []string) {
	for proxy, called := range a[service] {
		if now-called >= activityWindow {
			delete(a[service], proxy)
			continue
		}
		proxies = append(proxies, proxy)
	}
	sort.Strings(proxies)
	return proxies
}

type sessionEntry struct {
	session   *wire.Session
	lastHeard monotonic.Micros
	direct    bool
	ended     bool
}

// New makes a directory; source tells its serials from those of another life.
func New(clock monotonic.Clock, source uint64) *Directory {
	return &Directory{clock: clock, source: source, createdAt: clock.Now(), sessions: map[string]*sessionEntry{}, activity: recentActivity{}, demand: recentActivity{},
		published: resource.Empty, versions: []version{{checksum: resource.Empty.Sum().Short()}}}
}

// Observe takes a session as heard age ago. It tells whether the session is new here.
func (d *Directory) Observe(session *wire.Session, direct bool) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	heard := d.clock.Now() - monotonic.Micros(session.Age)
	present := d.sessions[session.Proxy]
	if present != nil {
		same := present.session.Incarnation == session.Incarnation
		if same && session.Heartbeat < present.session.Heartbeat || same && session.Heartbeat == present.session.Heartbeat && heard <= present.lastHeard {
			return false
		}
		if !same && heard <= present.lastHeard {
			return false
		}
	}
	isNew := present == nil || present.ended || present.session.Incarnation != session.Incarnation
	stored := proto.Clone(session).(*wire.Session)
	stored.Age = 0
	updated := &sessionEntry{session: stored, lastHeard: heard, direct: direct}
	if d.clock.Now()-heard >= SessionTimeout {
		updated.ended = true
	}
	d.sessions[session.Proxy] = updated
	d.publish(session.Proxy)
	return isNew && !updated.ended
}

// show makes the next version, if carriers now see something else of one of them.
func (d *Directory) publish(proxy string) {
	previous, present := d.published.Get(proxy), d.sessions[proxy]
	var changed []*resource.Resource
	var removed []string
	size := d.published.Len()
	switch active := present != nil && !present.ended; {
	case !active && previous == nil:
		return
	case !active:
		removed, size = []string{proxy}, size-1
	default:
		visible := publicSession(present.session)
		if previous != nil && proto.Equal(previous.Message, visible) {
			return
		}
		if previous == nil {
			size++
		}
		changedResource, err := resource.New(proxy, visible)
		if err != nil {
			return // it came as a message, so it can be written as one
		}
		changed = []*resource.Resource{changedResource}
	}
	next, err := d.published.With(changed, removed, size)
	if err != nil {
		return // one resource comes, changes or goes, and is counted so
	}
	d.published = next
	d.versions = append(d.versions, version{proxy: proxy, checksum: next.Sum().Short()})
	if excess := len(d.versions) - maxVersions; excess >= maxVersions/4 {
		d.versions = append([]version(nil), d.versions[excess:]...)
		d.droppedVersions += uint64(excess)
	}
}

// shown is the part of a session that carriers see.
func publicSession(session *wire.Session) *wire.Session {
	visible := &wire.Session{Proxy: session.Proxy, Incarnation: session.Incarnation, Address: session.Address,
		Domain: session.Domain, Leaving: session.Leaving}
	for _, backend := range session.Backends {
		visible.Backends = append(visible.Backends, &wire.Backend{Service: backend.Service, Instance: backend.Instance,
			Address: backend.Address, Condition: backend.Condition, Slots: backend.Slots, SlowStart: min(backend.SlowStart, 1)})
	}
	return visible
}

// ExtendSessions takes a span that didn't pass, or in which nobody could be heard, off every session's silence.
func (d *Directory) ExtendSessions(duration monotonic.Micros) {
	d.lock.Lock()
	defer d.lock.Unlock()
	now := d.clock.Now()
	for _, present := range d.sessions {
		if !present.ended {
			present.lastHeard = min(now, present.lastHeard+duration)
		}
	}
}

// ExpireSessions ends sessions that were not heard, and lists them.
func (d *Directory) ExpireSessions() (ended []*wire.MemberID) {
	d.lock.Lock()
	defer d.lock.Unlock()
	now := d.clock.Now()
	for _, name := range d.names() {
		present := d.sessions[name]
		if !present.ended && now-present.lastHeard >= SessionTimeout {
			present.ended = true
			d.publish(name)
			ended = append(ended, &wire.MemberID{Name: name, Incarnation: present.session.Incarnation})
		}
		if now-present.lastHeard >= endedSessionRetention {
			delete(d.sessions, name)
		}
	}
	return ended
}

func (d *Directory) names() []string { return slices.Sorted(maps.Keys(d.sessions)) }

// DirectSessions lists the sessions that carriers told this sorter themselves, for telling the other sorters.
func (d *Directory) DirectSessions() (sessions []*wire.Session) {
	d.lock.Lock()
	defer d.lock.Unlock()
	now := d.clock.Now()
	for _, name := range d.names() {
		present := d.sessions[name]
		if !present.direct || present.ended {
			continue
		}
		reported := proto.Clone(present.session).(*wire.Session)
		reported.Age = int64(now - present.lastHeard)
		sessions = append(sessions, reported)
	}
	return sessions
}

// Base is what a carrier says that it has.
type Base struct {
	Source, Version uint64
	Checksum        uint64 // of what it has; zero where it takes wholes only
	SkipYoung       bool   // it passes over what a directory younger than SessionTimeout shows
}

// Update is what a carrier is told of the directory.
// Invariant: with Changed, the base's sessions without Gone and with Sessions in place of those of their names are the whole, whose digest
// is Digest; without, Sessions are the whole.
type Update struct {
	Source, Version uint64
	Unchanged       bool // what the carrier has stays
	Incremental     bool
	Sessions        []*wire.Session
	Removed         []string
	Digest          []byte
}

// Update tells a carrier what it hasn't: nothing, what changed since the version that it has, or everything where that version isn't known
// here any more, isn't what it says it is, or is hardly shorter to mend than to tell anew.
func (d *Directory) UpdateSince(base Base) Update {
	d.lock.Lock()
	defer d.lock.Unlock()
	newest := d.droppedVersions + uint64(len(d.versions))
	update := Update{Source: d.source, Version: newest}
	if base.Source != d.source && base.SkipYoung && d.clock.Now()-d.createdAt < SessionTimeout {
		update.Unchanged = true
		return update
	}
	if base.Source == d.source && base.Version == newest && (base.Checksum == 0 || base.Checksum == d.versions[len(d.versions)-1].checksum) {
		update.Unchanged = true
		return update
	}
	update.Digest = d.published.Digest()
	if from, found := d.findVersion(base); found {
		changedProxies := map[string]bool{}
		for _, change := range d.versions[from+1:] {
			changedProxies[change.proxy] = true
		}
		if update.Incremental = len(changedProxies) <= d.published.Len()/2; update.Incremental {
			for _, name := range slices.Sorted(maps.Keys(changedProxies)) {
				if present := d.published.Get(name); present != nil {
					update.Sessions = append(update.Sessions, present.Message.(*wire.Session))
				} else {
					update.Removed = append(update.Removed, name)
				}
			}
			return update
		}
	}
	for _, present := range d.published.All() {
		update.Sessions = append(update.Sessions, present.Message.(*wire.Session))
	}
	return update
}

// known finds the version that a carrier has: by its serial if it's of this life, and else by its content, since another sorter, or an
// earlier life of this one, may have shown the same.
func (d *Directory) findVersion(base Base) (index int, found bool) {
	if base.Checksum == 0 {
		return 0, false
	}
	if base.Source != d.source {
		for index = len(d.versions) - 1; index >= 0; index-- {
			if d.versions[index].checksum == base.Checksum {
				return index, true
			}
		}
		return 0, false
	}
	if base.Version <= d.droppedVersions || base.Version > d.droppedVersions+uint64(len(d.versions)) {
		return 0, false
	}
	index = int(base.Version - d.droppedVersions - 1)
	return index, d.versions[index].checksum == base.Checksum
}

// Age is how long this directory has been told of sessions; it's above zero.
func (d *Directory) Age() monotonic.Micros {
	return max(1, d.clock.Now()-d.createdAt)
}

// LiveCount counts the members.
func (d *Directory) LiveCount() (count int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, present := range d.sessions {
		if !present.ended && !present.session.Leaving {
			count++
		}
	}
	return count
}

// activityWindow is how long a call keeps its carrier counted as active on a service.
const activityWindow = 10 * monotonic.Second

// RecordActivity notes that a carrier called services, or wanted to.
func (d *Directory) RecordActivity(proxy string, services []*wire.Activity) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, activity := range services {
		d.demand.record(activity.Service, proxy, d.clock.Now())
		if activity.Calls > 0 {
			d.activity.record(activity.Service, proxy, d.clock.Now())
		}
	}
}

// ActiveProxies lists the carriers that called a service lately.
func (d *Directory) ActiveProxies(service string) (proxies []string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.activity.activeProxies(service, d.clock.Now())
}

// ProxiesWithDemand lists the carriers that lately wanted entry to a service, let in or not.
func (d *Directory) ProxiesWithDemand(service string) []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.demand.activeProxies(service, d.clock.Now())
}

// Members lists the carriers that are there and not leaving.
func (d *Directory) Members() (proxies []string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, name := range d.names() {
		if present := d.sessions[name]; !present.ended && !present.session.Leaving {
			proxies = append(proxies, name)
		}
	}
	return proxies
}

// Sessions lists everything, for status.
func (d *Directory) Sessions() (sessions []*wire.Session) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, name := range d.names() {
		present := d.sessions[name]
		if present.ended {
			continue
		}
		reported := proto.Clone(present.session).(*wire.Session)
		reported.Age = int64(d.clock.Now() - present.lastHeard)
		sessions = append(sessions, reported)
	}
	return sessions
}
