package breaker

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

// minRetryAfter and maxRetryAfter are the limits of the Retry-After of a rejection by an open breaker.
const (
	minRetryAfter = monotonic.Second
	maxRetryAfter = 5 * monotonic.Second
)

// retryAfter returns the Retry-After, in microseconds, of a rejection by a breaker that stays open for the remaining time.
func retryAfter(remaining monotonic.Micros) monotonic.Micros {
	return min(max(remaining, minRetryAfter), maxRetryAfter)
}

// localBreaker is the state machine of this proxy's own breaker for one service. It is pure: the caller passes in the time and
// holds the lock of the serviceBreaker.
//
//	closed ── rate reaches its threshold ──> open ── wait ──> half open ── all probes ended, few failed ──> closed
//	                                          ^                  │
//	                                          └── many failed ───┘
type localBreaker struct {
	state     string           // breakerstore.Closed, Open or HalfOpen
	enteredAt monotonic.Micros // when the open or half-open state began
	// Counts of the probes in a half-open round.
	remaining int // may still start
	completed int // ended with an outcome other than Neutral
	failed    int // completed ones that failed or were slow
}

// localDecision is a local breaker's decision on an attempt.
type localDecision struct {
	admitted   bool
	probe      bool             // the attempt is a probe: endProbe must be called at its end
	retryAfter monotonic.Micros // how long the caller of a rejected attempt should wait before a retry
}

// admit decides whether an attempt is admitted. An open breaker becomes half open after the configured time.
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

// endProbe records the outcome of a probe. The last probe of a round closes the breaker, or endProbe returns true because the
// breaker must open again. A probe that ends after its round is ignored.
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
