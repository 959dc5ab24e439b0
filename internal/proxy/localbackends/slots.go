package localbackends

import (
	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/transport/wire"
)

// maxClassShare is the largest part of a backend's slots that requests of one class may take, where the backend does not report
// its slots. The classes are run-once requests and all others. Neither can starve the other: run-once requests cause requests
// of the other class to the same services, so that each would wait for the other's slots.
const maxClassShare = 0.75

// minWait is the shortest wait for a signal, in microseconds, so that a waiting caller always lets time pass.
const minWait = monotonic.Micros(1)

// Request is a request for a slot. Its times are on this process's clock.
type Request struct {
	Instance string
	Service  string
	RunOnce  bool // it is a run-once request: it has an idempotency key
	slots.Request
}

// Slot is a request's slot at a backend. Its owner must release it.
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

// newSlot returns the slot of a running ticket. mu is held.
func (s *Set) newSlot(state *backendState, ticket *slots.Ticket, runOnce bool) *Slot {
	state.inFlight[runOnce]++
	return &Slot{Backend: state.Backend, set: s, backend: state, ticket: ticket, runOnce: runOnce}
}

// HasSlotCount reports whether a backend has reported the number of its slots.
func (s *Set) HasSlotCount(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.entries[instance]
	return state != nil && state.slots.Count() > 0
}

// CheckCapacity returns the fault with which AdmitUncounted would reject a request now, or nil. It takes no slot.
func (s *Set) CheckCapacity(instance, service string, limit uint32, runOnce bool) *apierror.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkCapacity(s.entries[instance], instance, service, limit, runOnce)
}

// checkCapacity does the work of CheckCapacity. mu is held.
func (s *Set) checkCapacity(state *backendState, instance, service string, limit uint32, runOnce bool) *apierror.Error {
	if fault := s.checkAvailable(state, instance, service); fault != nil {
		return fault
	}
	total := state.inFlight[true] + state.inFlight[false]
	if total >= limit || limit > 1 && float64(state.inFlight[runOnce]) >= maxClassShare*float64(limit) {
		return apierror.New(apierror.Overloaded, apierror.NotRun, "%d requests at %s", total, instance)
	}
	return nil
}

// AdmitUncounted admits a request to a backend that does not report its number of slots, while fewer than limit are in flight there.
func (s *Set) AdmitUncounted(request Request, limit uint32) (*Slot, *apierror.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.entries[request.Instance]
	if fault := s.checkCapacity(state, request.Instance, request.Service, limit, request.RunOnce); fault != nil {
		return nil, fault
	}
	return s.newSlot(state, state.slots.Force(s.host.Now(), request.Request), request.RunOnce), nil
}

// Admit takes a slot for a request at a backend that reports its number of slots, after a wait if necessary, or rejects the request,
// which then has not run.
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

// waitingRequest is a request that entered a backend's pool.
type waitingRequest struct {
	backend *backendState
	ticket  *slots.Ticket
	signal  host.Signal // wakes the caller; nil if the ticket did not have to wait
}

// enqueue enters a request into its backend's pool.
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

// sleepTime returns how long the caller of a waiting ticket may sleep, and whether the ticket still waits.
func (s *Set) sleepTime(waiting *waitingRequest) (timeout monotonic.Micros, waits bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.host.Now()
	pool := waiting.backend.slots
	pool.Advance(now)
	return pool.WakeAt(waiting.ticket) - now, waiting.ticket.State() == slots.Waiting
}

// finishAdmission returns the slot of a request whose ticket does not wait any more, or the fault.
func (s *Set) finishAdmission(waiting *waitingRequest, request Request) (*Slot, *apierror.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := waiting.backend.slots
	// The instance's entry, and whether it takes requests, may have changed during the wait.
	fault := s.checkOpen(s.entries[request.Instance], request)
	if fault == nil && s.entries[request.Instance] != waiting.backend {
		fault = apierror.New(apierror.BackendUnknown, apierror.NotRun, "instance %s was registered anew", request.Instance)
	}
	if fault != nil {
		pool.Release(s.host.Now(), waiting.ticket, slots.Released)
		return nil, fault
	}
	if waiting.ticket.State() == slots.Rejected {
		fault = apierror.New(apierror.Overloaded, apierror.NotRun, "%d of %d slots taken at %s, %d wait",
			pool.Taken(), pool.Count(), request.Instance, pool.Waiting())
		fault.RetryAfter = waiting.ticket.RetryAfter()
		return nil, fault
	}
	return s.newSlot(waiting.backend, waiting.ticket, request.RunOnce), nil
}

// checkOpen rejects requests to an unavailable backend, and all requests after Close. mu is held.
func (s *Set) checkOpen(state *backendState, request Request) *apierror.Error {
	if s.closed {
		return apierror.New(apierror.Draining, apierror.NotRun, "this proxy is stopping")
	}
	return s.checkAvailable(state, request.Instance, request.Service)
}

// Close rejects all requests that wait for a slot, and all later ones.
func (s *Set) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, instance := range s.sortedInstances() {
		s.entries[instance].slots.Flush(s.host.Now())
	}
}

// Load returns a backend's load for the load balancers of other proxies, with the service time of one kind of request. It is nil
// for an unknown instance.
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
