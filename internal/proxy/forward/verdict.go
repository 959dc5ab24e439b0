package forward

import (
	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/breaker"
	"snowflow/internal/registry/idempotency"
	"snowflow/internal/transport/wire"
)

const (
	// voidTimeout is the longest that voiding an attempt may take. After it the verdict is MayHaveRun.
	voidTimeout = 1500 * monotonic.Millisecond
	// minVoidTimeout is how long voiding may take even if the request's deadline is earlier.
	minVoidTimeout = 300 * monotonic.Millisecond
)

// unavailableCauses are the causes of rejection after which the load balancer avoids a backend for a while.
var unavailableCauses = map[apierror.Cause]bool{
	apierror.BackendDialFailed:       true,
	apierror.BackendIdentityMismatch: true,
	apierror.BackendLeaving:          true,
	apierror.BackendUnknown:          true,
	apierror.BackendUnhealthy:        true,
}

// handleLostResponse ends an attempt that got no response. A RunOnce attempt is voided at the registry first: a void attempt
// certainly hasn't run and never will.
func (f *Forwarder) handleLostResponse(a *attempt, message *wire.ForwardRequest, cause error) attemptResult {
	proxy, exchange := a.candidate.Proxy, a.exchange
	f.balancer.MarkUnavailable(proxy)
	a.permit.Done(breaker.Neutral)
	if apierror.IsUnreachable(cause) {
		return a.fail(apierror.New(apierror.ForwardUnreachable, apierror.NotRun, "%s: %v", proxy, cause), true)
	}
	if !exchange.RunOnce {
		fault := apierror.New(apierror.ForwardLost, apierror.MayHaveRun, "%s: %v", proxy, cause)
		if f.config.Host.Now() >= exchange.Deadline {
			fault = apierror.New(apierror.DeadlineExceeded, apierror.MayHaveRun, "%s did not respond before the deadline", proxy)
		}
		return a.fail(fault, !exchange.AtMostOnce)
	}
	if f.voidAttempt(exchange, message.Attempt, false) == idempotency.Voided {
		return a.fail(apierror.New(apierror.ForwardLost, apierror.NotRun, "%s: %v; the attempt was voided", proxy, cause), true)
	}
	return a.fail(apierror.New(apierror.ForwardLost, apierror.MayHaveRun, "%s: %v", proxy, cause), false)
}

// handleRejection ends an attempt that the backend's proxy rejected, or that failed at the backend.
func (f *Forwarder) handleRejection(a *attempt, response *wire.ForwardResponse, backendOnly bool) attemptResult {
	fault := rejectionFault(response)
	outcome := breaker.Neutral
	if fault.Backend && !backendOnly {
		outcome = breaker.Failure
	}
	a.permit.Done(outcome)
	f.balancer.ObserveOutcome(a.candidate.Instance, fault.Backend)
	if unavailableCauses[fault.Cause] {
		f.balancer.MarkUnavailable(a.candidate.Instance)
	}
	retriable := fault.NotRun() || a.exchange.mayRepeat()
	if fault.Cause == apierror.KeyFenced || fault.Cause == apierror.ClaimUnreachable {
		retriable = false
	}
	return a.fail(fault, retriable)
}

func rejectionFault(response *wire.ForwardResponse) *apierror.Error {
	cause := apierror.Cause(response.Cause)
	return &apierror.Error{
		Cause:      cause,
		Verdict:    apierror.Verdict(response.Verdict),
		RetryAfter: monotonic.Micros(response.RetryAfter),
		Detail:     response.Detail,
		Backend:    response.BackendFault,
		// The proxy of a backend with slots derives RetryAfter from the backend's queue.
		RetryAfterMeasured: cause == apierror.Overloaded && response.Load.GetSlots() > 0,
	}
}

// voidAttempt asks the registry to ensure that an attempt never runs. With fence the registry also refuses the key from now on to every
// request that was read earlier. It returns idempotency.Voided if both are ensured, idempotency.Claimed if an attempt has claimed
// the key, or an empty string if the registry can't be reached in time.
func (f *Forwarder) voidAttempt(exchange *Exchange, attempt string, fence bool) string {
	timeout := min(max(exchange.Deadline-f.config.Host.Now(), minVoidTimeout), voidTimeout)
	message := &wire.VoidClaimRequest{Scope: exchange.IdempotencyScope, Digest: exchange.Digest, Attempt: attempt, Fence: fence, FormerScope: exchange.FormerScope}
	response := &wire.VoidClaimResponse{}
	if err := f.config.CallLeader(wire.Kind_void_claim, message, response, timeout); err != nil {
		return ""
	}
	if response.Fence != nil {
		// The caller may repeat the request at this proxy at once. That request must count as read after the fence.
		f.config.Session.ObserveLeaderClock(&wire.LeaderTimestamp{Epoch: response.Fence.Epoch, Time: response.Fence.Time + 1})
	}
	return response.Outcome
}

// confirmVerdict ensures that a verdict holds for the idempotency key, not only for one attempt. A request with a key gets the
// verdict NotRun only after the registry has found the key unclaimed and fenced it, so that no request that was read earlier can
// still run under it. It is called once per failed request, when no further attempt can follow.
func (f *Forwarder) confirmVerdict(exchange *Exchange, fault *apierror.Error) *apierror.Error {
	if exchange.MayHaveRun && fault.NotRun() {
		return asMayHaveRun(fault)
	}
	if exchange.IdempotencyScope == "" || exchange.Request.VerdictPerRequest || !fault.NotRun() {
		return fault
	}
	if len(exchange.Request.TenantKeys) > 0 && exchange.Snapshot == nil {
		return asMayHaveRun(fault) // the tenant, and so the scope of the idempotency key, is unknown
	}
	if f.voidAttempt(exchange, "", true) != idempotency.Voided {
		return asMayHaveRun(fault)
	}
	return fault
}

// asMayHaveRun returns a copy of a fault with the verdict MayHaveRun.
func asMayHaveRun(fault *apierror.Error) *apierror.Error {
	copied := *fault
	copied.Verdict = apierror.MayHaveRun
	return &copied
}
