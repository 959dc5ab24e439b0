package localbackends

import (
	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/transport/wire"
)

// maxClassShare is the largest fraction of the permitted requests that one class of requests may have in flight at a backend that
// does not report its number of slots, if more than one request is permitted. The classes are run-once requests and all others. The
// share keeps either class from starving the other: run-once requests cause requests of the other class to the same services, so that
// each class would wait for the other's slots.
const maxClassShare = 0.75

// minWait is the shortest wait for a signal, in microseconds. It ensures that time passes in each iteration of a wait.
const minWait = monotonic.Micros(1)

// Request is a request for a slot at a backend. Its times are on this process's clock.
type Request struct {
	Instance string
	Service  string
	RunOnce  bool // it has an idempotency key and must run only once
	slots.Request
}

// Slot is a request's slot at a backend. It must be released.
type Slot struct {
	Backend Backend
	set     *Set
	backend *backendState
	ticket  *slots.Ticket
	runOnce bool
}

// Release releases the slot. Further calls do nothing.
func (s *Slot) Release(outcome slots.Outcome) {
	s.set.mu.Lock()
	defer s.set.mu.Unlock()
	if s.ticket.State() == slots.Running {
		s.backend.inFlight[s.runOnce]--
	}
	s.backend.slots.Release(s.set.host.Now(), s.ticket, outcome)
}

// newSlot returns the slot of a running ticket. The caller holds mu.
func (s *Set) newSlot(state *backendState, ticket *slots.Ticket, runOnce bool) *Slot {
	state.inFlight[runOnce]++
	return &Slot{Backend: state.Backend, set: s, backend: state, ticket: ticket, runOnce: runOnce}
}

// HasSlotCount reports whether a backend has reported its number of slots.
func (s *Set) HasSlotCount(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.entries[instance]
	return state != nil && state.slots.Count() > 0
}

// CheckCapacity returns the fault with which AdmitUncounted would reject a request now, or nil if it would admit the request. It
// takes no slot.
func (s *Set) CheckCapacity(instance, service string, limit uint32, runOnce bool) *apierror.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkCapacity(s.entries[instance], instance, service, limit, runOnce)
}

// checkCapacity implements CheckCapacity. The caller holds mu.
func (s *Set) checkCapacity(state *backendState, instance, service string, limit uint32, runOnce bool) *apierror.Error {
	if fault := s.checkAvailable(state, instance, service); fault != nil {
		return fault
	}
	total := state.inFlight[true] + state.inFlight[false]
	if total >= limit || limit > 1 && float64(state.inFlight[runOnce]) >= maxClassShare*float64(limit) {
		return apierror.New(apierror.Overloaded, apierror.NotRun, "%d requests in flight at %s", total, instance)
	}
	return nil
}

// AdmitUncounted admits a request to a backend that does not report its number of slots, while fewer than limit requests are in
// flight there and the request's class has not reached its share, see maxClassShare.
func (s *Set) AdmitUncounted(request Request, limit uint32) (*Slot, *apierror.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.entries[request.Instance]
	if fault := s.checkCapacity(state, request.Instance, request.Service, limit, request.RunOnce); fault != nil {
		return nil, fault
	}
	return s.newSlot(state, state.slots.Force(s.host.Now(), request.Request), request.RunOnce), nil
}

// Admit takes a slot for a request at a backend that reports its number of slots. It waits for the slot if necessary. If it returns
// a fault, the request has not run.
func (s *Set) Admit(request Request) (*Slot, *apierror.Error) {
	waiting, fault := s.enqueue(request)
	if fault != nil {
		return nil, fault
	}
	for waiting.signal != nil {
		timeout, waits := s.sleepTime(waiting)
		if !waits {
			break
		}
		waiting.signal.Wait(max(timeout, minWait))
	}
	return s.finishAdmission(waiting, request)
}

// waitingRequest is a request in a backend's pool.
type waitingRequest struct {
	backend *backendState
	ticket  *slots.Ticket
	signal  host.Signal // wakes the caller; nil if the ticket did not have to wait
}

// enqueue adds a request to its backend's pool.
func (s *Set) enqueue(request Request) (*waitingRequest, *apierror.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.entries[request.Instance]
	if fault := s.checkOpen(state, request); fault != nil {
		return nil, fault
	}
	waiting := &waitingRequest{backend: state, ticket: state.slots.Enter(s.host.Now(), request.Request)}
	if waiting.ticket.State() == slots.Waiting {
		waiting.signal = s.host.NewSignal()
		waiting.ticket.Wake = waiting.signal.Fire
	}
	return waiting, nil
}

// sleepTime returns how long the caller of a ticket may sleep, and whether the ticket still waits.
func (s *Set) sleepTime(waiting *waitingRequest) (timeout monotonic.Micros, waits bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.host.Now()
	pool := waiting.backend.slots
	pool.Advance(now)
	return pool.WakeAt(waiting.ticket) - now, waiting.ticket.State() == slots.Waiting
}

// finishAdmission returns the slot of a request whose ticket does not wait any more, or the fault that rejects it.
func (s *Set) finishAdmission(waiting *waitingRequest, request Request) (*Slot, *apierror.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := waiting.backend.slots
	// During the wait, the instance may have become unavailable or its entry may have been replaced.
	fault := s.checkOpen(s.entries[request.Instance], request)
	if fault == nil && s.entries[request.Instance] != waiting.backend {
		fault = apierror.New(apierror.BackendUnknown, apierror.NotRun, "instance %s was registered again during the wait", request.Instance)
	}
	if fault != nil {
		pool.Release(s.host.Now(), waiting.ticket, slots.Released)
		return nil, fault
	}
	if waiting.ticket.State() == slots.Rejected {
		fault = apierror.New(apierror.Overloaded, apierror.NotRun, "%d of %d slots taken at %s, %d requests waiting",
			pool.Taken(), pool.Count(), request.Instance, pool.Waiting())
		fault.RetryAfter = waiting.ticket.RetryAfter()
		return nil, fault
	}
	return s.newSlot(waiting.backend, waiting.ticket, request.RunOnce), nil
}

// checkOpen rejects requests to an unavailable backend, and all requests after Close. The caller holds mu.
func (s *Set) checkOpen(state *backendState, request Request) *apierror.Error {
	if s.closed {
		return apierror.New(apierror.Draining, apierror.NotRun, "this proxy is stopping")
	}
	return s.checkAvailable(state, request.Instance, request.Service)
}

// Close rejects all requests that wait for a slot, and makes Admit reject all later ones.
func (s *Set) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, instance := range s.sortedInstances() {
		s.entries[instance].slots.Flush(s.host.Now())
	}
}

// Load returns a backend's load for the load balancers of other proxies, including the service time of one kind of request. It
// returns nil for an unknown instance.
func (s *Set) Load(instance, kind string) *wire.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.entries[instance]
	if state == nil {
		return nil
	}
	load := &wire.Load{
		Slots:           state.slots.Count(),
		Running:         uint32(state.slots.Taken()),
		Waiting:         uint32(state.slots.Waiting()),
		SlowStartMicros: int64(state.warmupLeft(s.host.Now())),
		RouteMicros:     int64(state.slots.ServiceTimeOf(kind)),
	}
	if state.slots.Measured() {
		load.ServiceMicros = int64(state.slots.ServiceTime())
	}
	return load
}
