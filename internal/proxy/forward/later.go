package forward

import (
	"sync"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
)

const (
	// farthest is the most that a refusal's time to come back is put off by.
	farthest = 10 * monotonic.Second
	// quietFor ends a series of refusals.
	quietFor = 15 * monotonic.Second
)

// later spreads the return of callers that are refused for the same cause, the wider the longer it lasts: those who
// waited through an outage must not all come back in the moment of its end.
// A measured wait is told as it is: it comes from a queue, which lets callers in one by one.
// Invariant: a series is one cause's refusals with no pause of quietFor between them.
type later struct {
	place  host.Host
	lock   sync.Mutex
	series map[apierror.Cause]*series
	// together leaves the spreading out; only measurements set it.
	together bool
}

type series struct{ since, last monotonic.Micros }

func newLater(place host.Host) *later {
	return &later{place: place, series: map[apierror.Cause]*series{}}
}

// put gives a refusal the time after which its caller should come back, if coming back helps at all.
func (later *later) put(fault *apierror.Fault) {
	if fault.RetryAfter == 0 || fault.RetryAfterMeasured || later.together {
		return
	}
	later.lock.Lock()
	now, present := later.place.Now(), later.series[fault.Cause]
	if present == nil || now-present.last >= quietFor {
		present = &series{since: now}
		later.series[fault.Cause] = present
	}
	present.last = now
	spread := min(now-present.since, farthest)
	later.lock.Unlock()
	fault.RetryAfter += monotonic.Micros(later.place.Random() % uint64(spread+1))
}
