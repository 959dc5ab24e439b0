package outlier

import "snowflow/internal/monotonic"

const (
	// overdueFactor is how many times its usual time a request may take before it counts as a failure while in flight.
	overdueFactor = 6
	minOverdue    = 150 * monotonic.Millisecond
	// defaultOverdue is used for requests of a kind of which too few were seen.
	defaultOverdue = monotonic.Second
	// slowFactor is how much slower than its peers a backend must be for requests to be rejected that it would serve too
	// late.
	slowFactor = 2
	// recoveredFactor is how much slower than its peers a backend that was slow may still be to count as recovered.
	recoveredFactor = 1.4
	// baselineWindow is the number of requests over which a kind's usual time is averaged: much longer than a fault should
	// weigh in it.
	baselineWindow = 64
	// minBaselineSamples is the number of requests from which a kind's usual time is used.
	minBaselineSamples = 8
	// maxKinds bounds the kinds of which the usual time is stored.
	maxKinds = 256
	// maxOutlierFactor bounds what one slow request adds to the usual time of its kind.
	maxOutlierFactor = 2
	// fasterSmoothingWindow smooths the latency ratio while requests are faster than it: a backend that has been slow gets few
	// requests by which to show that it has recovered.
	fasterSmoothingWindow = 3
)

// latencyTracker compares the time of a backend's requests with their usual time.
type latencyTracker struct {
	kinds        map[string]*latencyBaseline
	all          latencyBaseline  // over all kinds
	ratio        float64          // time over the kind's usual time, smoothed
	samples      int              // that the ratio is smoothed over, up to smoothingWindow
	slow         bool             // it has been slower than its peers by slowFactor, and hasn't recovered
	recovered    bool             // it has recovered since takeRecovered was last called
	slowProbedAt monotonic.Micros // when a request that may be served too late was last admitted, to measure; 0 if none was
}

// latencyBaseline is a usual time.
type latencyBaseline struct {
	mean    float64 // microseconds
	samples int     // up to baselineWindow
}

func newLatencyTracker() latencyTracker {
	return latencyTracker{kinds: map[string]*latencyBaseline{}, ratio: 1}
}

// baseline is the usual time of a kind; nil while too few requests were seen.
func (l *latencyTracker) baseline(kind string) *latencyBaseline {
	baseline := l.kinds[kind]
	if baseline == nil || baseline.samples < minBaselineSamples {
		return nil
	}
	return baseline
}

// wait is for how long a request isn't admitted because the backend would serve it too late; 0 if it is. One such
// request is still admitted each initialProbeInterval, to measure the backend.
func (l *latencyTracker) wait(now monotonic.Micros, request RequestInfo, peerRatio float64) monotonic.Micros {
	if !l.missesTarget(request, peerRatio) {
		return 0
	}
	if wait := l.slowProbedAt + initialProbeInterval - now; wait > 0 && l.slowProbedAt > 0 {
		return wait
	}
	l.slowProbedAt = now
	return 0
}

// missesTarget reports whether the backend has become slower than its peers, and too slow for this request's latency target.
func (l *latencyTracker) missesTarget(request RequestInfo, peerRatio float64) bool {
	baseline := l.baseline(request.Kind)
	return request.LatencyTarget > 0 && baseline != nil && l.ratio >= slowFactor*peerRatio &&
		baseline.mean*l.ratio > float64(request.LatencyTarget)
}

// overdueTimeout is the time from which a request in flight counts as a failure.
func (l *latencyTracker) overdueTimeout(kind string, peerRatio float64) monotonic.Micros {
	baseline := l.baseline(kind)
	if baseline == nil {
		return defaultOverdue
	}
	return max(minOverdue, monotonic.Micros(overdueFactor*baseline.mean*peerRatio))
}

// observe takes the time of a successful request. Times far above the usual one add little to it.
func (l *latencyTracker) observe(kind string, elapsed monotonic.Micros, peerRatio float64) {
	baseline := l.kinds[kind]
	if baseline == nil {
		if len(l.kinds) >= maxKinds {
			return
		}
		baseline = &latencyBaseline{}
		l.kinds[kind] = baseline
	}
	micros := float64(elapsed)
	if baseline.samples >= minBaselineSamples && baseline.mean > 0 {
		l.observeRatio(micros/baseline.mean, micros < l.ratio*baseline.mean)
		micros = min(micros, maxOutlierFactor*baseline.mean)
	}
	baseline.observe(micros)
	l.all.observe(micros)
	l.compare(peerRatio)
}

// observeRatio smooths the latency ratio.
func (l *latencyTracker) observeRatio(ratio float64, faster bool) {
	l.samples = min(l.samples+1, smoothingWindow)
	weight := float64(max(2, l.samples))
	if faster {
		weight = min(weight, fasterSmoothingWindow)
	}
	l.ratio += (ratio - l.ratio) / weight
}

// compare notes whether the backend has become slow, or recovered.
func (l *latencyTracker) compare(peerRatio float64) {
	if l.ratio >= slowFactor*peerRatio {
		l.slow = true
	} else if l.slow && l.ratio < recoveredFactor*peerRatio {
		l.slow, l.recovered = false, true
	}
}

func (l *latencyTracker) takeRecovered() (recovered bool) {
	recovered, l.recovered = l.recovered, false
	return recovered
}

func (b *latencyBaseline) observe(micros float64) {
	b.samples = min(b.samples+1, baselineWindow)
	b.mean += (micros - b.mean) / float64(b.samples)
}
