package slots

import "snowflow/internal/monotonic"

// State is the state of a ticket. It changes only from a lower to a higher value.
type State int

// The states of a ticket. A waiting ticket becomes running or rejected, a running one becomes ended.
const (
	Waiting State = iota
	Running
	Rejected
	Ended
)

// Outcome is how a request left its slot.
type Outcome int

const (
	// Completed means that the backend executed the request, so that the time in the slot is a sample of the service time.
	Completed Outcome = iota
	// Released means that the backend is not working on the request. The time in the slot is no sample.
	Released
	// Uncertain means that the backend may still be working on the request.
	Uncertain
)

// Ticket is one request in a pool.
type Ticket struct {
	// Wake is called when the state or the Pool.WakeAt of a waiting ticket may have changed, so that its caller must read them
	// again. The pool's owner sets it.
	Wake        func()
	request     Request
	dueAt       monotonic.Micros // orders the queue: the latency target or, if there is none, a time before the deadline (see Enter)
	startedAt   monotonic.Micros
	serviceTime monotonic.Micros // expected
	queuedLate  bool             // it was queued although it would be late
	wakeAt      monotonic.Micros // when the first lingering slot becomes free; used for Pool.lingerWatcher only
	state       State
	retryAfter  monotonic.Micros
}

// State returns the ticket's state.
func (t *Ticket) State() State { return t.state }

// RetryAfter returns the wait that a rejected ticket had to expect when it was rejected.
func (t *Ticket) RetryAfter() monotonic.Micros { return t.retryAfter }

// less orders the queue by priority, then by the time at which the response is due. Equal tickets stay in the order of arrival.
func (t *Ticket) less(other *Ticket) bool {
	if t.request.Priority != other.request.Priority {
		return t.request.Priority < other.request.Priority
	}
	return t.dueAt < other.dueAt
}

// late reports whether the response is expected to miss the latency target.
func (t *Ticket) late(now monotonic.Micros) bool {
	return t.queuedLate || t.request.LatencyTarget > 0 && now+t.serviceTime > t.request.LatencyTarget
}

func (t *Ticket) wake() {
	if t.Wake != nil {
		t.Wake()
	}
}

func (t *Ticket) reject(wait monotonic.Micros) {
	t.state, t.retryAfter = Rejected, max(wait, minRetryAfter)
	t.wake()
}
