package outlier

import "snowflow/internal/monotonic"

const (
	// initialProbeInterval is the pause before the first probe of an ejected backend. The pause doubles with each failed probe
	// and with each ejection within flapWindow of the one before, up to maxProbeInterval.
	initialProbeInterval, maxProbeInterval = 500 * monotonic.Millisecond, 2 * monotonic.Second
	// flapWindow is the time after an ejection during which another ejection counts as flapping.
	flapWindow = 20 * monotonic.Second
	// maxDoublings limits how often the probe interval is doubled because of flapping.
	maxDoublings = 4
	// successesToReinstate is the number of consecutive successful probes that reinstate a backend.
	successesToReinstate = 8
)

// ejection holds the fault rate that the callers of one domain, or all callers, observe, and whether the backend is ejected for
// them.
//
// Invariant: consecutiveSuccesses, probeInterval and nextProbeAt are meaningful only while ejected. If consecutiveSuccesses is
// above 0, it is also the largest number of probes that may be in flight.
type ejection struct {
	domain    string  // empty for all callers
	faultRate float64 // share of failed requests, smoothed
	ejected   bool

	consecutiveSuccesses int // of probes
	probesInFlight       int
	probeInterval        monotonic.Micros
	nextProbeAt          monotonic.Micros
	recentEjections      int // consecutive ejections that each began within flapWindow of the one before
	lastEjectedAt        monotonic.Micros
}

// observe adds an outcome to the fault rate.
func (e *ejection) observe(outcome Outcome) {
	failed := 0.0
	if outcome == Failure {
		failed = 1
	}
	e.faultRate += (failed - e.faultRate) / smoothingWindow
}

// untilNextProbe returns how long no request is admitted; 0 if one may be admitted now.
func (e *ejection) untilNextProbe(now monotonic.Micros, idempotent bool) monotonic.Micros {
	if !e.ejected || e.consecutiveSuccesses > 0 && e.probesInFlight < e.consecutiveSuccesses {
		return 0
	}
	if e.probesInFlight > 0 {
		return e.probeInterval
	}
	next := e.nextProbeAt
	if !idempotent {
		next += e.probeInterval // prefer an idempotent request as the probe: others can't be retried after a failure
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

// recordProbeSuccess counts a successful probe and reports whether the backend is reinstated by it.
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
