package retry

import (
	"sync"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
)

const (
	// maxRetryAfterJitter is the most that is added to a rejection's Retry-After.
	maxRetryAfterJitter = 10 * monotonic.Second
	// rejectionSeriesGap is the time without a rejection that ends a series.
	rejectionSeriesGap = 15 * monotonic.Second
)

// RandomClock provides the clock and the random numbers that Jitter needs.
type RandomClock interface {
	monotonic.Clock
	Random() uint64
}

// Jitter spreads the Retry-After hints of rejections, and so the return of callers that are rejected for the same cause. The
// spread grows with the time for which such rejections have lasted, so that callers that waited during an outage don't all return
// at the moment it ends. It is safe for concurrent use.
//
// A series consists of the rejections for one cause without a gap of rejectionSeriesGap between two of them.
type Jitter struct {
	host RandomClock
	// disabled leaves Retry-After as it is. Only measurements of the jitter's effect set it.
	disabled bool

	mu     sync.Mutex // guards series
	series map[apierror.Cause]*rejectionSeries
}

// rejectionSeries holds the times of the first and the last rejection of a series.
type rejectionSeries struct{ since, last monotonic.Micros }

// NewJitter returns a jitter that has seen no rejection yet.
func NewJitter(host RandomClock) *Jitter {
	return &Jitter{host: host, series: map[apierror.Cause]*rejectionSeries{}}
}

// SetDisabled leaves Retry-After hints unchanged, so that the effect of the jitter can be measured. No program calls it.
func (j *Jitter) SetDisabled(disabled bool) { j.disabled = disabled }

// Apply adds the jitter to a rejection's Retry-After. It doesn't change a fault without a Retry-After, nor one whose Retry-After was
// measured: that comes from a backend's queue, which already spreads the return of the callers.
func (j *Jitter) Apply(fault *apierror.Error) {
	if fault.RetryAfter == 0 || fault.RetryAfterMeasured || j.disabled {
		return
	}
	spread := j.spread(fault.Cause)
	fault.RetryAfter += monotonic.Micros(j.host.Random() % uint64(spread+1))
}

// spread records a rejection and returns the most that may be added to its Retry-After.
func (j *Jitter) spread(cause apierror.Cause) monotonic.Micros {
	j.mu.Lock()
	defer j.mu.Unlock()
	now, current := j.host.Now(), j.series[cause]
	if current == nil || now-current.last >= rejectionSeriesGap {
		current = &rejectionSeries{since: now}
		j.series[cause] = current
	}
	current.last = now
	return min(now-current.since, maxRetryAfterJitter)
}
