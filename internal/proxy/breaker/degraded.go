package breaker

import (
	"math"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
)

// jitterSteps is the number of distinct values of the random factor, from 0 to below 1, that scales the backoff's jitter.
const jitterSteps = 1000

// Degraded reports whether the registry is unreachable and the local breakers decide.
func (s *Set) Degraded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.degraded
}

// enterDegraded makes the local breakers decide after a failed call to the registry. Queued writes will be dropped.
func (s *Set) enterDegraded(cause error) {
	if s.markDegraded() {
		s.config.Host.Report(eventlog.BreakerDegraded, eventlog.Attributes{"error": cause.Error()})
	}
}

// markDegraded marks the set as degraded and starts the backoff. It reports whether the set wasn't degraded before.
func (s *Set) markDegraded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.degraded {
		return false
	}
	s.degraded = true
	delay := s.backoff()
	s.failures++
	s.retryAt = s.config.Host.Now() + delay
	return true
}

// backoff returns how long writes are dropped. The caller holds the lock.
func (s *Set) backoff() monotonic.Micros {
	delay := float64(s.config.RetryBackoff) * math.Pow(s.config.RetryMultiplier, float64(s.failures))
	if s.config.RetryBackoffMax > 0 {
		delay = min(delay, float64(s.config.RetryBackoffMax))
	}
	delay += delay * s.config.RetryJitter * float64(s.config.Host.Random()%jitterSteps) / jitterSteps
	return monotonic.Micros(delay)
}

// leaveDegraded makes the shared records decide again.
func (s *Set) leaveDegraded() {
	s.mu.Lock()
	recovered := s.degraded
	s.degraded, s.failures = false, 0
	s.mu.Unlock()
	if recovered {
		s.config.Host.Report(eventlog.BreakerRecovered, eventlog.Attributes{})
	}
}
