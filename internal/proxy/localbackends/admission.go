package localbackends

import (
	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/transport/wire"
)

// Request is a request for a slot. Its moments are on this carrier's clock.
type Request struct {
	Instance string
	Service  string
	Once     bool
	slots.Request
}

// Slot is a request's slot at a backend. Leave gives it back.
type Slot struct {
	Backend Backend
	set     *Set
	backend *backendState
	ticket  *slots.Ticket
	once    bool
}

// Release gives the slot back; further calls do nothing.
func (s *Slot) Release(end slots.Outcome) {
	s.set.mu.Lock()
	defer s.set.mu.Unlock()
	if s.ticket.State() == slots.Running {
		s.backend.inFlight[s.once]--
	}
	s.backend.slots.Release(s.set.host.Now(), s.ticket, end)
}

func (s *Set) newSlot(state *backendState, ticket *slots.Ticket, once bool) *Slot {
	state.inFlight[once]++
	return &Slot{Backend: state.Backend, set: s, backend: state, ticket: ticket, once: once}
}

// HasSlotCount tells whether a backend has said how many slots it has.
func (s *Set) HasSlotCount(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.entries[instance]
	return state != nil && state.slots.Count() > 0
}

// AdmitUncounted lets a request in to a backend of unknown slots while fewer than limit are there.
func (s *Set) AdmitUncounted(request Request, limit uint32) (*Slot, *apierror.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.entries[request.Instance]
	if fault := s.checkCapacity(state, request.Instance, request.Service, limit, request.Once); fault != nil {
		return nil, fault
	}
	return s.newSlot(state, state.slots.Force(s.host.Now(), request.Request), request.Once), nil
}

// Admit gives a request a slot, waits for one, or refuses. A refusal is certain: nothing ran.
func (s *Set) Admit(request Request) (*Slot, *apierror.Fault) {
	state, ticket, signal, fault := s.enqueue(request)
	if fault != nil {
		return nil, fault
	}
	for signal != nil {
		timeout, waits := s.sleepTime(state, ticket)
		if !waits {
			break
		}
		signal.Wait(max(timeout, 1))
	}
	return s.finishAdmission(state, ticket, request)
}

// queue brings a request to its backend's slots. There is a signal for it if it has to wait.
func (s *Set) enqueue(request Request) (*backendState, *slots.Ticket, host.Signal, *apierror.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.entries[request.Instance]
	if fault := s.checkOpen(state, request); fault != nil {
		return nil, nil, nil, fault
	}
	ticket := state.slots.Enter(s.host.Now(), request.Request)
	if ticket.State() != slots.Waiting {
		return state, ticket, nil, nil
	}
	signal := s.host.NewSignal()
	ticket.Wake = signal.Fire
	return state, ticket, signal, nil
}

// patience is how long a waiter may sleep.
func (s *Set) sleepTime(state *backendState, ticket *slots.Ticket) (duration monotonic.Micros, waits bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.host.Now()
	state.slots.Advance(now)
	return state.slots.WakeAt(ticket) - now, ticket.State() == slots.Waiting
}

// admitted gives a request whose ticket waits no more its pass, or tells why it gets none.
func (s *Set) finishAdmission(state *backendState, ticket *slots.Ticket, request Request) (*Slot, *apierror.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Who is at the address, and whether it may be sent to, may have changed meanwhile.
	fault := s.checkOpen(s.entries[request.Instance], request)
	if fault == nil && s.entries[request.Instance] != state {
		fault = apierror.New(apierror.BackendUnknown, apierror.NotRun, "instance %s was registered anew", request.Instance)
	}
	if fault != nil {
		state.slots.Release(s.host.Now(), ticket, slots.Released)
		return nil, fault
	}
	if ticket.State() == slots.Rejected {
		fault = apierror.New(apierror.Overloaded, apierror.NotRun, "%d of %d slots taken at %s, %d wait", state.slots.Taken(), state.slots.Count(), request.Instance, state.slots.Waiting())
		fault.RetryAfter = ticket.RetryAfter()
		return nil, fault
	}
	return s.newSlot(state, ticket, request.Once), nil
}

func (s *Set) checkOpen(state *backendState, request Request) *apierror.Fault {
	if s.closed {
		return apierror.New(apierror.Draining, apierror.NotRun, "this carrier is stopping")
	}
	return s.checkAvailable(state, request.Instance, request.Service)
}

// Close refuses all who wait for a slot, and whoever comes later.
func (s *Set) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, instance := range s.sortedInstances() {
		s.entries[instance].slots.Flush(s.host.Now())
	}
}

// Load is how a backend stands, for callers of a kind of request to choose by; nothing if it isn't here.
func (s *Set) Load(instance, kind string) *wire.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.entries[instance]
	if state == nil {
		return nil
	}
	load := &wire.Load{Slots: state.slots.Count(), Running: uint32(state.slots.Taken()), Waiting: uint32(state.slots.Waiting()), SlowStartMicros: int64(s.warmupLeft(state)),
		RouteMicros: int64(state.slots.ServiceTimeOf(kind))}
	if state.slots.Measured() {
		load.ServiceMicros = int64(state.slots.ServiceTime())
	}
	return load
}

// DeadlineAfter turns a span that a message told into a moment of this carrier's clock; none stays none.
func (s *Set) DeadlineAfter(duration int64) monotonic.Micros {
	if duration <= 0 {
		return 0
	}
	return s.host.Now() + monotonic.Micros(duration)
}
