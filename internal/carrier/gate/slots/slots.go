// Package slots is the admission to one backend: how many requests it runs at once, who waits for a slot, and who is
// refused. It's a pure state machine: its owner gives it the time, holds a lock around it, and puts waiters to sleep.
package slots

import (
	"slices"

	"snowflow/internal/postmark"
)

// Terms bound the waiting.
type Terms struct {
	// WaitingPerSlot bounds the queue's length.
	WaitingPerSlot int
	// FirstWork is taken for the mean work time before any was measured.
	FirstWork postmark.Micros
	// AimShare is the part of the aim that a request may be expected to wait; RemainingShare is that of its remaining
	// time where it has no aim. A patient request may wait as long as it still ends before its cutoff.
	AimShare, RemainingShare float64
	// MostLinger bounds how long a slot stays taken after a delivery of which it isn't known whether the backend still
	// works on it. Zero: until the request's cutoff, at which backends stop working.
	MostLinger postmark.Micros
}

// Default are the terms that nobody set.
func Default() Terms {
	return Terms{WaitingPerSlot: 8, FirstWork: 50 * postmark.Millisecond, AimShare: 0.5, RemainingShare: 0.25}
}

const (
	// lingerMargin is what a backend may be late to notice a cutoff.
	lingerMargin = 5 * postmark.Millisecond
	// memory is the number of requests over which the mean work time is taken, the newest weighing most.
	memory = 16
	// least is the shortest time that a refusal names; zero would say not to come back.
	least = postmark.Millisecond
)

// Ask is what a request brings along. Moments are on the owner's clock.
type Ask struct {
	Priority uint32          // zero goes first
	Aim      postmark.Micros // the moment up to which the answer has its full worth; zero if not known
	Cutoff   postmark.Micros
	StartBy  postmark.Micros // the moment by which it must have its slot; zero if only the cutoff bounds that
	Patient  bool
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
	arrived    postmark.Micros
	due        postmark.Micros // the latest moment at which its answer is of full worth, as far as known
	started    postmark.Micros
	alarm      postmark.Micros // when a lingering slot comes free, for the one waiter that sees to it
	state      State
	retryAfter postmark.Micros
}

// State tells how far the ticket has come.
func (ticket *Ticket) State() State { return ticket.state }

// RetryAfter is the wait that a refused ticket had to expect.
func (ticket *Ticket) RetryAfter() postmark.Micros { return ticket.retryAfter }

// before is the order of the queue: by priority, then by who must start first; who came earlier goes before its like.
func (ticket *Ticket) before(other *Ticket) bool {
	if ticket.ask.Priority != other.ask.Priority {
		return ticket.ask.Priority < other.ask.Priority
	}
	return ticket.due < other.due
}

// Slots is one backend's admission.
// Invariants: running + lingering <= count whenever a ticket is let in by Enter or from the queue; nobody waits while a slot is
// free; the queue is sorted by before; running counts exactly the tickets in that state; while both are not empty,
// keeper is a waiter whose alarm is the first end of a lingering slot.
type Slots struct {
	terms     Terms
	count     int // zero: unknown, and then unbounded
	running   int
	lingering []postmark.Micros // until when each is kept
	queue     []*Ticket
	keeper    *Ticket
	work      float64 // mean work time, in microseconds
	measured  int
}

// New makes the admission to a backend of which nothing is known yet.
func New(terms Terms) *Slots { return &Slots{terms: terms} }

// SetCount takes the number of slots that the backend says it has.
func (slots *Slots) SetCount(now postmark.Micros, count uint32) {
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
func (slots *Slots) Work() postmark.Micros {
	if slots.measured == 0 {
		return slots.terms.FirstWork
	}
	return postmark.Micros(slots.work)
}

// Measured tells whether Work comes from requests that were worked on.
func (slots *Slots) Measured() bool { return slots.measured > 0 }

func (slots *Slots) free() bool { return slots.count == 0 || slots.Taken() < slots.count }

// Enter brings a request. Its ticket is running, waiting or refused.
func (slots *Slots) Enter(now postmark.Micros, ask Ask) *Ticket {
	slots.Advance(now)
	ticket := &Ticket{ask: ask, arrived: now, due: ask.Aim}
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
	wait := slots.wait(now, place)
	if wait+slots.Work() > ask.Cutoff-now || now+wait > slots.tooLate(ticket) || !ask.Patient && wait > slots.mostWait(now, ask) {
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
		slots.refuse(displaced, slots.wait(now, last))
	}
	slots.queue = slices.Insert(slots.queue, place, ticket)
	slots.keep()
	return ticket
}

// Force lets a request in whatever the count, for backends whose count isn't known.
func (slots *Slots) Force(now postmark.Micros, ask Ask) *Ticket {
	slots.Advance(now)
	ticket := &Ticket{ask: ask, arrived: now}
	slots.run(now, ticket)
	return ticket
}

func share(span postmark.Micros, part float64) postmark.Micros {
	return postmark.Micros(float64(span) * part)
}

func (slots *Slots) mostWait(now postmark.Micros, ask Ask) postmark.Micros {
	if ask.Aim > now {
		return share(ask.Aim-now, slots.terms.AimShare)
	}
	return share(ask.Cutoff-now, slots.terms.RemainingShare)
}

// wait is what a request with so many ahead of it has to expect: slots come free one by one, each after the mean work
// time over their number. Lingering slots give nobody way before their end.
func (slots *Slots) wait(now postmark.Micros, ahead int) postmark.Micros {
	if slots.count == 0 {
		return 0
	}
	working := slots.count - len(slots.lingering)
	if working > 0 {
		return slots.Work() * postmark.Micros(ahead+1) / postmark.Micros(working)
	}
	first := slices.Min(slots.lingering)
	return first - now + slots.Work()*postmark.Micros(ahead)/postmark.Micros(max(1, slots.count))
}

func (slots *Slots) run(now postmark.Micros, ticket *Ticket) {
	ticket.state, ticket.started = Running, now
	slots.running++
}

func (slots *Slots) refuse(ticket *Ticket, wait postmark.Micros) {
	ticket.state, ticket.retryAfter = Refused, max(wait, least)
	ticket.wake()
}

func (ticket *Ticket) wake() {
	if ticket.Wake != nil {
		ticket.Wake()
	}
}

// tooLate is the moment from which a waiter is no longer worth starting, or may not be.
func (slots *Slots) tooLate(ticket *Ticket) postmark.Micros {
	moment := ticket.ask.Cutoff - slots.Work()/2
	if ticket.ask.StartBy > 0 {
		moment = min(moment, ticket.ask.StartBy)
	}
	return moment
}

// Advance lets time pass: lingering slots come free, waiters that are too late are refused, and free slots are given out.
func (slots *Slots) Advance(now postmark.Micros) {
	slots.lingering = slices.DeleteFunc(slots.lingering, func(until postmark.Micros) bool { return now >= until })
	kept := slots.queue[:0]
	for _, ticket := range slots.queue {
		switch {
		case now >= slots.tooLate(ticket):
			slots.refuse(ticket, slots.wait(now, len(kept)))
		case slots.free() && len(kept) == 0:
			slots.run(now, ticket)
			ticket.wake()
		default:
			kept = append(kept, ticket)
		}
	}
	clear(slots.queue[len(kept):])
	slots.queue = kept
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
func (slots *Slots) WakeAt(ticket *Ticket) postmark.Micros {
	moment := slots.tooLate(ticket)
	if ticket == slots.keeper {
		moment = min(moment, ticket.alarm)
	}
	return moment
}

// Leave gives a slot back.
func (slots *Slots) Leave(now postmark.Micros, ticket *Ticket, end End) {
	if ticket.state != Running {
		return
	}
	ticket.state = Ended
	slots.running--
	if end == Worked {
		slots.measured = min(slots.measured+1, memory)
		slots.work += (float64(now-ticket.started) - slots.work) / float64(slots.measured)
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
func (slots *Slots) Flush(now postmark.Micros) {
	flushed := slots.queue
	slots.queue = nil
	for place, ticket := range flushed {
		slots.refuse(ticket, slots.wait(now, place))
	}
	slots.keep()
}
