package breaker

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

// minRetryAfter and maxRetryAfter bound the Retry-After of a rejection by an open breaker.
const (
	minRetryAfter = monotonic.Second
	maxRetryAfter = 5 * monotonic.Second
)

// retryAfter is the Retry-After, in microseconds, of a rejection by a breaker that stays open for that long.
func retryAfter(open monotonic.Micros) monotonic.Micros {
	return min(max(open, minRetryAfter), maxRetryAfter)
}

// localBreaker is the state machine of this proxy's own breaker for one service. It is pure: the lock of its serviceBreaker
// guards it, and it is given the time.
//
//	closed ── window over a threshold ──> open ── wait ──> half open ── all probes ended, few failed ──> closed
//	                                       ^                  │
//	                                       └── many failed ───┘
type localBreaker struct {
	state     string // one of breakerstore's
	enteredAt monotonic.Micros
	// The probes of a half-open round.
	remaining int // that may still start
	completed int // that ended with an outcome
	failed    int // of these, failed or slow
}

// localDecision is what a local breaker decides on an attempt.
type localDecision struct {
	admitted   bool
	probe      bool             // endProbe must be called when the attempt has ended
	retryAfter monotonic.Micros // when the caller may retry, if it isn't admitted
}

// admit decides on an attempt. An open breaker becomes half open once it has been open for the configured time.
func (l *localBreaker) admit(now monotonic.Micros, settings *wire.Breaker) localDecision {
	if l.state == breakerstore.Closed {
		return localDecision{admitted: true}
	}
	waitOpen := monotonic.Micros(settings.GetWaitOpenMicros())
	if l.state == breakerstore.Open && now-l.enteredAt >= waitOpen {
		*l = localBreaker{state: breakerstore.HalfOpen, enteredAt: now, remaining: int(settings.GetPermittedHalfOpen())}
	}
	if l.state == breakerstore.HalfOpen && l.remaining > 0 {
		l.remaining--
		return localDecision{admitted: true, probe: true}
	}
	return localDecision{retryAfter: retryAfter(waitOpen - (now - l.enteredAt))}
}

// endProbe records the outcome of a probe. The last one of a round closes the breaker, or reports that it must open again. A
// probe that ends after its round changes nothing.
func (l *localBreaker) endProbe(settings *wire.Breaker, outcome Outcome, slow bool) (open bool) {
	if l.state != breakerstore.HalfOpen {
		return false
	}
	if outcome == Neutral {
		l.remaining++
		return false
	}
	l.completed++
	if outcome == Failure || slow {
		l.failed++
	}
	if l.completed < int(settings.GetPermittedHalfOpen()) {
		return false
	}
	if float64(l.failed) >= settings.GetFailureRate()*float64(l.completed) {
		return true
	}
	*l = localBreaker{state: breakerstore.Closed}
	return false
}
