package forward

import (
	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/retry"
)

// maxRedispatches is how many further backends one request may be brought to, within one try, because a gate turned it down. Each move costs two
// nodes processor time, most of all while everything is full and most moves are in vain.
const maxRedispatches = 2

// movable are the causes of refusals after which another backend is asked at once: nothing of the request came as far as a
// backend, and another one may well take it.
var redispatchCauses = map[apierror.Cause]bool{apierror.Overloaded: true, apierror.BackendLeaving: true, apierror.BackendUnknown: true, apierror.Draining: true, apierror.ForwardUnreachable: true, apierror.BackendUnhealthy: true}

// moves keeps account of a request's tries. The first one is free, a further one is paid for out of the retry budget, and a move
// is part of the try that was turned down: whatever that one cost stays spent, and nothing is added.
// Invariant: between two tries of which each may have reached a backend something was spent; what was spent for a try that certainly
// reached none, and that moves no further, is given back.
type retryState struct {
	redispatches  int
	redispatching bool // what comes next is no try of its own
	charged       bool
	minRetryAfter monotonic.Micros // the least time to come back that a full gate named
}

// ended settles a try, of which last tells that its backend was the only one left to ask, with the budget. It tells
// whether the request moves on to another backend.
func (r *retryState) endAttempt(budget *retry.Budget, exchange *Exchange, fault *apierror.Fault, retriable, lastBackend bool) bool {
	service, retryPolicy := exchange.Service.Name, exchange.Service.Retry
	r.redispatching = false
	reached := fault == nil || !fault.NotRun() || fault.Cause == apierror.NotExecuted
	if reached {
		if !r.charged {
			budget.Deposit(service, retryPolicy.GetBudgetRatio(), retryPolicy.GetAllowance())
		}
		r.charged = false
		return false
	}
	if fault.Cause == apierror.Overloaded && fault.RetryAfter > 0 && (r.minRetryAfter == 0 || fault.RetryAfter < r.minRetryAfter) {
		r.minRetryAfter = fault.RetryAfter
	}
	if retriable && !lastBackend && redispatchCauses[fault.Cause] && r.redispatches < maxRedispatches {
		r.redispatches++
		r.redispatching = true
		return true
	}
	if r.charged {
		budget.Refund(service, retryPolicy.GetAllowance())
		r.charged = false
	}
	return false
}
