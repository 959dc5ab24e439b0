package slots

import (
	"slices"

	"snowflow/internal/monotonic"
)

// enqueue puts a ticket into the queue or rejects it. If the queue is full and its last ticket has a lower priority, that one is
// rejected instead. Among requests of one priority, a tenant with more requests here loses a waiting ticket to a tenant with fewer,
// see fairVictim.
func (p *Pool) enqueue(now monotonic.Micros, ticket *Ticket) {
	wait, allowed := p.tryEnqueue(now, ticket)
	if allowed {
		return
	}
	victim := p.fairVictim(ticket.request)
	if victim < 0 {
		ticket.reject(wait)
		return
	}
	before, displaced := p.queue, p.queue[victim]
	p.queue = without(before, victim)
	ticket.queuedLate = false
	if _, allowed = p.tryEnqueue(now, ticket); !allowed {
		p.queue = before
		ticket.reject(wait)
		return
	}
	p.rejectWaiting(displaced, wait)
	p.assignLingerWatcher()
}

// tryEnqueue puts a ticket into the queue if it may wait there, and reports whether it may. wait is its expected wait.
func (p *Pool) tryEnqueue(now monotonic.Micros, ticket *Ticket) (wait monotonic.Micros, allowed bool) {
	request := ticket.request
	position := len(p.queue)
	for position > 0 && ticket.less(p.queue[position-1]) {
		position--
	}
	wait, allowed = p.mayQueue(now, ticket, position)
	if !allowed || request.StartBy > 0 && wait > request.StartBy-now {
		return wait, false
	}
	if last := len(p.queue) - 1; len(p.queue) >= max(1, p.count*p.limits.QueuePerSlot) {
		if p.queue[last].request.Priority <= request.Priority {
			return wait, false
		}
		displaced := p.queue[last]
		p.queue[last] = nil
		p.queue = p.queue[:last]
		p.rejectWaiting(displaced, p.expectedWait(now, totalWork(p.queue)))
	}
	p.queue = slices.Insert(p.queue, position, ticket)
	p.tenants.add(request.Tenant)
	p.assignLingerWatcher()
	return wait, true
}

// rejectWaiting rejects a ticket that was taken out of the queue; wait becomes its RetryAfter.
func (p *Pool) rejectWaiting(ticket *Ticket, wait monotonic.Micros) {
	p.tenants.remove(ticket.request.Tenant)
	ticket.reject(wait)
}

// mayQueue reports whether a ticket may wait at a position of the queue, and its expected wait. The ticket may wait if it is
// expected to be answered within its latency target and, unless it has no alternative backend, to wait at most maxWait. A ticket
// without an alternative may also wait if it will be answered late, behind all tickets that can be answered in time, while the
// number of late tickets is below the limit that LateQueuePerSlot sets.
func (p *Pool) mayQueue(now monotonic.Micros, ticket *Ticket, position int) (wait monotonic.Micros, allowed bool) {
	request := ticket.request
	wait = p.expectedWait(now, workAhead(p.queue[:position], func(other *Ticket) bool { return !other.late(now) }))
	if request.LatencyTarget <= now || wait+ticket.serviceTime <= request.LatencyTarget-now {
		return wait, wait+ticket.serviceTime <= request.Deadline-now && (request.NoAlternative || wait <= p.maxWait(now, request))
	}
	lateWaiting := 0
	wait = p.expectedWait(now, workAhead(p.queue, func(other *Ticket) bool {
		if !other.late(now) {
			return true
		}
		lateWaiting++
		return other.less(ticket)
	}))
	belowLimit := float64(lateWaiting) < max(1, float64(p.count)*p.limits.LateQueuePerSlot)
	ticket.queuedLate = true
	return wait, request.NoAlternative && belowLimit && wait+ticket.serviceTime <= request.Deadline-now
}

// maxWait returns the longest expected wait with which a request is queued that could go to another backend.
func (p *Pool) maxWait(now monotonic.Micros, request Request) monotonic.Micros {
	if request.LatencyTarget > now {
		return fraction(request.LatencyTarget-now, p.limits.LatencyTargetShare)
	}
	return fraction(request.Deadline-now, p.limits.RemainingShare)
}

// workAhead returns the sum of the expected service times of the tickets for which counts returns true.
func workAhead(queue []*Ticket, counts func(ticket *Ticket) bool) (total monotonic.Micros) {
	for _, ticket := range queue {
		if counts(ticket) {
			total += ticket.serviceTime
		}
	}
	return total
}

func totalWork(queue []*Ticket) monotonic.Micros {
	return workAhead(queue, func(*Ticket) bool { return true })
}

// expectedWait returns the wait of a request that has the given work, a sum of service times, ahead of it. It assumes that slots
// become free one by one, at intervals of the mean service time divided by their number. A lingering slot serves no request before
// it is free.
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

// latestStart returns the time from which a waiting ticket must not be started any more, because its backend is unlikely to finish
// before the deadline or its StartBy has passed.
func (p *Pool) latestStart(ticket *Ticket) monotonic.Micros {
	at := ticket.request.Deadline - p.ServiceTime()/latestStartDivisor
	if ticket.request.StartBy > 0 {
		at = min(at, ticket.request.StartBy)
	}
	return at
}

func (p *Pool) rejectTooLate(now monotonic.Micros) {
	remaining := p.queue[:0]
	for _, ticket := range p.queue {
		if now >= p.latestStart(ticket) {
			p.rejectWaiting(ticket, p.expectedWait(now, totalWork(remaining)))
			continue
		}
		remaining = append(remaining, ticket)
	}
	clear(p.queue[len(remaining):])
	p.queue = remaining
}

// assignLingerWatcher ensures that the caller of one waiting ticket wakes when the first lingering slot becomes free. Otherwise the
// pool might not be called at that time.
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

// WakeAt returns the time at which the owner must call Advance for a waiting ticket unless Ticket.Wake was called before.
func (p *Pool) WakeAt(ticket *Ticket) monotonic.Micros {
	at := p.latestStart(ticket)
	if ticket == p.lingerWatcher {
		at = min(at, ticket.wakeAt)
	}
	return at
}
