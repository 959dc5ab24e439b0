package admission

import (
	"fmt"
	"strings"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
	"snowflow/internal/registry/idempotency"
	"snowflow/internal/transport/wire"
)

// claimFaults are what the outcomes of a claim other than granted and held come to.
var claimFaults = map[string]func(req *wire.ForwardRequest) *apierror.Fault{
	idempotency.BodyMismatch: func(req *wire.ForwardRequest) *apierror.Fault {
		return apierror.New(apierror.BodyMismatch, apierror.MayHaveRun, "the key was used with another body")
	},
	idempotency.Voided: func(req *wire.ForwardRequest) *apierror.Fault {
		return apierror.New(apierror.KeyFenced, apierror.NotRun, "try %s is void", req.Attempt)
	},
	idempotency.Fenced: func(req *wire.ForwardRequest) *apierror.Fault {
		return apierror.New(apierror.KeyFenced, apierror.NotRun, "the key was refused since this request was read")
	},
}

// claim asks for the right to run, right before the hand-over, until some moment. It gives the moment by which the request
// must start, or the recorded answer of an earlier run. It may be asked again for the same try. letGo is called once it's known
// that nothing is granted, before an earlier answer is looked for. unheard is set once a sorter may have granted it unheard.
func (c *Controller) claim(req *wire.ForwardRequest, until, deadline monotonic.Micros, mayBeGranted *bool, releaseSlot func()) (startBy monotonic.Micros, recorded *request.Response, fault *apierror.Fault) {
	h := c.options.Host
	for {
		sentAt := h.Now()
		remaining := min(until-sentAt, 700*monotonic.Millisecond)
		if remaining <= 0 {
			// An ask may have been granted unheard, but this carrier won't use it and nobody else can.
			return 0, nil, apierror.New(apierror.ClaimUnreachable, apierror.NotRun, "the sorter did not answer in time")
		}
		reply := &wire.ClaimResponse{}
		err := c.options.CallPrimary(wire.Kind_claim, &wire.ClaimRequest{Scope: req.Scope, Digest: req.Digest, Attempt: req.Attempt,
			Proxy: c.options.Proxy, Incarnation: c.options.Incarnation, ReadAt: req.ReadAt}, reply, remaining)
		if err != nil {
			*mayBeGranted = *mayBeGranted || apierror.IsLost(err)
			continue
		}
		if reply.Outcome == idempotency.Granted {
			return min(sentAt+claimTTL, deadline), nil, nil
		}
		releaseSlot()
		if reply.Outcome == idempotency.Pending {
			response, cause := c.recall(req, reply, deadline)
			if response != nil {
				return 0, response, nil
			}
			return 0, nil, apierror.New(cause, apierror.MayHaveRun, "the key is held by try %s at %s", reply.Attempt, reply.Owner)
		}
		if newFault := claimFaults[reply.Outcome]; newFault != nil {
			return 0, nil, newFault(req)
		}
		return 0, nil, apierror.New(apierror.ClaimUnreachable, apierror.MayHaveRun, "claim outcome %q", reply.Outcome)
	}
}

// recallTimeout is how long a repeat waits for the answer of a run that is still at work.
const recallTimeout = 500 * monotonic.Millisecond

// recall finds the answer of an earlier run, here or at the carrier that holds the key, or tells why there's none: the key is
// at work, or nobody has its answer any more.
func (c *Controller) recall(req *wire.ForwardRequest, existing *wire.ClaimResponse, deadline monotonic.Micros) (*request.Response, apierror.Cause) {
	until := min(deadline, c.options.Host.Now()+recallTimeout)
	response, cause := c.recallFrom(existing.Owner, req, existing.Attempt, until-c.options.Host.Now())
	if response != nil || cause == apierror.KeyPending {
		return response, cause
	}
	// The carrier that passed the request on keeps the answer too.
	if sender := attemptSender(existing.Attempt); sender != "" && sender != existing.Owner && c.options.Host.Now() < until {
		response, _ = c.recallFrom(sender, req, existing.Attempt, until-c.options.Host.Now())
	}
	return response, apierror.ResponseExpired
}

// NewAttemptID names a try of a carrier's; attemptSender tells whose it is.
func NewAttemptID(proxy string, random uint64) string { return fmt.Sprintf("%s-%016x", proxy, random) }

func attemptSender(attempt string) string {
	if end := strings.LastIndexByte(attempt, '-'); end > 0 {
		return attempt[:end]
	}
	return ""
}

// recallFrom asks one carrier, or this one, for a key's recorded answer.
func (c *Controller) recallFrom(proxy string, req *wire.ForwardRequest, attempt string, timeout monotonic.Micros) (*request.Response, apierror.Cause) {
	if proxy == c.options.Proxy {
		response, busy := c.recordedResponse(req.Scope, req.Digest, timeout)
		if busy {
			return response, apierror.KeyPending
		}
		return response, apierror.ResponseExpired
	}
	reply := &wire.ForwardResponse{}
	err := c.options.CallProxy(proxy, wire.Kind_replay, &wire.ReplayRequest{Scope: req.Scope, Digest: req.Digest, Attempt: attempt}, reply, timeout)
	if err == nil && reply.Rejected && apierror.Cause(reply.Cause) == apierror.KeyPending {
		return nil, apierror.KeyPending
	}
	if err != nil || reply.Rejected || !Complete(reply) {
		return nil, apierror.ResponseExpired
	}
	return &request.Response{Status: reply.Status, Headers: reply.Headers, Body: reply.Body, Instance: reply.Instance}, 0
}

// free gives a key back after the backend, or this carrier, was certain that nothing ran. If the sorter can't be told,
// the key stays held: safe, but the caller has to wait.
func (c *Controller) releaseClaim(req *wire.ForwardRequest) {
	_ = c.options.CallPrimary(wire.Kind_complete_claim, &wire.CompleteClaimRequest{Scope: req.Scope, Attempt: req.Attempt}, &wire.CompleteClaimResponse{}, monotonic.Second)
}
