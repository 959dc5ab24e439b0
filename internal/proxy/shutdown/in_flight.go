package shutdown

import (
	"go.uber.org/atomic"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
)

// drainCheckInterval is the maximum time between two checks of the count during a drain.
const drainCheckInterval = 100 * monotonic.Millisecond

// InFlight counts the requests in flight, so that a drain can wait until they finish. It is safe for concurrent use.
type InFlight struct {
	host  host.Host
	count atomic.Int64
	idle  host.Signal // fired when count falls to 0
}

// NewInFlight returns a counter at zero.
func NewInFlight(h host.Host) *InFlight { return &InFlight{host: h, idle: h.NewSignal()} }

// Begin counts the start of a request. For each call, End must be called once.
func (f *InFlight) Begin() { f.count.Inc() }

// End counts the end of a request.
func (f *InFlight) End() {
	if f.count.Dec() == 0 {
		f.idle.Fire()
	}
}

// Count returns the number of requests in flight.
func (f *InFlight) Count() int64 { return f.count.Load() }

// Drain waits until no request is in flight or the timeout in microseconds has passed. It reports whether no request is in flight.
func (f *InFlight) Drain(timeout monotonic.Micros) bool {
	deadline := f.host.Now() + timeout
	for f.count.Load() > 0 {
		remaining := deadline - f.host.Now()
		if remaining <= 0 {
			return false
		}
		f.idle.Wait(min(remaining, drainCheckInterval))
	}
	return true
}
