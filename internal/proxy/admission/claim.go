package admission

import (
	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
	"snowflow/internal/registry/idempotency"
	"snowflow/internal/transport/wire"
)

const (
	// claimTTL is how long a granted claim permits the request to start, counted from before the claim was sent.
	claimTTL = monotonic.Second
	// claimCallTimeout bounds one call to the registry for a claim. The claim of an attempt can be sent more than once.
	claimCallTimeout = 700 * monotonic.Millisecond
	// claimReleaseTimeout bounds the call that releases a claim.
	claimReleaseTimeout = monotonic.Second
)

// claimResult is the outcome of claiming an idempotency key: exactly one of startBy, recorded and fault is set.
type claimResult struct {
	startBy  monotonic.Micros  // granted: the time by which the request must start, on this process's clock
	recorded *request.Response // rejected: the recorded response of an earlier attempt
	fault    *apierror.Error   // rejected for another reason
	// mayBeGranted is set if a registry server may have granted the claim although its reply did not arrive.
	mayBeGranted bool
}

func (r *claimResult) granted() bool { return r.recorded == nil && r.fault == nil }

// claimFaults has, for each outcome of a rejected claim, the function that creates its fault. Pending is not among them; it is
// handled by resolveRejectedClaim.
var claimFaults = map[string]func(req *wire.ForwardRequest) *apierror.Error{
	idempotency.BodyMismatch: func(*wire.ForwardRequest) *apierror.Error {
		return apierror.New(apierror.BodyMismatch, apierror.MayHaveRun, "the key was used with another body")
	},
	idempotency.NotAdmitted: func(req *wire.ForwardRequest) *apierror.Error {
		return apierror.New(apierror.BreakerOpen, apierror.NotRun, "the breaker of %s is not closed", req.Service)
	},
	idempotency.Voided: func(req *wire.ForwardRequest) *apierror.Error {
		return apierror.New(apierror.KeyFenced, apierror.NotRun, "attempt %s was voided", req.Attempt)
	},
	idempotency.Fenced: func(*wire.ForwardRequest) *apierror.Error {
		return apierror.New(apierror.KeyFenced, apierror.NotRun, "the key was fenced after this request was read")
	},
}

// claim claims a request's idempotency key at the registry's leader, and repeats failed calls until the given time. deadline is the
// request's deadline. If the leader does not grant the claim, releaseSlot is called before the response of an earlier attempt is
// looked up.
func (c *Controller) claim(req *wire.ForwardRequest, until, deadline monotonic.Micros, releaseSlot func()) claimResult {
	h := c.options.Host
	mayBeGranted := false
	for {
		sentAt := h.Now()
		remaining := min(until-sentAt, claimCallTimeout)
		if remaining <= 0 {
			// Even if the claim was granted, this proxy won't run the request, and no other proxy can use the claim.
			fault := apierror.New(apierror.ClaimUnreachable, apierror.NotRun, "the registry did not answer in time")
			return claimResult{fault: fault, mayBeGranted: mayBeGranted}
		}
		reply, err := c.callClaim(req, remaining)
		if err != nil {
			mayBeGranted = mayBeGranted || apierror.IsLost(err)
			continue
		}
		result := claimResult{mayBeGranted: mayBeGranted}
		if reply.Outcome == idempotency.Granted {
			result.startBy = min(sentAt+claimTTL, deadline)
			return result
		}
		releaseSlot()
		result.recorded, result.fault = c.resolveRejectedClaim(req, reply, deadline)
		return result
	}
}

func (c *Controller) callClaim(req *wire.ForwardRequest, timeout monotonic.Micros) (*wire.ClaimResponse, error) {
	claim := &wire.ClaimRequest{
		Scope:       req.Scope,
		Digest:      req.Digest,
		Attempt:     req.Attempt,
		Proxy:       c.options.Proxy,
		Incarnation: c.options.Incarnation,
		ReadAt:      req.ReadAt,
		FormerScope: req.FormerScope,
	}
	if req.LocallyAdmitted {
		claim.LocallyAdmittedService = req.Service
	}
	reply := &wire.ClaimResponse{}
	return reply, c.options.CallLeader(wire.Kind_claim, claim, reply, timeout)
}

// resolveRejectedClaim returns the outcome of a claim that was not granted: the recorded response of the attempt that holds the
// key, or a fault.
func (c *Controller) resolveRejectedClaim(
	req *wire.ForwardRequest, reply *wire.ClaimResponse, deadline monotonic.Micros,
) (*request.Response, *apierror.Error) {
	if reply.Outcome == idempotency.Pending {
		response, cause := c.fetchRecordedResponse(req, reply, deadline)
		if response != nil {
			return response, nil
		}
		return nil, apierror.New(cause, apierror.MayHaveRun, "the key is held by try %s at %s", reply.Attempt, reply.Owner)
	}
	if newFault := claimFaults[reply.Outcome]; newFault != nil {
		return nil, newFault(req)
	}
	return nil, apierror.New(apierror.ClaimUnreachable, apierror.MayHaveRun, "unknown claim outcome %q", reply.Outcome)
}

// claimUntilDeadline repeats the claim until the request's deadline. mayBeGranted is set if an earlier call may have been granted
// although its reply did not arrive. If the registry can't be reached by the deadline, a claim that it may have granted is released.
func (c *Controller) claimUntilDeadline(req *wire.ForwardRequest, deadline monotonic.Micros, mayBeGranted bool) claimResult {
	result := c.claim(req, deadline, deadline, func() {})
	unreachable := result.fault != nil && result.fault.Cause == apierror.ClaimUnreachable
	if unreachable && (mayBeGranted || result.mayBeGranted) {
		c.options.Host.Go(func() { c.releaseClaim(req) })
	}
	return result
}

// releaseClaim releases the claim of a request that has certainly not run. If the registry can't be reached, the key stays claimed
// until the claim expires. That is safe, but repeated requests are rejected until then.
func (c *Controller) releaseClaim(req *wire.ForwardRequest) {
	release := &wire.CompleteClaimRequest{Scope: req.Scope, Attempt: req.Attempt}
	_ = c.options.CallLeader(wire.Kind_complete_claim, release, &wire.CompleteClaimResponse{}, claimReleaseTimeout)
}
