package retry

import (
	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// MaxRedispatches is the number of times that one request may be redispatched to another backend, over all its attempts. Each
// redispatch costs processor time on two hosts, which is mostly wasted while every backend is full.
const MaxRedispatches = 2

// redispatchCauses are the causes of rejection after which another backend is tried at once: no backend has seen the request,
// and another backend is likely to accept it.
var redispatchCauses = map[apierror.Cause]bool{
	apierror.Overloaded:         true,
	apierror.BackendLeaving:     true,
	apierror.BackendUnknown:     true,
	apierror.Draining:           true,
	apierror.ForwardUnreachable: true,
	apierror.BackendUnhealthy:   true,
}

// State tracks the attempts of one request. The first attempt is free, and a retry is charged to the Budget. A redispatch belongs to
// the attempt that was rejected: a charge for that attempt remains, and there is no further one.
//
// Invariant: between two attempts that may each have reached a backend, a token was withdrawn. A token withdrawn for an
// attempt that certainly reached none, and that isn't redispatched, is refunded.
//
// The zero value is the state before the first attempt. It belongs to one request and isn't safe for concurrent use.
type State struct {
	redispatches  int
	redispatching bool // the next attempt continues the one that was rejected
	charged       bool // a token was withdrawn for the current attempt
	minRetryAfter monotonic.Micros
}

// AttemptResult is the outcome of one attempt.
type AttemptResult struct {
	Fault       *apierror.Error // nil if the backend responded
	Retriable   bool            // another attempt is safe: the request hasn't run, or may run more than once
	LastBackend bool            // no other backend was left to try
}

// reachedBackend reports whether a backend may have seen the request.
func (r AttemptResult) reachedBackend() bool {
	return r.Fault == nil || !r.Fault.NotRun() || r.Fault.Cause == apierror.NotExecuted
}

// Redispatching reports whether the next attempt is a redispatch, and so doesn't count as an attempt of its own.
func (s *State) Redispatching() bool { return s.redispatching }

// RedispatchesExhausted reports whether the request may not be redispatched again.
func (s *State) RedispatchesExhausted() bool { return s.redispatches == MaxRedispatches }

// MinRetryAfter returns the shortest Retry-After, in microseconds, of the overloaded backends so far; 0 if there was none.
func (s *State) MinRetryAfter() monotonic.Micros { return s.minRetryAfter }

// Charge withdraws the token for a retry from the budget and reports whether there was one.
func (s *State) Charge(budget *Budget, service string, policy *wire.Retry) bool {
	if !budget.TryWithdraw(service, policy.GetAllowance()) {
		return false
	}
	s.charged = true
	return true
}

// EndAttempt updates the budget at the end of an attempt and reports whether the request is to be redispatched to another backend.
func (s *State) EndAttempt(budget *Budget, service string, policy *wire.Retry, result AttemptResult) (redispatch bool) {
	s.redispatching = false
	if result.reachedBackend() {
		if !s.charged {
			budget.Deposit(service, policy.GetBudgetRatio(), policy.GetAllowance())
		}
		s.charged = false
		return false
	}
	s.observeRetryAfter(result.Fault)
	if s.mayRedispatch(result) {
		s.redispatches++
		s.redispatching = true
		return true
	}
	if s.charged {
		budget.Refund(service, policy.GetAllowance())
		s.charged = false
	}
	return false
}

func (s *State) mayRedispatch(result AttemptResult) bool {
	return result.Retriable && !result.LastBackend && redispatchCauses[result.Fault.Cause] && !s.RedispatchesExhausted()
}

// observeRetryAfter records the Retry-After of an overloaded backend if it is the shortest so far.
func (s *State) observeRetryAfter(fault *apierror.Error) {
	if fault.Cause != apierror.Overloaded || fault.RetryAfter <= 0 {
		return
	}
	if s.minRetryAfter == 0 || fault.RetryAfter < s.minRetryAfter {
		s.minRetryAfter = fault.RetryAfter
	}
}
