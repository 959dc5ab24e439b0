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

// HeartbeatInterval is what backends are asked to beat at; Overdue is when they are no longer sent to; forget when they go.
const (
	HeartbeatInterval = 2 * monotonic.Second
	HeartbeatTimeout  = 7 * monotonic.Second
	forgetAfter       = 60 * monotonic.Second
)

// Backend is one registered instance.
type Backend struct {
	Service  string
	Instance string
	Address  string
}

type backendState struct {
	Backend
	condition     string
	lastHeartbeat monotonic.Micros
	slots         *slots.Pool
	detector      *outlier.Detector
	inFlight      map[bool]uint32 // requests in flight, by whether they run once
	overdue       bool
	departed      bool
	reported      bool // by Tell; then sequence is its last report's
	sequence      uint64
	warmUntil     monotonic.Micros
}

// Set holds them.
// Invariants: one entry per instance, and at most one per address; a leaving entry never comes back under its
// instance; nothing is let in to an entry that is leaving, overdue or gone; ended holds only instances without an entry.
type Set struct {
	// Limits bound the waiting for slots. They're set before the first backend comes.
	Limits     slots.Limits
	host       host.Host
	mu         sync.Mutex
	entries    map[string]*backendState
	tombstones map[string]tombstone
	closed     bool
	onChange   func()
}

// New makes a hutch; changed is called, without the lock, when others should hear of it.
func New(h host.Host, changed func()) *Set {
	return &Set{Limits: slots.DefaultLimits(), host: h, entries: map[string]*backendState{}, tombstones: map[string]tombstone{}, onChange: changed}
}

// Register takes a backend in, in the condition it tells: one that is leaving stays so when its carrier starts anew.
// Whoever was at its address before is gone.
func (s *Set) Register(backend Backend, condition string) error {
	if !conditions[condition] {
		return apierror.Invalid.New("condition %q is not alive, working or leaving", condition)
	}
	if backend.Service == "" || backend.Instance == "" || backend.Address == "" {
		return apierror.Invalid.New("a backend needs service, instance and address")
	}
	s.mu.Lock()
	state := s.entries[backend.Instance]
	if state != nil && (state.Backend != backend || state.condition == Leaving && condition != Leaving) {
		s.mu.Unlock()
		return apierror.Invalid.New("instance %s is registered otherwise or leaving; take a new instance id", backend.Instance)
	}
	if state != nil && state.departed || s.tombstones[backend.Instance].departed {
		s.mu.Unlock()
		return apierror.Invalid.New("instance %s said goodbye; take a new instance id", backend.Instance)
	}
	if state == nil {
		state = s.addBackend(backend)
	}
	state.condition, state.lastHeartbeat, state.overdue = condition, s.host.Now(), false
	s.mu.Unlock()
	s.host.Report(eventlog.BackendRegistered, map[string]any{"service": backend.Service, "instance": backend.Instance, "address": backend.Address})
	s.onChange()
	return nil
}

// Heartbeat notes a sign of life. An unknown instance has to register anew.
func (s *Set) Heartbeat(instance, condition string) error {
	if !conditions[condition] {
		return apierror.Invalid.New("condition %q is not alive, working or leaving", condition)
	}
	s.mu.Lock()
	state := s.entries[instance]
	if state == nil {
		s.mu.Unlock()
		return apierror.Refused.New("instance %s is not registered here", instance)
	}
	if state.departed {
		s.mu.Unlock()
		return nil
	}
	visible := s.recordHeartbeat(state, condition)
	s.mu.Unlock()
	if visible {
		s.host.Report(eventlog.BackendLeft, map[string]any{"instance": instance, "condition": condition})
		s.onChange()
	}
	return nil
}

// beat notes a sign of life; it tells whether others should hear of what it changed.
func (s *Set) recordHeartbeat(state *backendState, condition string) (visible bool) {
	visible = state.overdue
	state.lastHeartbeat, state.overdue = s.host.Now(), false
	if state.condition != Leaving {
		visible = visible || condition == Leaving
		state.condition = condition
	}
	if state.condition == Leaving {
		state.slots.Flush(state.lastHeartbeat)
	}
	return visible
}

// ExtendHeartbeats takes a span that didn't pass, or in which no beat could be heard, off every backend's silence.
func (s *Set) ExtendHeartbeats(duration monotonic.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.host.Now()
	for _, state := range s.entries {
		if !state.overdue {
			state.lastHeartbeat = min(now, state.lastHeartbeat+duration)
		}
	}
}

// Sweep marks overdue backends and forgets those long silent.
func (s *Set) Sweep() {
	s.mu.Lock()
	now := s.host.Now()
	var overdue []string
	for _, instance := range s.sortedInstances() {
		state := s.entries[instance]
		if now-state.lastHeartbeat >= forgetAfter {
			state.slots.Flush(now)
			delete(s.entries, instance)
			continue
		}
		if !state.overdue && !state.departed && now-state.lastHeartbeat >= HeartbeatTimeout {
			state.overdue = true
			state.slots.Flush(now)
			overdue = append(overdue, instance)
		}
	}
	maps.DeleteFunc(s.tombstones, func(_ string, stone tombstone) bool { return now >= stone.until })
	s.mu.Unlock()
	for _, instance := range overdue {
		s.host.Report(eventlog.BackendHeartbeatOverdue, map[string]any{"instance": instance})
	}
	if len(overdue) > 0 {
		s.onChange()
	}
}

func (s *Set) sortedInstances() []string { return slices.Sorted(maps.Keys(s.entries)) }

// maxClassShare is the most of a backend's places that reads, or run-once requests, may take. Neither can starve the other:
// submissions call lookups of the same services, so each would wait for the other's places.
const maxClassShare = 0.75

// CheckCapacity tells whether a backend may be sent to and has a place left now. It takes none.
func (s *Set) CheckCapacity(instance, service string, limit uint32, once bool) *apierror.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkCapacity(s.entries[instance], instance, service, limit, once)
}

func (s *Set) checkCapacity(state *backendState, instance, service string, limit uint32, once bool) *apierror.Fault {
	if fault := s.checkAvailable(state, instance, service); fault != nil {
		return fault
	}
	total := state.inFlight[true] + state.inFlight[false]
	if total >= limit || limit > 1 && float64(state.inFlight[once]) >= maxClassShare*float64(limit) {
		return apierror.New(apierror.Overloaded, apierror.NotRun, "%d requests at %s", total, instance)
	}
	return nil
}

// Enter lets one request in to a backend, or tells why not. leave must be called once it's over.
func (s *Set) Enter(instance, service string, limit uint32, once bool) (backend Backend, release func(), fault *apierror.Fault) {
	slot, fault := s.AdmitUncounted(Request{Instance: instance, Service: service, Once: once}, limit)
	if fault != nil {
		return Backend{}, nil, fault
	}
	return slot.Backend, func() { slot.Release(slots.Released) }, nil
}

func (s *Set) checkAvailable(state *backendState, instance, service string) *apierror.Fault {
	if state == nil || state.Service != service {
		return apierror.New(apierror.BackendUnknown, apierror.NotRun, "no instance %s of %s here", instance, service)
	}
	if state.condition == Leaving {
		return apierror.New(apierror.BackendLeaving, apierror.NotRun, "instance %s is leaving", instance)
	}
	if s.host.Now()-state.lastHeartbeat >= HeartbeatTimeout {
		return apierror.New(apierror.BackendUnknown, apierror.NotRun, "instance %s has not beaten", instance)
	}
	return nil
}

// CheckAvailable is the check right before a request is handed over.
func (s *Set) CheckAvailable(instance, service string) *apierror.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkAvailable(s.entries[instance], instance, service)
}

// Available tells whether an instance is registered here, beating and not leaving.
func (s *Set) Available(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.entries[instance]
	return state != nil && s.checkAvailable(state, instance, state.Service) == nil
}

// Backends lists the backends for the session.
func (s *Set) Backends() (backends []*wire.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, instance := range s.sortedInstances() {
		state := s.entries[instance]
		condition := state.condition
		if state.overdue {
			condition = "overdue"
		}
		backends = append(backends, &wire.Backend{Service: state.Service, Instance: state.Instance, Address: state.Address,
			Condition: condition, InFlight: uint32(state.slots.Running()), Slots: state.slots.Count(), SlowStart: int64(s.warmupLeft(state))})
	}
	return backends
}

// NewInstanceID names an instance for a backend that brings no name.
func NewInstanceID(h host.Host) string {
	return fmt.Sprintf("%016x%016x", h.Random(), h.Random())
}
