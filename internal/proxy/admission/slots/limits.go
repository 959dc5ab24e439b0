// Package slots admits requests to one backend: it decides how many run at once, which ones wait for a slot and in which order,
// and which are rejected at once because they would wait too long (load shedding).
//
// A [Pool] is a pure state machine. Its owner passes the time to each call and holds a lock around the calls. It puts the callers
// of waiting tickets to sleep until [Ticket.Wake] is called or the time [Pool.WakeAt] has come.
//
// Requests that can still be answered within their latency target go before those that can't: under a lasting overload, a queue in
// order of arrival would answer all of them late.
package slots

import "snowflow/internal/monotonic"

// Limits bounds the wait for a slot.
type Limits struct {
	// QueuePerSlot bounds the length of the queue, in requests per slot of the backend.
	QueuePerSlot int
	// InitialServiceTime is used as the mean service time until a service time has been measured.
	InitialServiceTime monotonic.Micros
	// LatencyTargetShare bounds a request's wait, as estimated on its arrival, to a fraction of the time to its latency target.
	// RemainingShare bounds it to a fraction of the time to its deadline, if the request has no latency target. A request without
	// an alternative backend may wait longer, as long as it is expected to end before its deadline.
	LatencyTargetShare, RemainingShare float64
	// LateQueuePerSlot bounds the number of requests that wait although they can't be answered within their latency target, in
	// requests per slot of the backend.
	LateQueuePerSlot float64
	// MaxLinger bounds how long a slot lingers: it stays taken after the end of its request because the backend may still be
	// working on the request. Zero means until the request's deadline, at which backends stop working.
	MaxLinger monotonic.Micros
}

// DefaultLimits returns the limits that apply unless others are set.
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
	// lingerMargin is how long after a request's deadline its backend may still be working on it.
	lingerMargin = 5 * monotonic.Millisecond
	// minRetryAfter is the shortest RetryAfter of a rejected ticket. Zero would mean that a retry is useless.
	minRetryAfter = monotonic.Millisecond
	// latestStartDivisor sets the latest start of a request: it is not started any more if the time to its deadline is less than
	// the mean service time divided by this.
	latestStartDivisor = 2
)

// Request holds the properties of a request that its admission depends on. Times are on the owner's clock.
type Request struct {
	Priority      uint32           // lower values go first
	LatencyTarget monotonic.Micros // time by which the response is wanted; zero if unknown
	Deadline      monotonic.Micros
	StartBy       monotonic.Micros // time by which it must have its slot; zero if only the deadline bounds that
	NoAlternative bool             // no other backend can take it, so that it may wait longer
	Tenant        string           // name of the tenant that sent it; empty for none
	Kind          string           // for example a route; requests of one kind have similar service times
}

func fraction(duration monotonic.Micros, factor float64) monotonic.Micros {
	return monotonic.Micros(float64(duration) * factor)
}
