package outlier

import (
	"slices"

	"snowflow/internal/monotonic"
)

// Call is an admitted request to the backend. Close must be called for each.
type Call struct {
	detector        *Detector
	probedEjections [2]*ejection // the active ejections that the call probes; nil where it is no probe
	domain          string
	kind            string
	startedAt       monotonic.Micros
	started         bool
	overdue         bool // already counted as a failure because it took too long
	closed          bool
}

// Start records that the request is being sent to the backend.
func (c *Call) Start(now monotonic.Micros) {
	c.startedAt, c.started = now, true
	c.detector.calls = append(c.detector.calls, c)
}

// Close records the outcome of the request. The outcome is ignored if Start was never called. Further calls of Close have no
// effect.
func (c *Call) Close(now monotonic.Micros, outcome Outcome) {
	if c.closed {
		return
	}
	c.closed = true
	d := c.detector
	d.countOverdue(now)
	if !c.started {
		c.releaseProbes()
		return
	}
	position := slices.Index(d.calls, c)
	d.calls = slices.Delete(d.calls, position, position+1)
	if outcome == Success {
		d.latency.observe(c.kind, now-c.startedAt, d.peers.LatencyRatio)
	}
	if !c.overdue {
		d.recordOutcome(now, c, outcome)
	}
}

// releaseProbes removes the call from the counts of probes in flight.
func (c *Call) releaseProbes() {
	for index, ejection := range c.probedEjections {
		if ejection != nil {
			ejection.probesInFlight--
			c.probedEjections[index] = nil
		}
	}
}
