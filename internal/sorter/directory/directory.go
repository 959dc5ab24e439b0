// Package directory keeps who is there: one session per carrier, with its backends. It isn't replicated through the
// register: carriers tell it every second, sorters tell one another, and what is lost is told again.
package directory

import (
	"maps"
	"slices"
	"sort"
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
)

// SessionLife is how long a carrier stays a member without being heard.
const SessionLife = 3 * postmark.Second

// keepEnded is how long an ended session is remembered, so that old hearsay doesn't bring it back.
const keepEnded = 30 * postmark.Second

// Directory is one sorter's table of sessions.
// Invariants: of two tellings of one incarnation the one with the higher beat stands; of two incarnations the one
// heard last; serial rises whenever what carriers are shown changes.
type Directory struct {
	clock    postmark.Clock
	source   uint64
	lock     sync.Mutex
	sessions map[string]*entry
	activity lately // whose calls ended
	demand   lately // whose tries wanted entry
	serial   uint64
	born     postmark.Micros
}

// lately holds, by service, when a carrier last did something.
type lately map[string]map[string]postmark.Micros

func (lately lately) note(service, carrier string, now postmark.Micros) {
	if lately[service] == nil {
		lately[service] = map[string]postmark.Micros{}
	}
	lately[service][carrier] = now
}

func (lately lately) list(service string, now postmark.Micros) (carriers []string) {
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
	heard   postmark.Micros
	direct  bool
	ended   bool
}

// New makes a directory; source tells its serials from those of another life.
func New(clock postmark.Clock, source uint64) *Directory {
	return &Directory{clock: clock, source: source, born: clock.Now(), sessions: map[string]*entry{}, activity: lately{}, demand: lately{}, serial: 1}
}

// Tell takes a session as heard age ago. It tells whether the session is new here.
func (directory *Directory) Tell(session *wire.Session, direct bool) bool {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	heard := directory.clock.Now() - postmark.Micros(session.Age)
	present := directory.sessions[session.Carrier]
	if present != nil {
		same := present.session.Incarnation == session.Incarnation
		if same && session.Beat < present.session.Beat || same && session.Beat == present.session.Beat && heard <= present.heard {
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
	if present == nil || !sameShown(present, updated) {
		directory.serial++
	}
	directory.sessions[session.Carrier] = updated
	return fresh && !updated.ended
}

func sameShown(one, other *entry) bool {
	return one.ended == other.ended && proto.Equal(shown(one.session), shown(other.session))
}

// shown is the part of a session that carriers see.
func shown(session *wire.Session) *wire.Session {
	visible := &wire.Session{Carrier: session.Carrier, Incarnation: session.Incarnation, Address: session.Address,
		Domain: session.Domain, Leaving: session.Leaving}
	for _, backend := range session.Backends {
		visible.Backends = append(visible.Backends, &wire.Backend{Service: backend.Service, Instance: backend.Instance,
			Address: backend.Address, Condition: backend.Condition, Slots: backend.Slots, Warm: min(backend.Warm, 1)})
	}
	return visible
}

// Forgive takes a span that didn't pass, or in which nobody could be heard, off every session's silence.
func (directory *Directory) Forgive(span postmark.Micros) {
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
func (directory *Directory) Expire() (ended []*wire.Holder) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	now := directory.clock.Now()
	for _, name := range directory.names() {
		present := directory.sessions[name]
		if now-present.heard >= keepEnded {
			delete(directory.sessions, name)
			continue
		}
		if !present.ended && now-present.heard >= SessionLife {
			present.ended = true
			directory.serial++
			ended = append(ended, &wire.Holder{Name: name, Incarnation: present.session.Incarnation})
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

// View gives the directory as carriers see it, unless they have it already.
func (directory *Directory) View(source, serial uint64) (viewSource, viewSerial uint64, same bool, sessions []*wire.Session) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	if source == directory.source && serial == directory.serial {
		return directory.source, directory.serial, true, nil
	}
	for _, name := range directory.names() {
		if present := directory.sessions[name]; !present.ended {
			sessions = append(sessions, shown(present.session))
		}
	}
	return directory.source, directory.serial, false, sessions
}

// Age is how long this directory has been told of sessions; it's above zero.
func (directory *Directory) Age() postmark.Micros {
	return max(1, directory.clock.Now()-directory.born)
}

// Live counts the members.
func (directory *Directory) Live() int {
	return len(directory.Members())
}

// activeLife is how long a call keeps its carrier counted as active on a service.
const activeLife = 10 * postmark.Second

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
