// Package slots admits requests to one backend: it decides how many run at once, which ones wait for a slot, in which order,
// and which are rejected at once because they would wait too long (load shedding).
//
// A [Pool] is a pure state machine. Its owner passes the time to each call, holds a lock around the calls, and puts the callers
// of waiting tickets to sleep until [Ticket.Wake] is called or [Pool.WakeAt] has passed.
//
// Requests that can still be answered within their latency target go before those that can't: under a lasting overload a queue in
// order of arrival would answer all of them late.
package slots

import "snowflow/internal/monotonic"

// Limits bound the waiting for a slot.
type Limits struct {
	// QueuePerSlot bounds the queue's length, in requests for each slot of the backend.
	QueuePerSlot int
	// InitialServiceTime is used as the mean service time until one was measured.
	InitialServiceTime monotonic.Micros
	// LatencyTargetShare is the part of the time to its latency target for which a request may wait, by the estimate on its
	// arrival. RemainingShare is the part of the time to its deadline, for a request without a latency target. A patient request
	// may wait longer, if it is still expected to end before its deadline.
	LatencyTargetShare, RemainingShare float64
	// LateQueuePerSlot bounds the number of requests that wait though they can't be answered within their latency target, in
	// requests for each slot of the backend.
	LateQueuePerSlot float64
	// MaxLinger bounds how long a slot lingers, that is, stays taken after a request because the backend may still be working on
	// it. Zero: until the request's deadline, at which backends stop working.
	MaxLinger monotonic.Micros
}

// DefaultLimits returns the limits that apply where none are set.
func DefaultLimits() Limits {
	return Limits{
		QueuePerSlot:       8,
		InitialServiceTime: 50 * monotonic.Millisecond,
		LatencyTargetShare: 0.5,
		RemainingShare:     0.25,
		LateQueuePerSlot:   0.5,
	}
}

const (
	// lingerMargin is how much later than a deadline a backend may stop working.
	lingerMargin = 5 * monotonic.Millisecond
	// minRetryAfter is the shortest wait that a rejection names. Zero would mean that a retry is useless.
	minRetryAfter = monotonic.Millisecond
	// latestStartDivisor divides the mean service time; a request that has less time than the result until its deadline is not
	// worth starting any more.
	latestStartDivisor = 2
)

// Request is what the admission of a request depends on. Times are on the owner's clock.
type Request struct {
	Priority      uint32           // zero goes first
	LatencyTarget monotonic.Micros // until when the response has its full value; zero if unknown
	Deadline      monotonic.Micros
	StartBy       monotonic.Micros // by when it must have its slot; zero if only the deadline bounds that
	NoAlternative bool             // no other backend can take it
	Tenant        string           // whose request it is; empty if it's of no tenant
	Kind          string           // such as a route; requests of one kind have similar service times
}

func fraction(duration monotonic.Micros, factor float64) monotonic.Micros {
	return monotonic.Micros(float64(duration) * factor)
}
