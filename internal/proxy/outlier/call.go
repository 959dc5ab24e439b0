package outlier

import (
	"slices"

	"snowflow/internal/monotonic"
)

// Call is one request at the backend. Close must be called for each.
type Call struct {
	detector  *Detector
	ejections [2]*ejection // of which the call is a probe
	domain    string
	kind      string
	startedAt monotonic.Micros
	started   bool
	overdue   bool // it has counted as a failure already
	closed    bool
}

// Start records that the request is being handed to the backend.
func (c *Call) Start(now monotonic.Micros) {
	c.startedAt, c.started = now, true
	c.detector.calls = append(c.detector.calls, c)
}

// Close records the end of the request. The outcome of one that was never handed over isn't counted. Only the first Close of a
// call counts.
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

// releaseProbes takes the call out of the probes in flight.
func (c *Call) releaseProbes() {
	for index, ejection := range c.ejections {
		if ejection != nil {
			ejection.probesInFlight--
			c.ejections[index] = nil
		}
	}
}
