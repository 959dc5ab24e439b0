// Package localbackends keeps the backends on this carrier's own machine. It's the last word on whether one may be sent to.
package localbackends

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/transport/wire"
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
	BeatEvery = 2 * monotonic.Second
	Overdue   = 7 * monotonic.Second
	forget    = 60 * monotonic.Second
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
	beat      monotonic.Micros
	slots     *slots.Slots
	standing  *outlier.Detector
	classes   map[bool]uint32 // requests in flight, by whether they run once
	overdue   bool
	gone      bool
	reported  bool // by Tell; then sequence is its last report's
	sequence  uint64
	warmUntil monotonic.Micros
}

// Hutch holds them.
// Invariants: one entry per instance, and at most one per address; a leaving entry never comes back under its
// instance; nothing is let in to an entry that is leaving, overdue or gone; ended holds only instances without an entry.
type Hutch struct {
	// Terms bound the waiting for slots. They're set before the first backend comes.
	Terms   slots.Terms
	place   host.Host
	lock    sync.Mutex
	entries map[string]*entry
	ended   map[string]tombstone
	closed  bool
	changed func()
}

// New makes a hutch; changed is called, without the lock, when others should hear of it.
func New(place host.Host, changed func()) *Hutch {
	return &Hutch{Terms: slots.Default(), place: place, entries: map[string]*entry{}, ended: map[string]tombstone{}, changed: changed}
}

// Register takes a backend in, in the condition it tells: one that is leaving stays so when its carrier starts anew.
// Whoever was at its address before is gone.
func (hutch *Hutch) Register(backend Backend, condition string) error {
	if !conditions[condition] {
		return apierror.Invalid.New("condition %q is not alive, working or leaving", condition)
	}
	if backend.Service == "" || backend.Instance == "" || backend.Address == "" {
		return apierror.Invalid.New("a backend needs service, instance and address")
	}
	hutch.lock.Lock()
	present := hutch.entries[backend.Instance]
	if present != nil && (present.Backend != backend || present.condition == Leaving && condition != Leaving) {
		hutch.lock.Unlock()
		return apierror.Invalid.New("instance %s is registered otherwise or leaving; take a new instance id", backend.Instance)
	}
	if present != nil && present.gone || hutch.ended[backend.Instance].gone {
		hutch.lock.Unlock()
		return apierror.Invalid.New("instance %s said goodbye; take a new instance id", backend.Instance)
	}
	if present == nil {
		present = hutch.admit(backend)
	}
	present.condition, present.beat, present.overdue = condition, hutch.place.Now(), false
	hutch.lock.Unlock()
	hutch.place.Report(eventlog.BackendRegistered, map[string]any{"service": backend.Service, "instance": backend.Instance, "address": backend.Address})
	hutch.changed()
	return nil
}

// Beat notes a sign of life. An unknown instance has to register anew.
func (hutch *Hutch) Beat(instance, condition string) error {
	if !conditions[condition] {
		return apierror.Invalid.New("condition %q is not alive, working or leaving", condition)
	}
	hutch.lock.Lock()
	present := hutch.entries[instance]
	if present == nil {
		hutch.lock.Unlock()
		return apierror.Refused.New("instance %s is not registered here", instance)
	}
	if present.gone {
		hutch.lock.Unlock()
		return nil
	}
	shown := hutch.beat(present, condition)
	hutch.lock.Unlock()
	if shown {
		hutch.place.Report(eventlog.BackendLeft, map[string]any{"instance": instance, "condition": condition})
		hutch.changed()
	}
	return nil
}

// beat notes a sign of life; it tells whether others should hear of what it changed.
func (hutch *Hutch) beat(present *entry, condition string) (shown bool) {
	shown = present.overdue
	present.beat, present.overdue = hutch.place.Now(), false
	if present.condition != Leaving {
		shown = shown || condition == Leaving
		present.condition = condition
	}
	if present.condition == Leaving {
		present.slots.Flush(present.beat)
	}
	return shown
}

// Forgive takes a span that didn't pass, or in which no beat could be heard, off every backend's silence.
func (hutch *Hutch) Forgive(span monotonic.Micros) {
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
			present.slots.Flush(now)
			delete(hutch.entries, instance)
			continue
		}
		if !present.overdue && !present.gone && now-present.beat >= Overdue {
			present.overdue = true
			present.slots.Flush(now)
			overdue = append(overdue, instance)
		}
	}
	maps.DeleteFunc(hutch.ended, func(_ string, stone tombstone) bool { return now >= stone.until })
	hutch.lock.Unlock()
	for _, instance := range overdue {
		hutch.place.Report(eventlog.BackendHeartbeatOverdue, map[string]any{"instance": instance})
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
func (hutch *Hutch) Room(instance, service string, limit uint32, once bool) *apierror.Fault {
	hutch.lock.Lock()
	defer hutch.lock.Unlock()
	return hutch.room(hutch.entries[instance], instance, service, limit, once)
}

func (hutch *Hutch) room(present *entry, instance, service string, limit uint32, once bool) *apierror.Fault {
	if fault := hutch.objection(present, instance, service); fault != nil {
		return fault
	}
	total := present.classes[true] + present.classes[false]
	if total >= limit || limit > 1 && float64(present.classes[once]) >= classShare*float64(limit) {
		return apierror.New(apierror.Overloaded, apierror.NotRun, "%d requests at %s", total, instance)
	}
	return nil
}

// Enter lets one request in to a backend, or tells why not. leave must be called once it's over.
func (hutch *Hutch) Enter(instance, service string, limit uint32, once bool) (backend Backend, leave func(), fault *apierror.Fault) {
	pass, fault := hutch.Place(Admission{Instance: instance, Service: service, Once: once}, limit)
	if fault != nil {
		return Backend{}, nil, fault
	}
	return pass.Backend, func() { pass.Leave(slots.Over) }, nil
}

func (hutch *Hutch) objection(present *entry, instance, service string) *apierror.Fault {
	if present == nil || present.Service != service {
		return apierror.New(apierror.BackendUnknown, apierror.NotRun, "no instance %s of %s here", instance, service)
	}
	if present.condition == Leaving {
		return apierror.New(apierror.BackendLeaving, apierror.NotRun, "instance %s is leaving", instance)
	}
	if hutch.place.Now()-present.beat >= Overdue {
		return apierror.New(apierror.BackendUnknown, apierror.NotRun, "instance %s has not beaten", instance)
	}
	return nil
}

// Still is the check right before a request is handed over.
func (hutch *Hutch) Still(instance, service string) *apierror.Fault {
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
			Condition: condition, InFlight: uint32(present.slots.Running()), Slots: present.slots.Count(), SlowStart: int64(hutch.warm(present))})
	}
	return backends
}

// NewInstance names an instance for a backend that brings no name.
func NewInstance(place host.Host) string {
	return fmt.Sprintf("%016x%016x", place.Random(), place.Random())
}
