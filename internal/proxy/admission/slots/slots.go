// Package slots is the admission to one backend: how many requests it runs at once, who waits for a slot, and who is
// refused. It's a pure state machine: its owner gives it the time, holds a lock around it, and puts waiters to sleep.
package slots

import (
	"slices"

	"snowflow/internal/monotonic"
)

// Limits bound the waiting.
type Limits struct {
	// QueuePerSlot bounds the queue's length.
	QueuePerSlot int
	// InitialServiceTime is taken for the mean work time before any was measured.
	InitialServiceTime monotonic.Micros
	// LatencyTargetShare is the part of the aim that a request may be expected to wait; RemainingShare is that of its remaining
	// time where it has no aim. A patient request may wait as long as it still ends before its cutoff.
	LatencyTargetShare, RemainingShare float64
	// LateQueuePerSlot bounds how many wait for each slot though they can't be answered within their aim any more.
	LateQueuePerSlot float64
	// MaxLinger bounds how long a slot stays taken after a delivery of which it isn't known whether the backend still
	// works on it. Zero: until the request's cutoff, at which backends stop working.
	MaxLinger monotonic.Micros
}

// DefaultLimits are the terms that nobody set.
func DefaultLimits() Limits {
	return Limits{QueuePerSlot: 8, InitialServiceTime: 50 * monotonic.Millisecond, LatencyTargetShare: 0.5, RemainingShare: 0.25, LateQueuePerSlot: 0.5}
}

const (
	// lingerMargin is what a backend may be late to notice a cutoff.
	lingerMargin = 5 * monotonic.Millisecond
	// memory is the number of requests over which the mean work time is taken, the newest weighing most.
	meanWindow = 16
	// least is the shortest time that a refusal names; zero would say not to come back.
	minRetryAfter = monotonic.Millisecond
)

// Request is what a request brings along. Moments are on the owner's clock.
type Request struct {
	Priority      uint32           // zero goes first
	LatencyTarget monotonic.Micros // the moment up to which the answer has its full worth; zero if not known
	Deadline      monotonic.Micros
	StartBy       monotonic.Micros // the moment by which it must have its slot; zero if only the cutoff bounds that
	Patient       bool
	Kind          string // requests of one kind take about as long
}

// State is how far a ticket has come. It only ever rises.
type State int

// The states. A waiting ticket becomes running or refused, a running one ended.
const (
	Waiting State = iota
	Running
	Rejected
	Ended
)

// Outcome is how a request left its slot.
type Outcome int

// The ends. Worked: the backend did its work. Over: it isn't working on it, and how long it had it says nothing of its pace.
// Unsure: it may still be working on it.
const (
	Completed Outcome = iota
	Released
	Uncertain
)

// Ticket is one request at the gate.
type Ticket struct {
	// Wake is called when a waiting ticket has to look at its state and its wake-up again. The owner sets it.
	Wake        func()
	request     Request
	arrivedAt   monotonic.Micros
	dueAt       monotonic.Micros // the latest moment at which its answer is of full worth, as far as known
	startedAt   monotonic.Micros
	serviceTime monotonic.Micros // what its work is expected to take
	queuedLate  bool             // it was let wait though it would be late
	wakeAt      monotonic.Micros // when a lingering slot comes free, for the one waiter that sees to it
	state       State
	retryAfter  monotonic.Micros
}

// State tells how far the ticket has come.
func (t *Ticket) State() State { return t.state }

// RetryAfter is the wait that a refused ticket had to expect.
func (t *Ticket) RetryAfter() monotonic.Micros { return t.retryAfter }

// before is the order of the queue: by priority, then by who must start first; who came earlier goes before its like.
func (t *Ticket) less(other *Ticket) bool {
	if t.request.Priority != other.request.Priority {
		return t.request.Priority < other.request.Priority
	}
	return t.dueAt < other.dueAt
}

// late tells that the answer can't come within the aim any more, as far as can be expected.
func (t *Ticket) late(now monotonic.Micros) bool {
	return t.queuedLate || t.request.LatencyTarget > 0 && now+t.serviceTime > t.request.LatencyTarget
}

// mean is a mean work time in microseconds, the newest requests weighing most.
type mean struct {
	average float64
	samples int
}

func (m *mean) add(sample monotonic.Micros) {
	m.samples = min(m.samples+1, meanWindow)
	m.average += (float64(sample) - m.average) / float64(m.samples)
}

// Pool is one backend's admission. Who can still be answered within the aim goes before who can't: under a lasting rush a queue
// in order of arrival would answer everybody late.
// Invariants: running + lingering <= count whenever a ticket is let in by Enter or from the queue; nobody waits while a slot is
// free; the queue is sorted by before; running counts exactly the tickets in that state; while both are not empty,
// keeper is a waiter whose alarm is the first end of a lingering slot.
type Pool struct {
	limits        Limits
	count         int // zero: unknown, and then unbounded
	running       int
	lingering     []monotonic.Micros // until when each is kept
	queue         []*Ticket
	lingerWatcher *Ticket
	overall       mean
	byKind        map[string]*mean // invariant: as many as there are routes to this backend, maxKinds at most
}

const (
	// maxKinds bounds what is kept by kind.
	maxKinds = 256
	// enough is how many requests of a kind make its own mean better than that of all.
	minKindSamples = 4
)

// New makes the admission to a backend of which nothing is known yet.
func New(limits Limits) *Pool { return &Pool{limits: limits, byKind: map[string]*mean{}} }

// SetCount takes the number of slots that the backend says it has.
func (p *Pool) SetCount(now monotonic.Micros, count uint32) {
	p.count = int(count)
	p.Advance(now)
}

// Count is the number of slots, zero if unknown.
func (p *Pool) Count() uint32 { return uint32(p.count) }

// Taken is the number of slots that no new request may have now.
func (p *Pool) Taken() int { return p.running + len(p.lingering) }

// Running is the number of requests that are in their slots.
func (p *Pool) Running() int { return p.running }

// Waiting is the length of the queue.
func (p *Pool) Waiting() int { return len(p.queue) }

// ServiceTime is the mean time for which a request holds its slot.
func (p *Pool) ServiceTime() monotonic.Micros {
	if p.overall.samples == 0 {
		return p.limits.InitialServiceTime
	}
	return monotonic.Micros(p.overall.average)
}

// expectedServiceTime is the mean for a kind, or for all while too few of it were measured.
func (p *Pool) expectedServiceTime(kind string) monotonic.Micros {
	if work := p.ServiceTimeOf(kind); work > 0 {
		return work
	}
	return p.ServiceTime()
}

// ServiceTimeOf is the mean time for which a request of a kind holds its slot; zero while too few of it were measured.
func (p *Pool) ServiceTimeOf(kind string) monotonic.Micros {
	if known := p.byKind[kind]; known != nil && known.samples >= minKindSamples {
		return monotonic.Micros(known.average)
	}
	return 0
}

// DiscountMeasurements takes what was measured for hardly known: the backend isn't any more as it was then.
func (p *Pool) DiscountMeasurements() {
	p.overall.samples = min(p.overall.samples, 1)
	for _, known := range p.byKind {
		known.samples = min(known.samples, 1)
	}
}

// Measured tells whether Work comes from requests that were worked on.
func (p *Pool) Measured() bool { return p.overall.samples > 0 }

func (p *Pool) hasFree() bool { return p.count == 0 || p.Taken() < p.count }

// Enter brings a request. Its ticket is running, waiting or refused.
func (p *Pool) Enter(now monotonic.Micros, request Request) *Ticket {
	p.Advance(now)
	ticket := &Ticket{request: request, arrivedAt: now, dueAt: request.LatencyTarget, serviceTime: p.expectedServiceTime(request.Kind)}
	if p.hasFree() {
		p.start(now, ticket)
		return ticket
	}
	if request.LatencyTarget <= now {
		ticket.dueAt = now + fraction(request.Deadline-now, p.limits.RemainingShare)
	}
	position := len(p.queue)
	for position > 0 && ticket.less(p.queue[position-1]) {
		position--
	}
	wait, allowed := p.mayQueue(now, ticket, position)
	if !allowed || request.StartBy > 0 && wait > request.StartBy-now {
		p.reject(ticket, wait)
		return ticket
	}
	if last := len(p.queue) - 1; len(p.queue) >= max(1, p.count*p.limits.QueuePerSlot) {
		if p.queue[last].request.Priority <= request.Priority {
			p.reject(ticket, wait)
			return ticket
		}
		displaced := p.queue[last]
		p.queue[last] = nil
		p.queue = p.queue[:last]
		p.reject(displaced, p.expectedWait(now, p.workAhead(p.queue, func(*Ticket) bool { return true })))
	}
	p.queue = slices.Insert(p.queue, position, ticket)
	p.assignLingerWatcher()
	return ticket
}

// welcome tells whether a request may wait at a place of the queue, and what wait it has to expect. It may where it will be
// answered within its aim and, if it has another backend to go to, without waiting for long. One that has none left may also
// wait to be answered late, behind all who can be answered in time, while few others do.
func (p *Pool) mayQueue(now monotonic.Micros, ticket *Ticket, position int) (wait monotonic.Micros, allowed bool) {
	request := ticket.request
	wait = p.expectedWait(now, p.workAhead(p.queue[:position], func(other *Ticket) bool { return !other.late(now) }))
	if request.LatencyTarget <= now || wait+ticket.serviceTime <= request.LatencyTarget-now {
		return wait, wait+ticket.serviceTime <= request.Deadline-now && (request.Patient || wait <= p.maxWait(now, request))
	}
	waiting := 0
	wait = p.expectedWait(now, p.workAhead(p.queue, func(other *Ticket) bool {
		if !other.late(now) {
			return true
		}
		waiting++
		return other.less(ticket)
	}))
	few := float64(waiting) < max(1, float64(p.count)*p.limits.LateQueuePerSlot)
	ticket.queuedLate = true
	return wait, request.Patient && few && wait+ticket.serviceTime <= request.Deadline-now
}

// ahead sums the work of those that count.
func (p *Pool) workAhead(queue []*Ticket, counts func(ticket *Ticket) bool) (total monotonic.Micros) {
	for _, ticket := range queue {
		if counts(ticket) {
			total += ticket.serviceTime
		}
	}
	return total
}

// Force lets a request in whatever the count, for backends whose count isn't known.
func (p *Pool) Force(now monotonic.Micros, request Request) *Ticket {
	p.Advance(now)
	ticket := &Ticket{request: request, arrivedAt: now, serviceTime: p.expectedServiceTime(request.Kind)}
	p.start(now, ticket)
	return ticket
}

func fraction(duration monotonic.Micros, factor float64) monotonic.Micros {
	return monotonic.Micros(float64(duration) * factor)
}

func (p *Pool) maxWait(now monotonic.Micros, request Request) monotonic.Micros {
	if request.LatencyTarget > now {
		return fraction(request.LatencyTarget-now, p.limits.LatencyTargetShare)
	}
	return fraction(request.Deadline-now, p.limits.RemainingShare)
}

// wait is what a request with so much work ahead of it has to expect: slots come free one by one, each after the mean work
// time over their number. Lingering slots give nobody way before their end.
func (p *Pool) expectedWait(now, ahead monotonic.Micros) monotonic.Micros {
	if p.count == 0 {
		return 0
	}
	working := p.count - len(p.lingering)
	if working > 0 {
		return (p.ServiceTime() + ahead) / monotonic.Micros(working)
	}
	first := slices.Min(p.lingering)
	return first - now + ahead/monotonic.Micros(max(1, p.count))
}

func (p *Pool) start(now monotonic.Micros, ticket *Ticket) {
	ticket.state, ticket.startedAt = Running, now
	p.running++
}

func (p *Pool) reject(ticket *Ticket, wait monotonic.Micros) {
	ticket.state, ticket.retryAfter = Rejected, max(wait, minRetryAfter)
	ticket.wake()
}

func (t *Ticket) wake() {
	if t.Wake != nil {
		t.Wake()
	}
}

// latestStart is the moment from which a waiter is no longer worth starting, or may not be.
func (p *Pool) latestStart(ticket *Ticket) monotonic.Micros {
	at := ticket.request.Deadline - p.ServiceTime()/2
	if ticket.request.StartBy > 0 {
		at = min(at, ticket.request.StartBy)
	}
	return at
}

// Advance lets time pass: lingering slots come free, waiters that are too late are refused, and free slots are given out.
func (p *Pool) Advance(now monotonic.Micros) {
	p.lingering = slices.DeleteFunc(p.lingering, func(until monotonic.Micros) bool { return now >= until })
	remaining := p.queue[:0]
	for _, ticket := range p.queue {
		if now >= p.latestStart(ticket) {
			p.reject(ticket, p.expectedWait(now, p.workAhead(remaining, func(*Ticket) bool { return true })))
			continue
		}
		remaining = append(remaining, ticket)
	}
	clear(p.queue[len(remaining):])
	p.queue = remaining
	for p.hasFree() && len(p.queue) > 0 {
		position := max(0, slices.IndexFunc(p.queue, func(ticket *Ticket) bool { return !ticket.late(now) }))
		ticket := p.queue[position]
		p.queue = slices.Delete(p.queue, position, position+1)
		p.start(now, ticket)
		ticket.wake()
	}
	p.assignLingerWatcher()
}

// keep sees to it that one waiter wakes when the first lingering slot comes free: nobody else may call by then.
func (p *Pool) assignLingerWatcher() {
	if len(p.queue) == 0 || len(p.lingering) == 0 {
		p.lingerWatcher = nil
		return
	}
	first := slices.Min(p.lingering)
	if p.lingerWatcher == nil || p.lingerWatcher.state != Waiting {
		p.lingerWatcher = p.queue[0]
		p.lingerWatcher.wakeAt = 0
	}
	sooner := p.lingerWatcher.wakeAt == 0 || first < p.lingerWatcher.wakeAt
	p.lingerWatcher.wakeAt = first
	if sooner {
		p.lingerWatcher.wake()
	}
}

// WakeAt is the moment at which a waiter has to call Advance by itself, if it isn't woken before.
func (p *Pool) WakeAt(ticket *Ticket) monotonic.Micros {
	at := p.latestStart(ticket)
	if ticket == p.lingerWatcher {
		at = min(at, ticket.wakeAt)
	}
	return at
}

// Release gives a slot back.
func (p *Pool) Release(now monotonic.Micros, ticket *Ticket, outcome Outcome) {
	if ticket.state != Running {
		return
	}
	ticket.state = Ended
	p.running--
	if outcome == Completed {
		p.overall.add(now - ticket.startedAt)
		known := p.byKind[ticket.request.Kind]
		if known == nil && len(p.byKind) < maxKinds {
			known = &mean{}
			p.byKind[ticket.request.Kind] = known
		}
		if known != nil {
			known.add(now - ticket.startedAt)
		}
	}
	if outcome == Uncertain && p.count > 0 {
		until := ticket.request.Deadline + lingerMargin
		if p.limits.MaxLinger > 0 {
			until = min(until, now+p.limits.MaxLinger)
		}
		if until > now {
			p.lingering = append(p.lingering, until)
		}
	}
	p.Advance(now)
}

// Flush refuses all who wait.
func (p *Pool) Flush(now monotonic.Micros) {
	flushed := p.queue
	p.queue = nil
	for position, ticket := range flushed {
		p.reject(ticket, p.expectedWait(now, p.workAhead(flushed[:position], func(*Ticket) bool { return true })))
	}
	p.assignLingerWatcher()
}
