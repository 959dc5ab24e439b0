package localbackends

import (
	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/transport/wire"
)

// Admission is a request for a slot. Its moments are on this carrier's clock.
type Admission struct {
	Instance string
	Service  string
	Once     bool
	slots.Ask
}

// Pass is a request's slot at a backend. Leave gives it back.
type Pass struct {
	Backend Backend
	hutch   *Hutch
	present *entry
	ticket  *slots.Ticket
	once    bool
}

// Leave gives the slot back; further calls do nothing.
func (pass *Pass) Leave(end slots.End) {
	pass.hutch.lock.Lock()
	defer pass.hutch.lock.Unlock()
	if pass.ticket.State() == slots.Running {
		pass.present.classes[pass.once]--
	}
	pass.present.slots.Leave(pass.hutch.place.Now(), pass.ticket, end)
}

func (hutch *Hutch) pass(present *entry, ticket *slots.Ticket, once bool) *Pass {
	present.classes[once]++
	return &Pass{Backend: present.Backend, hutch: hutch, present: present, ticket: ticket, once: once}
}

// Counted tells whether a backend has said how many slots it has.
func (hutch *Hutch) Counted(instance string) bool {
	hutch.lock.Lock()
	defer hutch.lock.Unlock()
	present := hutch.entries[instance]
	return present != nil && present.slots.Count() > 0
}

// Place lets a request in to a backend of unknown slots while fewer than limit are there.
func (hutch *Hutch) Place(ask Admission, limit uint32) (*Pass, *apierror.Fault) {
	hutch.lock.Lock()
	defer hutch.lock.Unlock()
	present := hutch.entries[ask.Instance]
	if fault := hutch.room(present, ask.Instance, ask.Service, limit, ask.Once); fault != nil {
		return nil, fault
	}
	return hutch.pass(present, present.slots.Force(hutch.place.Now(), ask.Ask), ask.Once), nil
}

// Admit gives a request a slot, waits for one, or refuses. A refusal is certain: nothing ran.
func (hutch *Hutch) Admit(ask Admission) (*Pass, *apierror.Fault) {
	present, ticket, signal, fault := hutch.queue(ask)
	if fault != nil {
		return nil, fault
	}
	for signal != nil {
		patience, waits := hutch.patience(present, ticket)
		if !waits {
			break
		}
		signal.Wait(max(patience, 1))
	}
	return hutch.admitted(present, ticket, ask)
}

// queue brings a request to its backend's slots. There is a signal for it if it has to wait.
func (hutch *Hutch) queue(ask Admission) (*entry, *slots.Ticket, host.Signal, *apierror.Fault) {
	hutch.lock.Lock()
	defer hutch.lock.Unlock()
	present := hutch.entries[ask.Instance]
	if fault := hutch.barred(present, ask); fault != nil {
		return nil, nil, nil, fault
	}
	ticket := present.slots.Enter(hutch.place.Now(), ask.Ask)
	if ticket.State() != slots.Waiting {
		return present, ticket, nil, nil
	}
	signal := hutch.place.NewSignal()
	ticket.Wake = signal.Fire
	return present, ticket, signal, nil
}

// patience is how long a waiter may sleep.
func (hutch *Hutch) patience(present *entry, ticket *slots.Ticket) (span monotonic.Micros, waits bool) {
	hutch.lock.Lock()
	defer hutch.lock.Unlock()
	now := hutch.place.Now()
	present.slots.Advance(now)
	return present.slots.WakeAt(ticket) - now, ticket.State() == slots.Waiting
}

// admitted gives a request whose ticket waits no more its pass, or tells why it gets none.
func (hutch *Hutch) admitted(present *entry, ticket *slots.Ticket, ask Admission) (*Pass, *apierror.Fault) {
	hutch.lock.Lock()
	defer hutch.lock.Unlock()
	// Who is at the address, and whether it may be sent to, may have changed meanwhile.
	fault := hutch.barred(hutch.entries[ask.Instance], ask)
	if fault == nil && hutch.entries[ask.Instance] != present {
		fault = apierror.New(apierror.BackendUnknown, apierror.NotRun, "instance %s was registered anew", ask.Instance)
	}
	if fault != nil {
		present.slots.Leave(hutch.place.Now(), ticket, slots.Over)
		return nil, fault
	}
	if ticket.State() == slots.Refused {
		fault = apierror.New(apierror.Overloaded, apierror.NotRun, "%d of %d slots taken at %s, %d wait", present.slots.Taken(), present.slots.Count(), ask.Instance, present.slots.Waiting())
		fault.RetryAfter = ticket.RetryAfter()
		return nil, fault
	}
	return hutch.pass(present, ticket, ask.Once), nil
}

func (hutch *Hutch) barred(present *entry, ask Admission) *apierror.Fault {
	if hutch.closed {
		return apierror.New(apierror.Draining, apierror.NotRun, "this carrier is stopping")
	}
	return hutch.objection(present, ask.Instance, ask.Service)
}

// Close refuses all who wait for a slot, and whoever comes later.
func (hutch *Hutch) Close() {
	hutch.lock.Lock()
	defer hutch.lock.Unlock()
	hutch.closed = true
	for _, instance := range hutch.instances() {
		hutch.entries[instance].slots.Flush(hutch.place.Now())
	}
}

// Load is how a backend stands, for callers of a kind of request to choose by; nothing if it isn't here.
func (hutch *Hutch) Load(instance, kind string) *wire.Load {
	hutch.lock.Lock()
	defer hutch.lock.Unlock()
	present := hutch.entries[instance]
	if present == nil {
		return nil
	}
	load := &wire.Load{Slots: present.slots.Count(), Running: uint32(present.slots.Taken()), Waiting: uint32(present.slots.Waiting()), SlowStartMicros: int64(hutch.warm(present)),
		RouteMicros: int64(present.slots.WorkOf(kind))}
	if present.slots.Measured() {
		load.ServiceMicros = int64(present.slots.Work())
	}
	return load
}

// Remaining turns a span that a message told into a moment of this carrier's clock; none stays none.
func (hutch *Hutch) Remaining(span int64) monotonic.Micros {
	if span <= 0 {
		return 0
	}
	return hutch.place.Now() + monotonic.Micros(span)
}
