package directory

import (
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/resource"
	"snowflow/internal/transport/wire"
)

// SessionTimeout is how long a proxy remains a member after its last poll of any registry.
const SessionTimeout = 3 * monotonic.Second

// endedSessionRetention is how long a session is kept after it was last received, so that an outdated copy does not restore it.
const endedSessionRetention = 30 * monotonic.Second

// Directory is the table of sessions of one registry process. It is safe for concurrent use.
//
// Invariants:
//   - Of two sessions of one incarnation, the one with the higher heartbeat wins. Of two incarnations, the one received last wins.
//   - published has the public part of each session that has not ended. The newest version in history describes its content.
type Directory struct {
	clock     monotonic.Clock
	source    uint64 // distinguishes the versions of this incarnation from those of all others
	createdAt monotonic.Micros

	lock      sync.Mutex // guards the fields below
	sessions  map[string]*sessionEntry
	activity  activityTable // completed calls
	demand    activityTable // attempts that requested admission by the breaker, admitted or not
	published *resource.Set // the public sessions by proxy
	// departures are those of all sessions, including ended ones. A departed instance is published as leaving, whatever its proxy reports.
	departures departures
	history    history
}

type sessionEntry struct {
	session    *wire.Session
	receivedAt monotonic.Micros
	direct     bool // whether the proxy sent it to this registry, and not to another one
	ended      bool
}

// live reports whether the proxy is a member that is not shutting down.
func (e *sessionEntry) live() bool { return !e.ended && !e.session.Leaving }

// New returns an empty directory. The source must be unique to this incarnation of the process.
func New(clock monotonic.Clock, source uint64) *Directory {
	return &Directory{
		clock: clock, source: source, createdAt: clock.Now(), sessions: map[string]*sessionEntry{},
		activity: activityTable{}, demand: activityTable{}, departures: departures{},
		published: resource.Empty, history: newHistory(resource.Empty.Sum().Short()),
	}
}

// Observe stores a session that a registry received from its proxy session.Age microseconds ago; direct means that this registry did.
// It reports whether the session made the proxy a member. A session older than the current one is ignored.
func (d *Directory) Observe(session *wire.Session, direct bool) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	now := d.clock.Now()
	receivedAt := now - monotonic.Micros(session.Age)
	current := d.sessions[session.Proxy]
	if current != nil && !supersedes(session, receivedAt, current) {
		return false
	}
	isNew := current == nil || current.ended || current.session.Incarnation != session.Incarnation
	stored := proto.CloneOf(session)
	stored.Age = 0
	updated := &sessionEntry{session: stored, receivedAt: receivedAt, direct: direct, ended: now-receivedAt >= SessionTimeout}
	d.sessions[session.Proxy] = updated
	d.departures.observe(stored, now)
	d.publish(session.Proxy)
	return isNew && !updated.ended
}

// supersedes reports whether a session is newer than the current one of its proxy.
func supersedes(session *wire.Session, receivedAt monotonic.Micros, current *sessionEntry) bool {
	if session.Incarnation != current.session.Incarnation || session.Heartbeat == current.session.Heartbeat {
		return receivedAt > current.receivedAt
	}
	return session.Heartbeat > current.session.Heartbeat
}

// ExtendSessions postpones the end of every session by a duration. During this time the process could not receive polls, or the time did
// not really pass because the clock jumped.
func (d *Directory) ExtendSessions(duration monotonic.Micros) {
	d.lock.Lock()
	defer d.lock.Unlock()
	now := d.clock.Now()
	for _, entry := range d.sessions {
		if !entry.ended {
			entry.receivedAt = min(now, entry.receivedAt+duration)
		}
	}
}

// ExpireSessions ends the sessions that were last received SessionTimeout ago or earlier and returns their proxies, sorted by name.
func (d *Directory) ExpireSessions() (ended []*wire.MemberID) {
	d.lock.Lock()
	defer d.lock.Unlock()
	now := d.clock.Now()
	d.departures.expire(now)
	for _, name := range d.names() {
		entry := d.sessions[name]
		if !entry.ended && now-entry.receivedAt >= SessionTimeout {
			entry.ended = true
			d.publish(name)
			ended = append(ended, &wire.MemberID{Name: name, Incarnation: entry.session.Incarnation})
		}
		if now-entry.receivedAt >= endedSessionRetention {
			delete(d.sessions, name)
		}
	}
	return ended
}

// names returns the proxies of all sessions, sorted. The lock is held.
func (d *Directory) names() []string { return slices.Sorted(maps.Keys(d.sessions)) }

// DirectSessions returns copies of the sessions that proxies sent directly to this registry, for exchange with the other registries. Age
// is set.
func (d *Directory) DirectSessions() []*wire.Session {
	return d.copySessions(func(entry *sessionEntry) bool { return entry.direct })
}

// Sessions returns copies of all sessions that have not ended, sorted by proxy. Age is set.
func (d *Directory) Sessions() []*wire.Session {
	return d.copySessions(func(*sessionEntry) bool { return true })
}

// copySessions returns copies of the sessions that have not ended and for which include returns true, sorted by proxy. Age is set.
func (d *Directory) copySessions(include func(*sessionEntry) bool) (sessions []*wire.Session) {
	d.lock.Lock()
	defer d.lock.Unlock()
	now := d.clock.Now()
	for _, name := range d.names() {
		entry := d.sessions[name]
		if entry.ended || !include(entry) {
			continue
		}
		copied := proto.CloneOf(entry.session)
		copied.Age = int64(now - entry.receivedAt)
		for _, backend := range copied.Backends {
			backend.Condition = d.departures.condition(backend, now)
		}
		sessions = append(sessions, copied)
	}
	return sessions
}

// Age returns the time since this directory was created, in microseconds. It is never zero, because zero in a poll response means that
// the field is absent.
func (d *Directory) Age() monotonic.Micros {
	return max(1, d.clock.Now()-d.createdAt)
}

// LiveCount returns the number of members that are not shutting down.
func (d *Directory) LiveCount() (count int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, entry := range d.sessions {
		if entry.live() {
			count++
		}
	}
	return count
}

// Members returns the proxies that are members and not shutting down, sorted.
func (d *Directory) Members() (proxies []string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, name := range d.names() {
		if d.sessions[name].live() {
			proxies = append(proxies, name)
		}
	}
	return proxies
}
