package forward

import (
	"sync"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
)

const (
	// farthest is the most that a refusal's time to come back is put off by.
	maxRetryAfterJitter = 10 * monotonic.Second
	// refusalSeriesGap ends a series of refusals.
	refusalSeriesGap = 15 * monotonic.Second
)

// later spreads the return of callers that are refused for the same cause, the wider the longer it lasts: those who
// waited through an outage must not all come back in the moment of its end.
// A measured wait is told as it is: it comes from a queue, which lets callers in one by one.
// Invariant: a series is one cause's refusals with no pause of refusalSeriesGap between them.
type retryAfterJitter struct {
	host   host.Host
	mu     sync.Mutex
	series map[apierror.Cause]*refusalSeries
	// together leaves the spreading out; only measurements set it.
	disabled bool
}

type refusalSeries struct{ since, last monotonic.Micros }

func newRetryAfterJitter(node host.Host) *retryAfterJitter {
	return &retryAfterJitter{host: node, series: map[apierror.Cause]*refusalSeries{}}
}

// put gives a refusal the time after which its caller should come back, if coming back helps at all.
func (j *retryAfterJitter) apply(fault *apierror.Fault) {
	if fault.RetryAfter == 0 || fault.RetryAfterMeasured || j.disabled {
		return
	}
	j.mu.Lock()
	now, current := j.host.Now(), j.series[fault.Cause]
	if current == nil || now-current.last >= refusalSeriesGap {
		current = &refusalSeries{since: now}
		j.series[fault.Cause] = current
	}
	current.last = now
	spread := min(now-current.since, maxRetryAfterJitter)
	j.mu.Unlock()
	fault.RetryAfter += monotonic.Micros(j.host.Random() % uint64(spread+1))
}
