// Package configclient keeps the adopted desired state and the tenure to serve by it.
package configclient

import (
	"bytes"
	"compress/flate"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"sync"

	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/discovery"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/host/clockwatch"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const postmasters = "postmaster"

// Env is what a desk is made of.
type Env struct {
	Place       host.Host
	Book        *discovery.Book
	Carrier     string
	Incarnation uint64
	Vigil       *clockwatch.Vigil
	// Read reads accepted contents, franking.Accepted if left out.
	Read config.Reader
	// ServeOn: a view is served by for as long as none newer is heard of, tenure or not.
	ServeOn bool
}

// Desk follows the postmasters.
// Invariants: a primary's serial never falls; until counts from before the poll that gave the tenure; a view is only served
// by before until, unless ServeOn is set, and never once released; one that only a copy told of isn't while a primary is looked for.
type Desk struct {
	env   Env
	place host.Host
	book  *discovery.Book

	lock    sync.Mutex
	view    *config.View
	until   monotonic.Micros
	adopted monotonic.Micros
	lapsed  bool
	waiters []host.Signal
	// hold is how long the postmasters hold a poll open, as they last told.
	hold monotonic.Micros
	// released is set once it serves no more and takes no tenure.
	released bool
	// set is what the view was made of, nothing if that is no set of resources. Only the task that follows sets it and whole.
	set *changes.Set
	// heard is when what's held was taken from a postmaster that isn't the primary; zero once a primary gave something. Only the task that
	// follows sets it.
	heard monotonic.Micros
	// whole is set from a difference that was refused until the next adoption: none is asked for meanwhile.
	whole bool
	taken Taken
	// untenured lets it serve without a live tenure; only rehearsals of the checkers set it.
	untenured bool
	asked     int // how often it was asked with nothing adopted; only the following task uses it
}

// Taken counts how versions were taken up.
type Taken struct {
	Differences uint64 `json:"differences"`
	Wholes      uint64 `json:"wholes"`
	Refused     uint64 `json:"refused"`   // differences that were refused
	Resources   uint64 `json:"resources"` // that differed, of all adoptions but the first
}

// Taken tells how versions were taken up in this life.
func (desk *Desk) Taken() Taken {
	desk.lock.Lock()
	defer desk.lock.Unlock()
	return desk.taken
}

// Untenured lets the desk serve without a live tenure, to show that a checker sees what comes of it. No program sets it.
func (desk *Desk) Untenured(broken bool) { desk.untenured = broken }

// New makes a desk.
func New(env Env) *Desk {
	if env.Read == nil {
		env.Read = config.Accepted
	}
	return &Desk{env: env, place: env.Place, book: env.Book}
}

// Current is the view to serve by; live tells whether it may be: the tenure still stands, or none is needed.
func (desk *Desk) Current() (view *config.View, live bool) {
	desk.lock.Lock()
	defer desk.lock.Unlock()
	return desk.view, desk.view != nil && (desk.untenured || desk.env.ServeOn && !desk.released && !desk.doubted() || desk.place.Now() < desk.until && !desk.env.Vigil.Behind())
}

// Version is the adopted serial and how long ago it was adopted.
func (desk *Desk) Serial() (serial uint64, age monotonic.Micros) {
	desk.lock.Lock()
	defer desk.lock.Unlock()
	if desk.view == nil {
		return 0, 0
	}
	return desk.view.Serial, desk.place.Now() - desk.adopted
}

// hearsayPatience is how long a primary is looked for before a version that only some copy told of is served by.
const hearsayPatience = 1500 * monotonic.Millisecond

// doubted tells whether what's held is a copy's word, which may be long out of date, while a primary may still be found.
func (desk *Desk) doubted() bool {
	return desk.heard > 0 && desk.place.Now()-desk.heard < hearsayPatience
}

// InForce is the adopted serial, how long ago it was adopted, and the digest of its resources, by which two carriers can be seen to serve by
// the same; that is empty where there are none.
func (desk *Desk) InForce() (serial uint64, age monotonic.Micros, check string) {
	desk.lock.Lock()
	defer desk.lock.Unlock()
	if desk.view == nil {
		return 0, 0, ""
	}
	if desk.set != nil {
		check = hex.EncodeToString(desk.set.Digest())
	}
	return desk.view.Serial, desk.place.Now() - desk.adopted, check
}

// Renew waits, at most patience, until the desk has adopted at least this serial.
func (desk *Desk) Renew(serial uint64, patience monotonic.Micros) bool {
	cutoff := desk.place.Now() + patience
	for {
		signal := desk.place.NewSignal()
		desk.lock.Lock()
		if desk.view != nil && desk.view.Serial >= serial {
			desk.lock.Unlock()
			return true
		}
		desk.waiters = append(desk.waiters, signal)
		desk.lock.Unlock()
		remaining := cutoff - desk.place.Now()
		if remaining <= 0 {
			return false
		}
		signal.Wait(remaining)
	}
}

// Follow polls for ever. Each adoption is told to the postmaster by the next poll, at once.
func (desk *Desk) Follow() {
	first := true
	for {
		if !desk.poll(first) {
			first = true
			desk.place.Sleep(100*monotonic.Millisecond + monotonic.Micros(desk.place.Random()%uint64(100*monotonic.Millisecond)))
			desk.noteLapse()
			continue
		}
		first = false
	}
}

func (desk *Desk) poll(first bool) bool {
	serial, _ := desk.Serial()
	have := serial
	if desk.heard > 0 {
		have = 0
	}
	name := desk.postmaster(have)
	if name == "" {
		desk.book.Ask()
		return false
	}
	if first && have > 0 && !desk.knock(name) {
		desk.book.Ask()
		return false
	}
	desk.lock.Lock()
	patience := max(desk.hold, monotonic.Second) + contentPatience
	desk.lock.Unlock()
	asked := desk.place.Now()
	tell := &wire.ConfigPollResponse{}
	ask := &wire.ConfigPollRequest{Proxy: desk.env.Carrier, Incarnation: desk.env.Incarnation, CurrentVersion: have, First: first, Full: desk.whole, AcceptsCompressed: true}
	if desk.set != nil && have > 0 {
		ask.Digest = desk.set.Digest()
	}
	err := desk.book.Call(name, wire.Kind_config_poll, ask, tell, patience)
	if err != nil {
		desk.book.Ask()
		return false
	}
	desk.book.Hint(tell.Primaries)
	if err := unpack(tell); err != nil {
		desk.place.Report(eventlog.DesiredRefused, map[string]any{"serial": tell.Version, "error": err.Error()})
		return false
	}
	if !tell.Primary {
		if have == 0 && desk.env.ServeOn && tell.Version > serial {
			desk.adopt(tell, 0)
		}
		desk.book.Ask()
		return false
	}
	return desk.adopt(tell, asked+monotonic.Micros(tell.Lease))
}

// knockPatience is how long a postmaster that wasn't reached may take to answer that it's there.
const knockPatience = 500 * monotonic.Millisecond

// knock asks a postmaster that wasn't reached, or didn't lead, whether it's there, before it's polled again. A poll is waited for as long as
// a large content may take; who is cut off would come back that much later.
func (desk *Desk) knock(name string) bool {
	tell := &wire.DiscoverResponse{}
	if desk.book.Call(name, wire.Kind_discover, &wire.DiscoverRequest{}, tell, knockPatience) != nil {
		return false
	}
	desk.book.Hint(tell.Primaries)
	return true
}

// contentPatience is what an answer may take beyond its hold: a large content on a narrow link.
const contentPatience = 1500 * monotonic.Millisecond

// unpack restores a content that came packed. No content is longer than what a postmaster takes.
func unpack(tell *wire.ConfigPollResponse) error {
	if len(tell.Compressed) == 0 {
		return nil
	}
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(tell.Compressed)), config.Longest+1))
	if err == nil && len(content) > config.Longest {
		err = errors.New("longer than any content that is taken")
	}
	tell.Content, tell.Compressed = content, nil
	return err
}

// postmaster is whom to ask: the primary, or in turn any while this carrier has nothing and may serve on by what it hears.
func (desk *Desk) postmaster(serial uint64) string {
	leader := desk.book.Leader(postmasters)
	if serial > 0 || !desk.env.ServeOn {
		return leader
	}
	desk.asked++
	if leader != "" && desk.asked%2 == 1 {
		return leader
	}
	if others := desk.book.Members(postmasters); len(others) > 0 {
		return others[desk.asked/2%len(others)]
	}
	return leader
}

// adoption is a version that was read and isn't in force yet.
type adoption struct {
	view      *config.View
	set       *changes.Set
	resources int
	taken     func(taken *Taken)
}

// next makes the next version of a difference; the version in force isn't touched.
func (desk *Desk) next(tell *wire.ConfigPollResponse) (*adoption, error) {
	if desk.set == nil {
		return nil, changes.ErrBase
	}
	step, err := changes.Apply(desk.set, tell.Difference)
	if err != nil {
		return nil, err
	}
	if step.Version != tell.Version {
		return nil, fmt.Errorf("%w: it leads to %d", changes.ErrDigest, step.Version)
	}
	view, err := desk.view.With(step.Change, step.Version, step.ContentDigest)
	if err != nil {
		return nil, err
	}
	return &adoption{view: view, set: step.Set, resources: step.Resources, taken: func(taken *Taken) { taken.Differences++ }}, nil
}

// anew makes the next version of a whole content. What doesn't differ from the version in force keeps its objects all the same.
func (desk *Desk) anew(state *wire.DesiredState, tell *wire.ConfigPollResponse) *adoption {
	fresh := &adoption{taken: func(taken *Taken) { taken.Wholes++ }}
	digest := config.Digest(tell.Content)
	fresh.set, _ = changes.Read(state) // one that is no set is taken as it is, and differences aren't asked for
	if fresh.set != nil && desk.set != nil {
		difference := changes.Diff(desk.set, fresh.set)
		fresh.resources = len(difference.Added) + len(difference.Changed) + len(difference.Removed)
		fresh.view, _ = desk.view.With(changes.Change(desk.set, difference), tell.Version, digest)
	}
	if fresh.view == nil {
		fresh.view = config.Compile(state, tell.Version, digest)
	}
	return fresh
}

func (desk *Desk) adopt(tell *wire.ConfigPollResponse, until monotonic.Micros) bool {
	var fresh *adoption
	serial, _ := desk.Serial()
	if tell.Primary && desk.heard > 0 {
		serial = 0 // a copy may have told of a version that was never acknowledged
	}
	if tell.Version < serial {
		return false // never back to an older one
	}
	if tell.Version > serial && len(tell.Difference) > 0 {
		next, err := desk.next(tell)
		if err != nil {
			desk.whole = true
			desk.lock.Lock()
			desk.taken.Refused++
			desk.lock.Unlock()
			desk.place.Report(eventlog.DifferenceRefused, map[string]any{"serial": tell.Version, "have": serial, "bytes": len(tell.Difference), "error": err.Error()})
			return true // the next poll, at once, asks for the whole; nothing is renewed until then
		}
		fresh = next
	} else if tell.Version > serial {
		state, faults := desk.env.Read(tell.Content)
		if len(faults) > 0 {
			desk.place.Report(eventlog.DesiredRefused, map[string]any{"serial": tell.Version, "error": faults[0].String(), "faults": len(faults)})
			return false
		}
		fresh = desk.anew(state, tell)
	}
	desk.lock.Lock()
	desk.hold = monotonic.Micros(tell.LongPoll)
	if fresh != nil {
		desk.view, desk.adopted, desk.set, desk.whole = fresh.view, desk.place.Now(), fresh.set, false
		if tell.Primary {
			desk.heard = 0
		} else if desk.heard == 0 {
			desk.heard = desk.place.Now()
		}
		fresh.taken(&desk.taken)
		desk.taken.Resources += uint64(fresh.resources)
	}
	if desk.view != nil && !desk.released {
		desk.until = max(desk.until, until)
		desk.lapsed = false
	}
	waiters := desk.waiters
	if fresh != nil {
		desk.waiters = nil
	}
	desk.lock.Unlock()
	if fresh != nil {
		for _, waiter := range waiters {
			waiter.Fire()
		}
		desk.place.Report(eventlog.DesiredAdopted, map[string]any{"serial": fresh.view.Serial, "difference": len(tell.Difference) > 0, "bytes": max(len(tell.Difference), len(tell.Content)), "resources": fresh.resources})
	}
	return true
}

// Release ends the tenure for good and tells the primary, so that nobody waits for its end. Where that can't be told the
// tenure runs out there.
func (desk *Desk) Release(patience monotonic.Micros) {
	desk.lock.Lock()
	desk.released, desk.until = true, 0
	desk.lock.Unlock()
	if name := desk.book.Leader(postmasters); name != "" {
		_ = desk.book.Call(name, wire.Kind_config_poll, &wire.ConfigPollRequest{Proxy: desk.env.Carrier, Incarnation: desk.env.Incarnation, Release: true}, &wire.ConfigPollResponse{}, patience)
	}
}

func (desk *Desk) noteLapse() {
	desk.lock.Lock()
	lapsed := desk.view != nil && !desk.env.ServeOn && desk.place.Now() >= desk.until && !desk.lapsed
	desk.lapsed = desk.lapsed || lapsed
	desk.lock.Unlock()
	if lapsed {
		desk.place.Report(eventlog.DesiredTenureLost, map[string]any{})
	}
}
