// Package hutch keeps the backends on this carrier's own machine. It's the last word on whether one may be sent to.
package hutch

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"snowflow/internal/bulletin"
	"snowflow/internal/office"
	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
	"snowflow/internal/seal"
)

// The conditions a backend tells.
const (
	Alive   = "alive"
	Working = "working"
	Leaving = "leaving"
)

var conditions = map[string]bool{Alive: true, Working: true, Leaving: true}

// BeatEvery is what backends are asked to beat at; Overdue is when they are no longer sent to; forget when they go.
const (
	BeatEvery = 2 * postmark.Second
	Overdue   = 7 * postmark.Second
	forget    = 60 * postmark.Second
)

// Backend is one registered instance.
type Backend struct {
	Service  string
	Instance string
	Address  string
}

type entry struct {
	Backend
	condition string
	beat      postmark.Micros
	inFlight  map[bool]uint32 // by whether they run once
	overdue   bool
}

// Hutch holds them.
// Invariants: one entry per instance, and at most one per address; a leaving entry never comes back under its
// instance; nothing is let in to an entry that is leaving, overdue or gone.
type Hutch struct {
	place   office.Office
	lock    sync.Mutex
	entries map[string]*entry
	changed func()
}

// New makes a hutch; changed is called, without the lock, when others should hear of it.
func New(place office.Office, changed func()) *Hutch {
	return &Hutch{place: place, entries: map[string]*entry{}, changed: changed}
}

// Register takes a backend in, in the condition it tells: one that is leaving stays so when its carrier starts anew.
// Whoever was at its address before is gone.
func (hutch *Hutch) Register(backend Backend, condition string) error {
	if !conditions[condition] {
		return seal.Invalid.New("condition %q is not alive, working or leaving", condition)
	}
	if backend.Service == "" || backend.Instance == "" || backend.Address == "" {
		return seal.Invalid.New("a backend needs service, instance and address")
	}
	hutch.lock.Lock()
	present := hutch.entries[backend.Instance]
	if present != nil && (present.Backend != backend || present.condition == Leaving && condition != Leaving) {
		hutch.lock.Unlock()
		return seal.Invalid.New("instance %s is registered otherwise or leaving; take a new instance id", backend.Instance)
	}
	for instance, other := range hutch.entries {
		if other.Address == backend.Address && instance != backend.Instance {
			delete(hutch.entries, instance)
		}
	}
	if present == nil {
		present = &entry{Backend: backend, inFlight: map[bool]uint32{}}
		hutch.entries[backend.Instance] = present
	}
	present.condition, present.beat, present.overdue = condition, hutch.place.Now(), false
	hutch.lock.Unlock()
	hutch.place.Report(bulletin.BackendRegistered, map[string]any{"service": backend.Service, "instance": backend.Instance, "address": backend.Address})
	hutch.changed()
	return nil
}

// Beat notes a sign of life. An unknown instance has to register anew.
func (hutch *Hutch) Beat(instance, condition string) error {
	if !conditions[condition] {
		return seal.Invalid.New("condition %q is not alive, working or leaving", condition)
	}
	hutch.lock.Lock()
	present := hutch.entries[instance]
	if present == nil {
		hutch.lock.Unlock()
		return seal.Refused.New("instance %s is not registered here", instance)
	}
	shown := present.overdue
	present.beat, present.overdue = hutch.place.Now(), false
	if present.condition != Leaving {
		shown = shown || (condition == Leaving)
		present.condition = condition
	}
	hutch.lock.Unlock()
	if shown {
		hutch.place.Report(bulletin.BackendLeft, map[string]any{"instance": instance, "condition": condition})
		hutch.changed()
	}
	return nil
}

// Forgive takes a span that didn't pass, or in which no beat could be heard, off every backend's silence.
func (hutch *Hutch) Forgive(span postmark.Micros) {
	hutch.lock.Lock()
	defer hutch.lock.Unlock()
	now := hutch.place.Now()
	for _, present := range hutch.entries {
		if !present.overdue {
			present.beat = min(now, present.beat+span)
		}
	}
}

// Sweep marks overdue backends and forgets those long silent.
func (hutch *Hutch) Sweep() {
	hutch.lock.Lock()
	now := hutch.place.Now()
	var overdue []string
	for _, instance := range hutch.instances() {
		present := hutch.entries[instance]
		if now-present.beat >= forget {
			delete(hutch.entries, instance)
			continue
		}
		if !present.overdue && now-present.beat >= Overdue {
			present.overdue = true
			overdue = append(overdue, instance)
		}
	}
	hutch.lock.Unlock()
	for _, instance := range overdue {
		hutch.place.Report(bulletin.BackendOverdue, map[string]any{"instance": instance})
	}
	if len(overdue) > 0 {
		hutch.changed()
	}
}

func (hutch *Hutch) instances() []string { return slices.Sorted(maps.Keys(hutch.entries)) }

// classShare is the most of a backend's places that reads, or run-once requests, may take. Neither can starve the other:
// submissions call lookups of the same services, so each would wait for the other's places.
const classShare = 0.75

// Room tells whether a backend may be sent to and has a place left now. It takes none.
func (hutch *Hutch) Room(instance, service string, limit uint32, once bool) *seal.Fault {
	hutch.lock.Lock()
	defer hutch.lock.Unlock()
	return hutch.room(hutch.entries[instance], instance, service, limit, once)
}

func (hutch *Hutch) room(present *entry, instance, service string, limit uint32, once bool) *seal.Fault {
	if fault := hutch.objection(present, instance, service); fault != nil {
		return fault
	}
	total := present.inFlight[true] + present.inFlight[false]
	if total >= limit || limit > 1 && float64(present.inFlight[once]) >= classShare*float64(limit) {
		return seal.New(seal.Overloaded, seal.NotRun, "%d requests at %s", total, instance)
	}
	return nil
}

// Enter lets one request in to a backend, or tells why not. leave must be called once it's over.
func (hutch *Hutch) Enter(instance, service string, limit uint32, once bool) (backend Backend, leave func(), fault *seal.Fault) {
	hutch.lock.Lock()
	defer hutch.lock.Unlock()
	present := hutch.entries[instance]
	if fault := hutch.room(present, instance, service, limit, once); fault != nil {
		return Backend{}, nil, fault
	}
	present.inFlight[once]++
	return present.Backend, func() {
		hutch.lock.Lock()
		defer hutch.lock.Unlock()
		present.inFlight[once]--
	}, nil
}

func (hutch *Hutch) objection(present *entry, instance, service string) *seal.Fault {
	if present == nil || present.Service != service {
		return seal.New(seal.BackendUnknown, seal.NotRun, "no instance %s of %s here", instance, service)
	}
	if present.condition == Leaving {
		return seal.New(seal.BackendLeaving, seal.NotRun, "instance %s is leaving", instance)
	}
	if hutch.place.Now()-present.beat >= Overdue {
		return seal.New(seal.BackendUnknown, seal.NotRun, "instance %s has not beaten", instance)
	}
	return nil
}

// Still is the check right before a request is handed over.
func (hutch *Hutch) Still(instance, service string) *seal.Fault {
	hutch.lock.Lock()
	defer hutch.lock.Unlock()
	return hutch.objection(hutch.entries[instance], instance, service)
}

// Present tells whether an instance is registered here, beating and not leaving.
func (hutch *Hutch) Present(instance string) bool {
	hutch.lock.Lock()
	defer hutch.lock.Unlock()
	present := hutch.entries[instance]
	return present != nil && hutch.objection(present, instance, present.Service) == nil
}

// Told lists the backends for the session.
func (hutch *Hutch) Told() (backends []*wire.Backend) {
	hutch.lock.Lock()
	defer hutch.lock.Unlock()
	for _, instance := range hutch.instances() {
		present := hutch.entries[instance]
		condition := present.condition
		if present.overdue {
			condition = "overdue"
		}
		backends = append(backends, &wire.Backend{Service: present.Service, Instance: present.Instance, Address: present.Address,
			Condition: condition, InFlight: present.inFlight[true] + present.inFlight[false]})
	}
	return backends
}

// NewInstance names an instance for a backend that brings no name.
func NewInstance(place office.Office) string {
	return fmt.Sprintf("%016x%016x", place.Random(), place.Random())
}
