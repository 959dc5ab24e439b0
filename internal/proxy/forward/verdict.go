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
func (passage *Passage) lost(trip *Trip, ticket *breaker.Ticket, candidate session.Candidate, ask *wire.ForwardRequest, cause error) (*request.Answer, *apierror.Fault, bool) {
	passage.choices.shun(candidate.Carrier)
	ticket.Done(breaker.Neutral)
	if apierror.IsUnreachable(cause) {
		return nil, apierror.New(apierror.ForwardUnreachable, apierror.NotRun, "%s: %v", candidate.Carrier, cause), true
	}
	if !trip.Once {
		fault := apierror.New(apierror.ForwardLost, apierror.MayHaveRun, "%s: %v", candidate.Carrier, cause)
		if passage.env.Place.Now() >= trip.Cutoff {
			fault = apierror.New(apierror.DeadlineExceeded, apierror.MayHaveRun, "%s gave no answer before the cutoff", candidate.Carrier)
		}
		return nil, fault, !trip.Single
	}
	if passage.void(trip, ask.Attempt, false) == idempotency.Voided {
		return nil, apierror.New(apierror.ForwardLost, apierror.NotRun, "%s: %v; the try is void", candidate.Carrier, cause), true
	}
	return nil, apierror.New(apierror.ForwardLost, apierror.MayHaveRun, "%s: %v", candidate.Carrier, cause), false
}

// turnedDown handles a refusal by the server's side.
func (passage *Passage) turnedDown(trip *Trip, ticket *breaker.Ticket, candidate session.Candidate, tell *wire.ForwardResponse, own bool) (*request.Answer, *apierror.Fault, bool) {
	fault := &apierror.Fault{Cause: apierror.Cause(tell.Cause), Verdict: apierror.Verdict(tell.Verdict), RetryAfter: monotonic.Micros(tell.RetryAfter),
		Detail: tell.Detail, Backend: tell.BackendFault, RetryAfterMeasured: apierror.Cause(tell.Cause) == apierror.Overloaded && tell.Load.GetSlots() > 0}
	outcome := breaker.Neutral
	if fault.Backend && !own {
		outcome = breaker.Failure
	}
	ticket.Done(outcome)
	passage.choices.judge(candidate.Instance, fault.Backend)
	if fault.Cause == apierror.BackendDialFailed || fault.Cause == apierror.BackendIdentityMismatch || fault.Cause == apierror.BackendLeaving || fault.Cause == apierror.BackendUnknown || fault.Cause == apierror.BackendUnhealthy {
		passage.choices.shun(candidate.Instance)
	}
	retriable := fault.NotRun() || !trip.Once && !trip.Single
	if fault.Cause == apierror.KeyFenced || fault.Cause == apierror.ClaimUnreachable {
		retriable = false
	}
	return nil, fault, retriable
}

// void asks the sorter to make sure a try never runs. With fence it closes the key to every request read before now.
func (passage *Passage) void(trip *Trip, try string, fence bool) string {
	tell := &wire.VoidClaimResponse{}
	patience := min(max(trip.Cutoff-passage.env.Place.Now(), 300*monotonic.Millisecond), voidPatience)
	err := passage.env.CallPrimary(wire.Kind_void_claim, &wire.VoidClaimRequest{Scope: trip.Scope, Digest: trip.Digest, Attempt: try, Fence: fence}, tell, patience)
	if err != nil {
		return ""
	}
	if tell.Fence != nil {
		// The caller may come back at once, to this carrier: what it sends then was read after the fence.
		passage.env.Roll.Learn(&wire.LeaderTimestamp{Epoch: tell.Fence.Epoch, Time: tell.Fence.Time + 1})
	}
	return tell.Outcome
}

// scope names what may run once: a key at a resource, however that is spelled. The service is no part of it: a key must not
// run twice even when a new desired state sends its path to another service. It's known before the path is resolved, so
// every refusal can speak of the key.
func scope(trip *Trip) string {
	if trip.Request.Key == "" {
		return ""
	}
	if trip.Request.Scope != "" {
		return trip.Request.Scope
	}
	return resourcepath.TrimTrailingSlash(trip.Address.Path) + "\n" + trip.Request.Key
}

// harmless are the methods that promise to change nothing.
var harmless = map[string]bool{"GET": true, "HEAD": true}

// once tells whether a request may run only once: on a path of that class, and on any path when it carries a key and its
// method may change something. The second keeps a key that ran under one desired state from running again under
// another that has the path as read.
func once(path config.Route, trip *Trip) bool {
	return path.Once || trip.Request.Key != "" && !harmless[trip.Method]
}

// doubtful is a fault that no longer says not run.
func doubtful(fault *apierror.Fault) *apierror.Fault {
	weaker := *fault
	weaker.Verdict = apierror.MayHaveRun
	return &weaker
}

// final makes sure a verdict speaks of the key, not of one try: not run is only said of a run-once request once the
// claims say the same and are fenced, so that nothing read before can run under the key later.
func (passage *Passage) final(trip *Trip, fault *apierror.Fault) *apierror.Fault {
	if trip.Doubt && fault.NotRun() {
		return doubtful(fault)
	}
	if trip.Final || trip.Scope == "" || trip.Request.Alone || !fault.NotRun() {
		return fault
	}
	trip.Final = true
	if passage.void(trip, "", true) != idempotency.Voided {
		return doubtful(fault)
	}
	return fault
}
