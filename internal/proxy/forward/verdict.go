package forward

import (
	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/breaker"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/session"
	"snowflow/internal/registry/idempotency"
	"snowflow/internal/resourcepath"
	"snowflow/internal/transport/wire"
)

// lost handles a pass without an answer. A run-once pass is voided first: void means proof that it has not run and won't.
func (f *Forwarder) handleLostResponse(exchange *Exchange, permit *breaker.Permit, candidate session.Candidate, forwardRequest *wire.ForwardRequest, cause error) (*request.Response, *apierror.Fault, bool) {
	f.balancer.markUnavailable(candidate.Proxy)
	permit.Done(breaker.Neutral)
	if apierror.IsUnreachable(cause) {
		return nil, apierror.New(apierror.ForwardUnreachable, apierror.NotRun, "%s: %v", candidate.Proxy, cause), true
	}
	if !exchange.RunOnce {
		fault := apierror.New(apierror.ForwardLost, apierror.MayHaveRun, "%s: %v", candidate.Proxy, cause)
		if f.config.Host.Now() >= exchange.Deadline {
			fault = apierror.New(apierror.DeadlineExceeded, apierror.MayHaveRun, "%s gave no answer before the cutoff", candidate.Proxy)
		}
		return nil, fault, !exchange.AtMostOnce
	}
	if f.voidAttempt(exchange, forwardRequest.Attempt, false) == idempotency.Voided {
		return nil, apierror.New(apierror.ForwardLost, apierror.NotRun, "%s: %v; the try is void", candidate.Proxy, cause), true
	}
	return nil, apierror.New(apierror.ForwardLost, apierror.MayHaveRun, "%s: %v", candidate.Proxy, cause), false
}

// handleRejection handles a refusal by the server's side.
func (f *Forwarder) handleRejection(exchange *Exchange, permit *breaker.Permit, candidate session.Candidate, forwardResponse *wire.ForwardResponse, backendOnly bool) (*request.Response, *apierror.Fault, bool) {
	fault := &apierror.Fault{Cause: apierror.Cause(forwardResponse.Cause), Verdict: apierror.Verdict(forwardResponse.Verdict), RetryAfter: monotonic.Micros(forwardResponse.RetryAfter),
		Detail: forwardResponse.Detail, Backend: forwardResponse.BackendFault, RetryAfterMeasured: apierror.Cause(forwardResponse.Cause) == apierror.Overloaded && forwardResponse.Load.GetSlots() > 0}
	outcome := breaker.Neutral
	if fault.Backend && !backendOnly {
		outcome = breaker.Failure
	}
	permit.Done(outcome)
	f.balancer.observeOutcome(candidate.Instance, fault.Backend)
	if fault.Cause == apierror.BackendDialFailed || fault.Cause == apierror.BackendIdentityMismatch || fault.Cause == apierror.BackendLeaving || fault.Cause == apierror.BackendUnknown || fault.Cause == apierror.BackendUnhealthy {
		f.balancer.markUnavailable(candidate.Instance)
	}
	retriable := fault.NotRun() || !exchange.RunOnce && !exchange.AtMostOnce
	if fault.Cause == apierror.KeyFenced || fault.Cause == apierror.ClaimUnreachable {
		retriable = false
	}
	return nil, fault, retriable
}

// void asks the sorter to make sure a try never runs. With fence it closes the key to every request read before now.
func (f *Forwarder) voidAttempt(exchange *Exchange, attempt string, fence bool) string {
	voidResponse := &wire.VoidClaimResponse{}
	timeout := min(max(exchange.Deadline-f.config.Host.Now(), 300*monotonic.Millisecond), voidTimeout)
	err := f.config.CallPrimary(wire.Kind_void_claim, &wire.VoidClaimRequest{Scope: exchange.IdempotencyScope, Digest: exchange.Digest, Attempt: attempt, Fence: fence}, voidResponse, timeout)
	if err != nil {
		return ""
	}
	if voidResponse.Fence != nil {
		// The caller may come back at once, to this carrier: what it sends then was read after the fence.
		f.config.Session.ObserveLeaderClock(&wire.LeaderTimestamp{Epoch: voidResponse.Fence.Epoch, Time: voidResponse.Fence.Time + 1})
	}
	return voidResponse.Outcome
}

// scope names what may run once: a key at a resource, however that is spelled. The service is no part of it: a key must not
// run twice even when a new desired state sends its path to another service. It's known before the path is resolved, so
// every refusal can speak of the key.
func idempotencyScope(exchange *Exchange) string {
	if exchange.Request.IdempotencyKey == "" {
		return ""
	}
	if exchange.Request.IdempotencyScope != "" {
		return exchange.Request.IdempotencyScope
	}
	return resourcepath.TrimTrailingSlash(exchange.Target.Path) + "\n" + exchange.Request.IdempotencyKey
}

// harmless are the methods that promise to change nothing.
var safeMethods = map[string]bool{"GET": true, "HEAD": true}

// once tells whether a request may run only once: on a path of that class, and on any path when it carries a key and its
// method may change something. The second keeps a key that ran under one desired state from running again under
// another that has the path as read.
func runsOnce(route config.Route, exchange *Exchange) bool {
	return route.Once || exchange.Request.IdempotencyKey != "" && !safeMethods[exchange.Method]
}

// doubtful is a fault that no longer says not run.
func asMayHaveRun(fault *apierror.Fault) *apierror.Fault {
	weaker := *fault
	weaker.Verdict = apierror.MayHaveRun
	return &weaker
}

// final makes sure a verdict speaks of the key, not of one try: not run is only said of a run-once request once the
// claims say the same and are fenced, so that nothing read before can run under the key later.
func (f *Forwarder) confirmVerdict(exchange *Exchange, fault *apierror.Fault) *apierror.Fault {
	if exchange.MayHaveRun && fault.NotRun() {
		return asMayHaveRun(fault)
	}
	if exchange.VerdictConfirmed || exchange.IdempotencyScope == "" || exchange.Request.VerdictPerRequest || !fault.NotRun() {
		return fault
	}
	exchange.VerdictConfirmed = true
	if f.voidAttempt(exchange, "", true) != idempotency.Voided {
		return asMayHaveRun(fault)
	}
	return fault
}
