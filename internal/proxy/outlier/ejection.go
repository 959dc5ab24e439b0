package outlier

import "snowflow/internal/monotonic"

const (
	// initialProbeInterval is the pause before the first probe of an ejected backend. It doubles with each failed probe, and
	// with each ejection within flapWindow of the one before, up to maxProbeInterval.
	initialProbeInterval, maxProbeInterval = 500 * monotonic.Millisecond, 2 * monotonic.Second
	// flapWindow is the time after an ejection in which another one counts as flapping.
	flapWindow = 20 * monotonic.Second
	// maxDoublings bounds how often the probe interval is doubled for flapping.
	maxDoublings = 4
	// successesToReinstate is the number of successful probes in a row that reinstate a backend.
	successesToReinstate = 8
)

// ejection is whether the backend is ejected for the callers of one domain, or for all, and the fault rate that they see.
//
// Invariant: consecutiveSuccesses, probeInterval and nextProbeAt are of use only while ejected. If consecutiveSuccesses is
// above 0, it is the number of probes that may be in flight.
type ejection struct {
	domain    string  // empty for all callers
	faultRate float64 // share of failed requests, smoothed
	ejected   bool

	consecutiveSuccesses int // of probes
	probesInFlight       int
	probeInterval        monotonic.Micros
	nextProbeAt          monotonic.Micros
	recentEjections      int // of which each followed the one before within flapWindow
	lastEjectedAt        monotonic.Micros
}

// observe takes an outcome into the fault rate.
func (e *ejection) observe(outcome Outcome) {
	failed := 0.0
	if outcome == Failure {
		failed = 1
	}
	e.faultRate += (failed - e.faultRate) / smoothingWindow
}

// untilNextProbe is for how long no request may come; 0 if one may come now.
func (e *ejection) untilNextProbe(now monotonic.Micros, idempotent bool) monotonic.Micros {
	if !e.ejected || e.consecutiveSuccesses > 0 && e.probesInFlight < e.consecutiveSuccesses {
		return 0
	}
	if e.probesInFlight > 0 {
		return e.probeInterval
	}
	next := e.nextProbeAt
	if !idempotent {
		next += e.probeInterval // a request that can't be repeated is risked only if no other one comes
	}
	return max(0, next-now)
}

func (e *ejection) eject(now monotonic.Micros) {
	if e.recentEjections > 0 && now-e.lastEjectedAt >= flapWindow {
		e.recentEjections = 0
	}
	e.probeInterval = min(initialProbeInterval<<min(e.recentEjections, maxDoublings), maxProbeInterval)
	e.recentEjections++
	e.ejected, e.consecutiveSuccesses = true, 0
	e.lastEjectedAt, e.nextProbeAt = now, now+e.probeInterval
}

// recordProbeSuccess reports whether the backend is now reinstated.
func (e *ejection) recordProbeSuccess() (reinstated bool) {
	e.consecutiveSuccesses++
	if e.consecutiveSuccesses < successesToReinstate {
		return false
	}
	e.ejected, e.faultRate = false, 0
	return true
}

func (e *ejection) recordProbeFailure(now monotonic.Micros) {
	e.consecutiveSuccesses = 0
	e.probeInterval = min(2*e.probeInterval, maxProbeInterval)
	e.nextProbeAt = now + e.probeInterval
}
