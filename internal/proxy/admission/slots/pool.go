package slots

import (
	"slices"

	"snowflow/internal/monotonic"
)

// Pool holds the slots of one backend and the queue for them.
//
// Invariants:
//   - after a ticket was started, running + len(lingering) <= count, unless count is zero or Force started the ticket;
//   - no ticket waits while a slot is free;
//   - the queue is sorted by less;
//   - running is the number of tickets in that state;
//   - while neither queue nor lingering is empty, lingerWatcher is a waiting ticket whose wakeAt is the time at which the first
//     lingering slot becomes free.
type Pool struct {
	limits Limits
	// count is the number of the backend's slots; zero if it is unknown, and then the number of running requests is unbounded.
	count   int
	running int
	// lingering holds, for each slot whose request has ended but may still be running at the backend, the time until which the slot
	// stays taken.
	lingering     []monotonic.Micros
	queue         []*Ticket
	lingerWatcher *Ticket
	// tenants counts each tenant's running and waiting requests.
	tenants  occupancy
	measured serviceTimes
}

// New returns the pool of a backend whose number of slots and service times are not known yet.
func New(limits Limits) *Pool {
	return &Pool{limits: limits, tenants: occupancy{}, measured: serviceTimes{byKind: map[string]*movingAverage{}}}
}

// SetCount sets the number of slots, as reported by the backend; zero if it reports none.
func (p *Pool) SetCount(now monotonic.Micros, count uint32) {
	p.count = int(count)
	p.Advance(now)
}

// Count returns the number of slots; zero if it is unknown.
func (p *Pool) Count() uint32 { return uint32(p.count) }

// Taken returns the number of slots that are not free: running or lingering.
func (p *Pool) Taken() int { return p.running + len(p.lingering) }

// Running returns the number of running requests.
func (p *Pool) Running() int { return p.running }

// Waiting returns the length of the queue.
func (p *Pool) Waiting() int { return len(p.queue) }

// Tenants returns the number of tenants with running or waiting requests.
func (p *Pool) Tenants() int { return len(p.tenants) }

func (p *Pool) hasFree() bool { return p.count == 0 || p.Taken() < p.count }

// Enter adds a request and returns its ticket, which is running, waiting or rejected.
func (p *Pool) Enter(now monotonic.Micros, request Request) *Ticket {
	p.Advance(now)
	ticket := &Ticket{request: request, dueAt: request.LatencyTarget, serviceTime: p.expectedServiceTime(request.Kind)}
	if p.hasFree() {
		p.tenants.add(request.Tenant)
		p.start(now, ticket)
		return ticket
	}
	if request.LatencyTarget <= now {
		ticket.dueAt = now + fraction(request.Deadline-now, p.limits.RemainingShare)
	}
	p.enqueue(now, ticket)
	return ticket
}

// Force starts a request regardless of the number of slots. It is meant for a backend whose number of slots is unknown.
func (p *Pool) Force(now monotonic.Micros, request Request) *Ticket {
	p.Advance(now)
	ticket := &Ticket{request: request, serviceTime: p.expectedServiceTime(request.Kind)}
	p.tenants.add(request.Tenant)
	p.start(now, ticket)
	return ticket
}

func (p *Pool) start(now monotonic.Micros, ticket *Ticket) {
	ticket.state, ticket.startedAt = Running, now
	p.running++
}

// Release releases a running ticket's slot. It does nothing for other tickets.
func (p *Pool) Release(now monotonic.Micros, ticket *Ticket, outcome Outcome) {
	if ticket.state != Running {
		return
	}
	ticket.state = Ended
	p.running--
	p.tenants.remove(ticket.request.Tenant)
	if outcome == Completed {
		p.measured.add(ticket.request.Kind, now-ticket.startedAt)
	}
	if outcome == Uncertain && p.count > 0 {
		p.linger(now, ticket)
	}
	p.Advance(now)
}

// linger keeps a slot taken while the backend may still work on its request.
func (p *Pool) linger(now monotonic.Micros, ticket *Ticket) {
	until := ticket.request.Deadline + lingerMargin
	if p.limits.MaxLinger > 0 {
		until = min(until, now+p.limits.MaxLinger)
	}
	if until > now {
		p.lingering = append(p.lingering, until)
	}
}

// Advance updates the pool to the given time: it frees lingering slots whose time is over, rejects the waiting tickets that are
// past their latest start, and starts others in free slots.
func (p *Pool) Advance(now monotonic.Micros) {
	p.lingering = slices.DeleteFunc(p.lingering, func(until monotonic.Micros) bool { return now >= until })
	p.rejectTooLate(now)
	for p.hasFree() && len(p.queue) > 0 {
		next := max(0, slices.IndexFunc(p.queue, func(ticket *Ticket) bool { return !ticket.late(now) }))
		ticket := p.queue[next]
		p.queue = slices.Delete(p.queue, next, next+1)
		p.start(now, ticket)
		ticket.wake()
	}
	p.assignLingerWatcher()
}

// Flush rejects all waiting tickets.
func (p *Pool) Flush(now monotonic.Micros) {
	flushed := p.queue
	p.queue = nil
	for position, ticket := range flushed {
		p.rejectWaiting(ticket, p.expectedWait(now, totalWork(flushed[:position])))
	}
	p.assignLingerWatcher()
}
