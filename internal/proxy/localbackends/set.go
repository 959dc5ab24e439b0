package localbackends

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/transport/wire"
)

// The conditions that a backend reports. Only an alive or working backend gets new requests. The values are part of the API for
// backends and are sent on the wire.
const (
	Alive   = "alive"
	Working = "working"
	Leaving = wire.BackendLeaving
	// conditionOverdue is announced instead of the last reported condition if the backend's heartbeats are overdue.
	conditionOverdue = "overdue"
)

var conditions = map[string]bool{Alive: true, Working: true, Leaving: true}

const (
	// HeartbeatInterval is the interval at which backends are asked to send heartbeats.
	HeartbeatInterval = 2 * monotonic.Second
	// HeartbeatTimeout is the time without a heartbeat after which a backend gets no requests.
	HeartbeatTimeout = 7 * monotonic.Second
	// forgetAfter is the time without a heartbeat after which a backend's entry is removed, and the lifetime of a tombstone.
	forgetAfter = 60 * monotonic.Second
)

// Backend is one registered instance of a service.
type Backend struct {
	Service  string
	Instance string // unique id, new whenever the backend restarts
	Address  string // host and port
}

// backendState is the set's entry for one instance. Set.mu guards it.
type backendState struct {
	Backend                        // never changes
	condition     string           // the last one reported, except that it stays Leaving once it is
	lastHeartbeat monotonic.Micros // when its last heartbeat arrived, or a later time, see ExtendHeartbeats
	slots         *slots.Pool
	detector      *outlier.Detector
	inFlight      map[bool]uint32 // number of requests that have a slot; the key is true for run-once requests
	overdue       bool            // set by Sweep if its heartbeats are overdue, cleared by the next heartbeat
	departed      bool            // it deregistered
	reported      bool            // it uses ApplyReport; sequence is that of its last report
	sequence      uint64
	warmUntil     monotonic.Micros // end of its warm-up
}

// warmupLeft returns how long the backend will still be warming up; zero if its warm-up is over.
func (b *backendState) warmupLeft(now monotonic.Micros) monotonic.Micros {
	return max(b.warmUntil-now, 0)
}

// Set holds the backends. It is safe for concurrent use.
type Set struct {
	// Limits bounds the wait for slots. It must be set before the first backend registers.
	Limits   slots.Limits
	host     host.Host
	onChange func() // called without mu

	mu sync.Mutex // guards the fields below
	// entries has one entry for each instance, and at most one for each address.
	entries map[string]*backendState
	// tombstones holds the tombstones of instances without an entry, until Sweep removes them.
	tombstones map[string]tombstone
	closed     bool // Close was called: Admit rejects all requests
}

// New returns an empty set. onChange is called after each change of the backends that other proxies should learn of at once.
func New(h host.Host, onChange func()) *Set {
	return &Set{
		Limits:     slots.DefaultLimits(),
		host:       h,
		onChange:   onChange,
		entries:    map[string]*backendState{},
		tombstones: map[string]tombstone{},
	}
}

// NewInstanceID returns a random instance id for a backend that registers without one.
func NewInstanceID(h host.Host) string {
	return fmt.Sprintf("%016x%016x", h.Random(), h.Random())
}

// sortedInstances returns the sorted ids of the instances with an entry. The caller holds mu.
func (s *Set) sortedInstances() []string { return slices.Sorted(maps.Keys(s.entries)) }

// Backends lists the backends as this proxy's session announces them. Instances that deregistered and have only a tombstone are
// listed as leaving.
func (s *Set) Backends() []*wire.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	var backends []*wire.Backend
	for _, instance := range slices.Sorted(maps.Keys(s.tombstones)) {
		if s.tombstones[instance].departed {
			backends = append(backends, &wire.Backend{Instance: instance, Condition: Leaving})
		}
	}
	for _, instance := range s.sortedInstances() {
		state := s.entries[instance]
		condition := state.condition
		if state.overdue {
			condition = conditionOverdue
		}
		backends = append(backends, &wire.Backend{
			Service:   state.Service,
			Instance:  state.Instance,
			Address:   state.Address,
			Condition: condition,
			InFlight:  uint32(state.slots.Running()),
			Slots:     state.slots.Count(),
			SlowStart: int64(state.warmupLeft(s.host.Now())),
		})
	}
	return backends
}

// CheckAvailable returns nil if an instance of a service is registered here and takes requests, and a fault otherwise.
func (s *Set) CheckAvailable(instance, service string) *apierror.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkAvailable(s.entries[instance], instance, service)
}

// Available reports whether an instance is registered here and takes requests.
func (s *Set) Available(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.entries[instance]
	return state != nil && s.checkAvailable(state, instance, state.Service) == nil
}

// checkAvailable implements CheckAvailable. state is nil for an unknown instance. The caller holds mu.
func (s *Set) checkAvailable(state *backendState, instance, service string) *apierror.Error {
	if state == nil || state.Service != service {
		return apierror.New(apierror.BackendUnknown, apierror.NotRun, "instance %s of %s is not registered here", instance, service)
	}
	if state.condition == Leaving {
		return apierror.New(apierror.BackendLeaving, apierror.NotRun, "instance %s is leaving", instance)
	}
	if s.host.Now()-state.lastHeartbeat >= HeartbeatTimeout {
		return apierror.New(apierror.BackendUnknown, apierror.NotRun, "the heartbeats of instance %s are overdue", instance)
	}
	return nil
}
