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

// SessionLife is how long a carrier stays a member without being heard.
const SessionLife = 3 * monotonic.Second

// keepEnded is how long an ended session is remembered, so that old hearsay doesn't bring it back.
const keepEnded = 30 * monotonic.Second

// Directory is one sorter's table of sessions.
// Invariants: of two tellings of one incarnation the one with the higher beat stands; of two incarnations the one
// heard last; shown has what carriers see of each session that stands, and its last change made the newest version.
type Directory struct {
	clock    monotonic.Clock
	source   uint64
	lock     sync.Mutex
	sessions map[string]*entry
	activity lately // whose calls ended
	demand   lately // whose tries wanted entry
	shown    *resource.Set
	versions []version // the newest last; there is always one
	forgot   uint64    // the versions before them
	born     monotonic.Micros
}

// version is one change of what carriers are shown. Its serial is one more than the one's before it.
type version struct {
	carrier string // which came, changed or went
	check   uint64 // of the whole since
}

// keptVersions bounds the versions that carriers are told changes from.
const keptVersions = 4096

// lately holds, by service, when a carrier last did something.
type lately map[string]map[string]monotonic.Micros

func (lately lately) note(service, carrier string, now monotonic.Micros) {
	if lately[service] == nil {
		lately[service] = map[string]monotonic.Micros{}
	}
	lately[service][carrier] = now
}

func (lately lately) list(service string, now monotonic.Micros) (carriers []string) {
	for carrier, called := range lately[service] {
		if now-called >= activeLife {
			delete(lately[service], carrier)
			continue
		}
		carriers = append(carriers, carrier)
	}
	sort.Strings(carriers)
	return carriers
}

type entry struct {
	session *wire.Session
	heard   monotonic.Micros
	direct  bool
	ended   bool
}

// New makes a directory; source tells its serials from those of another life.
func New(clock monotonic.Clock, source uint64) *Directory {
	return &Directory{clock: clock, source: source, born: clock.Now(), sessions: map[string]*entry{}, activity: lately{}, demand: lately{},
		shown: resource.Empty, versions: []version{{check: resource.Empty.Sum().Short()}}}
}

// Tell takes a session as heard age ago. It tells whether the session is new here.
func (directory *Directory) Tell(session *wire.Session, direct bool) bool {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	heard := directory.clock.Now() - monotonic.Micros(session.Age)
	present := directory.sessions[session.Proxy]
	if present != nil {
		same := present.session.Incarnation == session.Incarnation
		if same && session.Heartbeat < present.session.Heartbeat || same && session.Heartbeat == present.session.Heartbeat && heard <= present.heard {
			return false
		}
		if !same && heard <= present.heard {
			return false
		}
	}
	fresh := present == nil || present.ended || present.session.Incarnation != session.Incarnation
	kept := proto.Clone(session).(*wire.Session)
	kept.Age = 0
	updated := &entry{session: kept, heard: heard, direct: direct}
	if directory.clock.Now()-heard >= SessionLife {
		updated.ended = true
	}
	directory.sessions[session.Proxy] = updated
	directory.show(session.Proxy)
	return fresh && !updated.ended
}

// show makes the next version, if carriers now see something else of one of them.
func (directory *Directory) show(carrier string) {
	former, present := directory.shown.Get(carrier), directory.sessions[carrier]
	var put []*resource.Resource
	var gone []string
	size := directory.shown.Len()
	switch stands := present != nil && !present.ended; {
	case !stands && former == nil:
		return
	case !stands:
		gone, size = []string{carrier}, size-1
	default:
		visible := shown(present.session)
		if former != nil && proto.Equal(former.Message, visible) {
			return
		}
		if former == nil {
			size++
		}
		one, err := resource.New(carrier, visible)
		if err != nil {
			return // it came as a message, so it can be written as one
		}
		put = []*resource.Resource{one}
	}
	next, err := directory.shown.With(put, gone, size)
	if err != nil {
		return // one resource comes, changes or goes, and is counted so
	}
	directory.shown = next
	directory.versions = append(directory.versions, version{carrier: carrier, check: next.Sum().Short()})
	if spare := len(directory.versions) - keptVersions; spare >= keptVersions/4 {
		directory.versions = append([]version(nil), directory.versions[spare:]...)
		directory.forgot += uint64(spare)
	}
}

// shown is the part of a session that carriers see.
func shown(session *wire.Session) *wire.Session {
	visible := &wire.Session{Proxy: session.Proxy, Incarnation: session.Incarnation, Address: session.Address,
		Domain: session.Domain, Leaving: session.Leaving}
	for _, backend := range session.Backends {
		visible.Backends = append(visible.Backends, &wire.Backend{Service: backend.Service, Instance: backend.Instance,
			Address: backend.Address, Condition: backend.Condition, Slots: backend.Slots, SlowStart: min(backend.SlowStart, 1)})
	}
	return visible
}

// Forgive takes a span that didn't pass, or in which nobody could be heard, off every session's silence.
func (directory *Directory) Forgive(span monotonic.Micros) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	now := directory.clock.Now()
	for _, present := range directory.sessions {
		if !present.ended {
			present.heard = min(now, present.heard+span)
		}
	}
}

// Expire ends sessions that were not heard, and lists them.
func (directory *Directory) Expire() (ended []*wire.MemberID) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	now := directory.clock.Now()
	for _, name := range directory.names() {
		present := directory.sessions[name]
		if !present.ended && now-present.heard >= SessionLife {
			present.ended = true
			directory.show(name)
			ended = append(ended, &wire.MemberID{Name: name, Incarnation: present.session.Incarnation})
		}
		if now-present.heard >= keepEnded {
			delete(directory.sessions, name)
		}
	}
	return ended
}

func (directory *Directory) names() []string { return slices.Sorted(maps.Keys(directory.sessions)) }

// Heard lists the sessions that carriers told this sorter themselves, for telling the other sorters.
func (directory *Directory) Heard() (sessions []*wire.Session) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	now := directory.clock.Now()
	for _, name := range directory.names() {
		present := directory.sessions[name]
		if !present.direct || present.ended {
			continue
		}
		told := proto.Clone(present.session).(*wire.Session)
		told.Age = int64(now - present.heard)
		sessions = append(sessions, told)
	}
	return sessions
}

// Base is what a carrier says that it has.
type Base struct {
	Source, Serial uint64
	Check          uint64 // of what it has; zero where it takes wholes only
	Grown          bool   // it passes over what a directory younger than SessionLife shows
}

// View is what a carrier is told of the directory.
// Invariant: with Changed, the base's sessions without Gone and with Sessions in place of those of their names are the whole, whose digest
// is Digest; without, Sessions are the whole.
type View struct {
	Source, Serial uint64
	Same           bool // what the carrier has stays
	Changed        bool
	Sessions       []*wire.Session
	Gone           []string
	Digest         []byte
}

// View tells a carrier what it hasn't: nothing, what changed since the version that it has, or everything where that version isn't known
// here any more, isn't what it says it is, or is hardly shorter to mend than to tell anew.
func (directory *Directory) View(base Base) View {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	newest := directory.forgot + uint64(len(directory.versions))
	view := View{Source: directory.source, Serial: newest}
	if base.Source != directory.source && base.Grown && directory.clock.Now()-directory.born < SessionLife {
		view.Same = true
		return view
	}
	if base.Source == directory.source && base.Serial == newest && (base.Check == 0 || base.Check == directory.versions[len(directory.versions)-1].check) {
		view.Same = true
		return view
	}
	view.Digest = directory.shown.Digest()
	if from, known := directory.known(base); known {
		altered := map[string]bool{}
		for _, one := range directory.versions[from+1:] {
			altered[one.carrier] = true
		}
		if view.Changed = len(altered) <= directory.shown.Len()/2; view.Changed {
			for _, name := range slices.Sorted(maps.Keys(altered)) {
				if present := directory.shown.Get(name); present != nil {
					view.Sessions = append(view.Sessions, present.Message.(*wire.Session))
				} else {
					view.Gone = append(view.Gone, name)
				}
			}
			return view
		}
	}
	for _, present := range directory.shown.All() {
		view.Sessions = append(view.Sessions, present.Message.(*wire.Session))
	}
	return view
}

// known finds the version that a carrier has: by its serial if it's of this life, and else by its content, since another sorter, or an
// earlier life of this one, may have shown the same.
func (directory *Directory) known(base Base) (index int, known bool) {
	if base.Check == 0 {
		return 0, false
	}
	if base.Source != directory.source {
		for index = len(directory.versions) - 1; index >= 0; index-- {
			if directory.versions[index].check == base.Check {
				return index, true
			}
		}
		return 0, false
	}
	if base.Serial <= directory.forgot || base.Serial > directory.forgot+uint64(len(directory.versions)) {
		return 0, false
	}
	index = int(base.Serial - directory.forgot - 1)
	return index, directory.versions[index].check == base.Check
}

// Age is how long this directory has been told of sessions; it's above zero.
func (directory *Directory) Age() monotonic.Micros {
	return max(1, directory.clock.Now()-directory.born)
}

// Live counts the members.
func (directory *Directory) Live() (count int) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	for _, present := range directory.sessions {
		if !present.ended && !present.session.Leaving {
			count++
		}
	}
	return count
}

// activeLife is how long a call keeps its carrier counted as active on a service.
const activeLife = 10 * monotonic.Second

// Called notes that a carrier called services, or wanted to.
func (directory *Directory) Called(carrier string, services []*wire.Activity) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	for _, activity := range services {
		directory.demand.note(activity.Service, carrier, directory.clock.Now())
		if activity.Calls > 0 {
			directory.activity.note(activity.Service, carrier, directory.clock.Now())
		}
	}
}

// Active lists the carriers that called a service lately.
func (directory *Directory) Active(service string) (carriers []string) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	return directory.activity.list(service, directory.clock.Now())
}

// Demand lists the carriers that lately wanted entry to a service, let in or not.
func (directory *Directory) Demand(service string) []string {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	return directory.demand.list(service, directory.clock.Now())
}

// Members lists the carriers that are there and not leaving.
func (directory *Directory) Members() (carriers []string) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	for _, name := range directory.names() {
		if present := directory.sessions[name]; !present.ended && !present.session.Leaving {
			carriers = append(carriers, name)
		}
	}
	return carriers
}

// Sessions lists everything, for status.
func (directory *Directory) Sessions() (sessions []*wire.Session) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	for _, name := range directory.names() {
		present := directory.sessions[name]
		if present.ended {
			continue
		}
		told := proto.Clone(present.session).(*wire.Session)
		told.Age = int64(directory.clock.Now() - present.heard)
		sessions = append(sessions, told)
	}
	return sessions
}
