// Package slots is the admission to one backend: how many requests it runs at once, who waits for a slot, and who is
// refused. It's a pure state machine: its owner gives it the time, holds a lock around it, and puts waiters to sleep.
package slots

import (
	"slices"

	"snowflow/internal/monotonic"
)

// Terms bound the waiting.
type Terms struct {
	// WaitingPerSlot bounds the queue's length.
	WaitingPerSlot int
	// FirstWork is taken for the mean work time before any was measured.
	FirstWork monotonic.Micros
	// AimShare is the part of the aim that a request may be expected to wait; RemainingShare is that of its remaining
	// time where it has no aim. A patient request may wait as long as it still ends before its cutoff.
	AimShare, RemainingShare float64
	// LatePerSlot bounds how many wait for each slot though they can't be answered within their aim any more.
	LatePerSlot float64
	// MostLinger bounds how long a slot stays taken after a delivery of which it isn't known whether the backend still
	// works on it. Zero: until the request's cutoff, at which backends stop working.
	MostLinger monotonic.Micros
}

// Default are the terms that nobody set.
func Default() Terms {
	return Terms{WaitingPerSlot: 8, FirstWork: 50 * monotonic.Millisecond, AimShare: 0.5, RemainingShare: 0.25, LatePerSlot: 0.5}
}

const (
	// lingerMargin is what a backend may be late to notice a cutoff.
	lingerMargin = 5 * monotonic.Millisecond
	// memory is the number of requests over which the mean work time is taken, the newest weighing most.
	memory = 16
	// least is the shortest time that a refusal names; zero would say not to come back.
	least = monotonic.Millisecond
)

// Ask is what a request brings along. Moments are on the owner's clock.
type Ask struct {
	Priority uint32           // zero goes first
	Aim      monotonic.Micros // the moment up to which the answer has its full worth; zero if not known
	Cutoff   monotonic.Micros
	StartBy  monotonic.Micros // the moment by which it must have its slot; zero if only the cutoff bounds that
	Patient  bool
	Kind     string // requests of one kind take about as long
}

// State is how far a ticket has come. It only ever rises.
type State int

// The states. A waiting ticket becomes running or refused, a running one ended.
const (
	Waiting State = iota
	Running
	Refused
	Ended
)

// End is how a request left its slot.
type End int

// The ends. Worked: the backend did its work. Over: it isn't working on it, and how long it had it says nothing of its pace.
// Unsure: it may still be working on it.
const (
	Worked End = iota
	Over
	Unsure
)

// Ticket is one request at the gate.
type Ticket struct {
	// Wake is called when a waiting ticket has to look at its state and its wake-up again. The owner sets it.
	Wake       func()
	ask        Ask
	arrived    monotonic.Micros
	due        monotonic.Micros // the latest moment at which its answer is of full worth, as far as known
	started    monotonic.Micros
	work       monotonic.Micros // what its work is expected to take
	behind     bool             // it was let wait though it would be late
	alarm      monotonic.Micros // when a lingering slot comes free, for the one waiter that sees to it
	state      State
	retryAfter monotonic.Micros
}

// State tells how far the ticket has come.
func (ticket *Ticket) State() State { return ticket.state }

// RetryAfter is the wait that a refused ticket had to expect.
func (ticket *Ticket) RetryAfter() monotonic.Micros { return ticket.retryAfter }

// before is the order of the queue: by priority, then by who must start first; who came earlier goes before its like.
func (ticket *Ticket) before(other *Ticket) bool {
	if ticket.ask.Priority != other.ask.Priority {
		return ticket.ask.Priority < other.ask.Priority
	}
	return ticket.due < other.due
}

// late tells that the answer can't come within the aim any more, as far as can be expected.
func (ticket *Ticket) late(now monotonic.Micros) bool {
	return ticket.behind || ticket.ask.Aim > 0 && now+ticket.work > ticket.ask.Aim
}

// mean is a mean work time in microseconds, the newest requests weighing most.
type mean struct {
	work     float64
	measured int
}

func (mean *mean) take(work monotonic.Micros) {
	mean.measured = min(mean.measured+1, memory)
	mean.work += (float64(work) - mean.work) / float64(mean.measured)
}

// Slots is one backend's admission. Who can still be answered within the aim goes before who can't: under a lasting rush a queue
// in order of arrival would answer everybody late.
// Invariants: running + lingering <= count whenever a ticket is let in by Enter or from the queue; nobody waits while a slot is
// free; the queue is sorted by before; running counts exactly the tickets in that state; while both are not empty,
// keeper is a waiter whose alarm is the first end of a lingering slot.
type Slots struct {
	terms     Terms
	count     int // zero: unknown, and then unbounded
	running   int
	lingering []monotonic.Micros // until when each is kept
	queue     []*Ticket
	keeper    *Ticket
	work      mean
	kinds     map[string]*mean // invariant: as many as there are routes to this backend, mostKinds at most
}

const (
	// mostKinds bounds what is kept by kind.
	mostKinds = 256
	// enough is how many requests of a kind make its own mean better than that of all.
	enough = 4
)

// New makes the admission to a backend of which nothing is known yet.
func New(terms Terms) *Slots { return &Slots{terms: terms, kinds: map[string]*mean{}} }

// SetCount takes the number of slots that the backend says it has.
func (slots *Slots) SetCount(now monotonic.Micros, count uint32) {
	slots.count = int(count)
	slots.Advance(now)
}

// Count is the number of slots, zero if unknown.
func (slots *Slots) Count() uint32 { return uint32(slots.count) }

// Taken is the number of slots that no new request may have now.
func (slots *Slots) Taken() int { return slots.running + len(slots.lingering) }

// Running is the number of requests that are in their slots.
func (slots *Slots) Running() int { return slots.running }

// Waiting is the length of the queue.
func (slots *Slots) Waiting() int { return len(slots.queue) }

// Work is the mean time for which a request holds its slot.
func (slots *Slots) Work() monotonic.Micros {
	if slots.work.measured == 0 {
		return slots.terms.FirstWork
	}
	return monotonic.Micros(slots.work.work)
}

// workOf is the mean for a kind, or for all while too few of it were measured.
func (slots *Slots) workOf(kind string) monotonic.Micros {
	if work := slots.WorkOf(kind); work > 0 {
		return work
	}
	return slots.Work()
}

// WorkOf is the mean time for which a request of a kind holds its slot; zero while too few of it were measured.
func (slots *Slots) WorkOf(kind string) monotonic.Micros {
	if known := slots.kinds[kind]; known != nil && known.measured >= enough {
		return monotonic.Micros(known.work)
	}
	return 0
}

// Relearn takes what was measured for hardly known: the backend isn't any more as it was then.
func (slots *Slots) Relearn() {
	slots.work.measured = min(slots.work.measured, 1)
	for _, known := range slots.kinds {
		known.measured = min(known.measured, 1)
	}
}

// Measured tells whether Work comes from requests that were worked on.
func (slots *Slots) Measured() bool { return slots.work.measured > 0 }

func (slots *Slots) free() bool { return slots.count == 0 || slots.Taken() < slots.count }

// Enter brings a request. Its ticket is running, waiting or refused.
func (slots *Slots) Enter(now monotonic.Micros, ask Ask) *Ticket {
	slots.Advance(now)
	ticket := &Ticket{ask: ask, arrived: now, due: ask.Aim, work: slots.workOf(ask.Kind)}
	if slots.free() {
		slots.run(now, ticket)
		return ticket
	}
	if ask.Aim <= now {
		ticket.due = now + share(ask.Cutoff-now, slots.terms.RemainingShare)
	}
	place := len(slots.queue)
	for place > 0 && ticket.before(slots.queue[place-1]) {
		place--
	}
	wait, welcome := slots.welcome(now, ticket, place)
	if !welcome || ask.StartBy > 0 && wait > ask.StartBy-now {
		slots.refuse(ticket, wait)
		return ticket
	}
	if last := len(slots.queue) - 1; len(slots.queue) >= max(1, slots.count*slots.terms.WaitingPerSlot) {
		if slots.queue[last].ask.Priority <= ask.Priority {
			slots.refuse(ticket, wait)
			return ticket
		}
		displaced := slots.queue[last]
		slots.queue[last] = nil
		slots.queue = slots.queue[:last]
		slots.refuse(displaced, slots.wait(now, slots.ahead(slots.queue, func(*Ticket) bool { return true })))
	}
	slots.queue = slices.Insert(slots.queue, place, ticket)
	slots.keep()
	return ticket
}

// welcome tells whether a request may wait at a place of the queue, and what wait it has to expect. It may where it will be
// answered within its aim and, if it has another backend to go to, without waiting for long. One that has none left may also
// wait to be answered late, behind all who can be answered in time, while few others do.
func (slots *Slots) welcome(now monotonic.Micros, ticket *Ticket, place int) (wait monotonic.Micros, welcome bool) {
	ask := ticket.ask
	wait = slots.wait(now, slots.ahead(slots.queue[:place], func(other *Ticket) bool { return !other.late(now) }))
	if ask.Aim <= now || wait+ticket.work <= ask.Aim-now {
		return wait, wait+ticket.work <= ask.Cutoff-now && (ask.Patient || wait <= slots.mostWait(now, ask))
	}
	waiting := 0
	wait = slots.wait(now, slots.ahead(slots.queue, func(other *Ticket) bool {
		if !other.late(now) {
			return true
		}
		waiting++
		return other.before(ticket)
	}))
	few := float64(waiting) < max(1, float64(slots.count)*slots.terms.LatePerSlot)
	ticket.behind = true
	return wait, ask.Patient && few && wait+ticket.work <= ask.Cutoff-now
}

// ahead sums the work of those that count.
func (slots *Slots) ahead(queue []*Ticket, counts func(ticket *Ticket) bool) (work monotonic.Micros) {
	for _, ticket := range queue {
		if counts(ticket) {
			work += ticket.work
		}
	}
	return work
}

// Force lets a request in whatever the count, for backends whose count isn't known.
func (slots *Slots) Force(now monotonic.Micros, ask Ask) *Ticket {
	slots.Advance(now)
	ticket := &Ticket{ask: ask, arrived: now, work: slots.workOf(ask.Kind)}
	slots.run(now, ticket)
	return ticket
}

func share(span monotonic.Micros, part float64) monotonic.Micros {
	return monotonic.Micros(float64(span) * part)
}

func (slots *Slots) mostWait(now monotonic.Micros, ask Ask) monotonic.Micros {
	if ask.Aim > now {
		return share(ask.Aim-now, slots.terms.AimShare)
	}
	return share(ask.Cutoff-now, slots.terms.RemainingShare)
}

// wait is what a request with so much work ahead of it has to expect: slots come free one by one, each after the mean work
// time over their number. Lingering slots give nobody way before their end.
func (slots *Slots) wait(now, ahead monotonic.Micros) monotonic.Micros {
	if slots.count == 0 {
		return 0
	}
	working := slots.count - len(slots.lingering)
	if working > 0 {
		return (slots.Work() + ahead) / monotonic.Micros(working)
	}
	first := slices.Min(slots.lingering)
	return first - now + ahead/monotonic.Micros(max(1, slots.count))
}

func (slots *Slots) run(now monotonic.Micros, ticket *Ticket) {
	ticket.state, ticket.started = Running, now
	slots.running++
}

func (slots *Slots) refuse(ticket *Ticket, wait monotonic.Micros) {
	ticket.state, ticket.retryAfter = Refused, max(wait, least)
	ticket.wake()
}

func (ticket *Ticket) wake() {
	if ticket.Wake != nil {
		ticket.Wake()
	}
}

// tooLate is the moment from which a waiter is no longer worth starting, or may not be.
func (slots *Slots) tooLate(ticket *Ticket) monotonic.Micros {
	moment := ticket.ask.Cutoff - slots.Work()/2
	if ticket.ask.StartBy > 0 {
		moment = min(moment, ticket.ask.StartBy)
	}
	return moment
}

// Advance lets time pass: lingering slots come free, waiters that are too late are refused, and free slots are given out.
func (slots *Slots) Advance(now monotonic.Micros) {
	slots.lingering = slices.DeleteFunc(slots.lingering, func(until monotonic.Micros) bool { return now >= until })
	kept := slots.queue[:0]
	for _, ticket := range slots.queue {
		if now >= slots.tooLate(ticket) {
			slots.refuse(ticket, slots.wait(now, slots.ahead(kept, func(*Ticket) bool { return true })))
			continue
		}
		kept = append(kept, ticket)
	}
	clear(slots.queue[len(kept):])
	slots.queue = kept
	for slots.free() && len(slots.queue) > 0 {
		place := max(0, slices.IndexFunc(slots.queue, func(ticket *Ticket) bool { return !ticket.late(now) }))
		ticket := slots.queue[place]
		slots.queue = slices.Delete(slots.queue, place, place+1)
		slots.run(now, ticket)
		ticket.wake()
	}
	slots.keep()
}

// keep sees to it that one waiter wakes when the first lingering slot comes free: nobody else may call by then.
func (slots *Slots) keep() {
	if len(slots.queue) == 0 || len(slots.lingering) == 0 {
		slots.keeper = nil
		return
	}
	first := slices.Min(slots.lingering)
	if slots.keeper == nil || slots.keeper.state != Waiting {
		slots.keeper = slots.queue[0]
		slots.keeper.alarm = 0
	}
	sooner := slots.keeper.alarm == 0 || first < slots.keeper.alarm
	slots.keeper.alarm = first
	if sooner {
		slots.keeper.wake()
	}
}

// WakeAt is the moment at which a waiter has to call Advance by itself, if it isn't woken before.
func (slots *Slots) WakeAt(ticket *Ticket) monotonic.Micros {
	moment := slots.tooLate(ticket)
	if ticket == slots.keeper {
		moment = min(moment, ticket.alarm)
	}
	return moment
}

// Leave gives a slot back.
func (slots *Slots) Leave(now monotonic.Micros, ticket *Ticket, end End) {
	if ticket.state != Running {
		return
	}
	ticket.state = Ended
	slots.running--
	if end == Worked {
		slots.work.take(now - ticket.started)
		known := slots.kinds[ticket.ask.Kind]
		if known == nil && len(slots.kinds) < mostKinds {
			known = &mean{}
			slots.kinds[ticket.ask.Kind] = known
		}
		if known != nil {
			known.take(now - ticket.started)
		}
	}
	if end == Unsure && slots.count > 0 {
		until := ticket.ask.Cutoff + lingerMargin
		if slots.terms.MostLinger > 0 {
			until = min(until, now+slots.terms.MostLinger)
		}
		if until > now {
			slots.lingering = append(slots.lingering, until)
		}
	}
	slots.Advance(now)
}

// Flush refuses all who wait.
func (slots *Slots) Flush(now monotonic.Micros) {
	flushed := slots.queue
	slots.queue = nil
	for place, ticket := range flushed {
		slots.refuse(ticket, slots.wait(now, slots.ahead(flushed[:place], func(*Ticket) bool { return true })))
	}
	slots.keep()
}
