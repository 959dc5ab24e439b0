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

// The conditions that a backend reports. Only an alive or working backend takes new requests. The values are part of the backends'
// API and are sent on the wire.
const (
	Alive   = "alive"
	Working = "working"
	Leaving = wire.BackendLeaving
	// conditionOverdue is announced in place of the last condition of a backend without heartbeats.
	conditionOverdue = "overdue"
)

var conditions = map[string]bool{Alive: true, Working: true, Leaving: true}

const (
	// HeartbeatInterval is the time between two heartbeats that backends are asked for.
	HeartbeatInterval = 2 * monotonic.Second
	// HeartbeatTimeout is the time without a heartbeat after which a backend takes no requests.
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

// backendState is the entry of one instance. Set.mu guards it.
type backendState struct {
	Backend                        // never changes
	condition     string           // the last one reported; once Leaving, it stays so
	lastHeartbeat monotonic.Micros // when its last heartbeat arrived, or a later time, see ExtendHeartbeats
	slots         *slots.Pool
	detector      *outlier.Detector
	inFlight      map[bool]uint32 // requests that have a slot; the key is true for run-once requests
	overdue       bool            // Sweep found its heartbeats overdue; cleared by the next one
	departed      bool            // it deregistered
	reported      bool            // it uses ApplyReport, and sequence is that of its last report
	sequence      uint64
	warmUntil     monotonic.Micros // until when it warms up
}

// warmupLeft returns how long a backend will still be warming up; zero if it is not.
func (b *backendState) warmupLeft(now monotonic.Micros) monotonic.Micros {
	return max(b.warmUntil-now, 0)
}

// Set holds the backends. It is safe for concurrent use.
type Set struct {
	// Limits bound the waiting for slots. They must be set before the first backend registers.
	Limits   slots.Limits
	host     host.Host
	onChange func() // called without mu

	mu sync.Mutex // guards the fields below
	// entries has one entry for each instance, and at most one for each address.
	entries map[string]*backendState
	// tombstones has those of instances without an entry, until Sweep removes them.
	tombstones map[string]tombstone
	closed     bool // no request is admitted any more
}

// New returns an empty set. onChange is called when other proxies should learn of a change of the backends.
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

// sortedInstances returns the instance ids in order. mu is held.
func (s *Set) sortedInstances() []string { return slices.Sorted(maps.Keys(s.entries)) }

// Backends lists the backends as this proxy's session announces them, and the instances without an entry that have departed.
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

// CheckAvailable returns the fault because of which an instance of a service takes no requests, or nil.
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

// checkAvailable does the work of CheckAvailable. state is nil for an unknown instance. mu is held.
func (s *Set) checkAvailable(state *backendState, instance, service string) *apierror.Error {
	if state == nil || state.Service != service {
		return apierror.New(apierror.BackendUnknown, apierror.NotRun, "no instance %s of %s here", instance, service)
	}
	if state.condition == Leaving {
		return apierror.New(apierror.BackendLeaving, apierror.NotRun, "instance %s is leaving", instance)
	}
	if s.host.Now()-state.lastHeartbeat >= HeartbeatTimeout {
		return apierror.New(apierror.BackendUnknown, apierror.NotRun, "instance %s has sent no heartbeat in time", instance)
	}
	return nil
}
