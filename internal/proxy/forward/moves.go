package forward

import (
	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/retry"
)

// mostMoves is how many further backends one request may be brought to, within one try, because a gate turned it down. Each move costs two
// nodes processor time, most of all while everything is full and most moves are in vain.
const mostMoves = 2

// movable are the causes of refusals after which another backend is asked at once: nothing of the request came as far as a
// backend, and another one may well take it.
var movable = map[apierror.Cause]bool{apierror.Overloaded: true, apierror.BackendLeaving: true, apierror.BackendUnknown: true, apierror.Draining: true, apierror.ForwardUnreachable: true, apierror.BackendUnhealthy: true}

// moves keeps account of a request's tries. The first one is free, a further one is paid for out of the retry budget, and a move
// is part of the try that was turned down: whatever that one cost stays spent, and nothing is added.
// Invariant: between two tries of which each may have reached a backend something was spent; what was spent for a try that certainly
// reached none, and that moves no further, is given back.
type moves struct {
	made    int
	moving  bool // what comes next is no try of its own
	paid    bool
	refused monotonic.Micros // the least time to come back that a full gate named
}

// ended settles a try, of which last tells that its backend was the only one left to ask, with the budget. It tells
// whether the request moves on to another backend.
func (moves *moves) ended(budget *retry.Purse, trip *Trip, fault *apierror.Fault, retriable, last bool) bool {
	service, retry := trip.Service.Name, trip.Service.Retry
	moves.moving = false
	reached := fault == nil || !fault.NotRun() || fault.Cause == apierror.NotExecuted
	if reached {
		if !moves.paid {
			budget.First(service, retry.GetBudgetRatio(), retry.GetAllowance())
		}
		moves.paid = false
		return false
	}
	if fault.Cause == apierror.Overloaded && fault.RetryAfter > 0 && (moves.refused == 0 || fault.RetryAfter < moves.refused) {
		moves.refused = fault.RetryAfter
	}
	if retriable && !last && movable[fault.Cause] && moves.made < mostMoves {
		moves.made++
		moves.moving = true
		return true
	}
	if moves.paid {
		budget.Refund(service, retry.GetAllowance())
		moves.paid = false
	}
	return false
}
