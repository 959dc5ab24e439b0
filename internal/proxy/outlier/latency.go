package outlier

import "snowflow/internal/monotonic"

const (
	// overdueFactor is the multiple of its baseline latency after which a request in flight counts as a failure.
	overdueFactor     = 6
	minOverdueTimeout = 150 * monotonic.Millisecond
	// defaultOverdueTimeout applies to requests of a kind that has no baseline yet.
	defaultOverdueTimeout = monotonic.Second
	// slowFactor is how many times slower than its peers a backend must be before requests that it would answer after their
	// latency target are rejected.
	slowFactor = 2
	// recoveredFactor is how many times slower than its peers a slow backend may still be to count as recovered.
	recoveredFactor = 1.4
	// baselineWindow is the number of requests over which a kind's baseline is averaged. It is large, so that a fault hardly
	// changes the baseline while it lasts.
	baselineWindow = 64
	// minBaselineSamples is the number of requests that a kind's baseline needs before it is used.
	minBaselineSamples = 8
	// maxKinds is the largest number of kinds whose baseline is stored.
	maxKinds = 256
	// maxOutlierFactor caps a latency sample at this multiple of its kind's baseline, before it is added to the baseline.
	maxOutlierFactor = 2
	// fasterSmoothingWindow is the window for samples below the latency ratio. It is short because a slow backend receives few
	// requests that can show that it has recovered.
	fasterSmoothingWindow = 3
)

// latencyTracker compares the latency of a backend's requests with their baseline latency.
type latencyTracker struct {
	kinds        map[string]*latencyBaseline
	all          latencyBaseline  // over all kinds
	ratio        float64          // latency over the kind's baseline, smoothed
	samples      int              // number of samples in the ratio, up to smoothingWindow
	slow         bool             // the backend became slower than its peers by slowFactor and hasn't recovered
	recovered    bool             // the backend has recovered since the last call of takeRecovered
	slowProbedAt monotonic.Micros // when a request expected to miss its target was last admitted; 0 if never
}

// latencyBaseline is the mean latency of past requests.
type latencyBaseline struct {
	mean    float64 // in microseconds
	samples int     // up to baselineWindow
}

func newLatencyTracker() latencyTracker {
	return latencyTracker{kinds: map[string]*latencyBaseline{}, ratio: 1}
}

// baseline returns the baseline of a kind; nil while it has too few samples.
func (l *latencyTracker) baseline(kind string) *latencyBaseline {
	baseline := l.kinds[kind]
	if baseline == nil || baseline.samples < minBaselineSamples {
		return nil
	}
	return baseline
}

// wait returns how long a request must wait because the backend would miss its latency target; 0 if it is admitted now. One
// such request per initialProbeInterval is admitted to measure the backend.
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

// overdueTimeout returns the time after which a request in flight counts as a failure.
func (l *latencyTracker) overdueTimeout(kind string, peerRatio float64) monotonic.Micros {
	baseline := l.baseline(kind)
	if baseline == nil {
		return defaultOverdueTimeout
	}
	return max(minOverdueTimeout, monotonic.Micros(overdueFactor*baseline.mean*peerRatio))
}

// observe adds the latency of a successful request. A latency far above the baseline is capped before it is added to the
// baseline.
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
	l.updateSlow(peerRatio)
}

// observeRatio adds a sample to the smoothed latency ratio.
func (l *latencyTracker) observeRatio(ratio float64, faster bool) {
	l.samples = min(l.samples+1, smoothingWindow)
	weight := float64(max(2, l.samples))
	if faster {
		weight = min(weight, fasterSmoothingWindow)
	}
	l.ratio += (ratio - l.ratio) / weight
}

// updateSlow marks the backend as slow or as recovered.
func (l *latencyTracker) updateSlow(peerRatio float64) {
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
