package passage

import (
	"snowflow/internal/carrier/letter"
	"snowflow/internal/carrier/roll"
	"snowflow/internal/carrier/wicket"
	"snowflow/internal/franking"
	"snowflow/internal/parcel/wire"
	"snowflow/internal/postcode"
	"snowflow/internal/postmark"
	"snowflow/internal/registry/claims"
	"snowflow/internal/seal"
)

// lost handles a pass without an answer. A run-once pass is voided first: void means proof that it has not run and won't.
func (passage *Passage) lost(trip *Trip, ticket *wicket.Ticket, candidate roll.Candidate, ask *wire.PassAsk, cause error) (*letter.Answer, *seal.Fault, bool) {
	passage.choices.shun(candidate.Carrier)
	ticket.Done(wicket.Neutral)
	if seal.IsUnreachable(cause) {
		return nil, seal.New(seal.PassUnreachable, seal.NotRun, "%s: %v", candidate.Carrier, cause), true
	}
	if !trip.Once {
		fault := seal.New(seal.PassLost, seal.MayHaveRun, "%s: %v", candidate.Carrier, cause)
		if passage.env.Place.Now() >= trip.Cutoff {
			fault = seal.New(seal.CutoffReached, seal.MayHaveRun, "%s gave no answer before the cutoff", candidate.Carrier)
		}
		return nil, fault, !trip.Single
	}
	if passage.void(trip, ask.Try, false) == claims.Voided {
		return nil, seal.New(seal.PassLost, seal.NotRun, "%s: %v; the try is void", candidate.Carrier, cause), true
	}
	return nil, seal.New(seal.PassLost, seal.MayHaveRun, "%s: %v", candidate.Carrier, cause), false
}

// turnedDown handles a refusal by the server's side.
func (passage *Passage) turnedDown(trip *Trip, ticket *wicket.Ticket, candidate roll.Candidate, tell *wire.PassTell, own bool) (*letter.Answer, *seal.Fault, bool) {
	fault := &seal.Fault{Cause: seal.Cause(tell.Cause), Verdict: seal.Verdict(tell.Verdict), RetryAfter: postmark.Micros(tell.RetryAfter),
		Detail: tell.Detail, Backend: tell.BackendFault, Measured: seal.Cause(tell.Cause) == seal.Overloaded && tell.Load.GetSlots() > 0}
	outcome := wicket.Neutral
	if fault.Backend && !own {
		outcome = wicket.Failure
	}
	ticket.Done(outcome)
	passage.choices.judge(candidate.Instance, fault.Backend)
	if fault.Cause == seal.BackendDial || fault.Cause == seal.BackendIdentity || fault.Cause == seal.BackendLeaving || fault.Cause == seal.BackendUnknown || fault.Cause == seal.BackendAiling {
		passage.choices.shun(candidate.Instance)
	}
	retriable := fault.NotRun() || !trip.Once && !trip.Single
	if fault.Cause == seal.KeyFenced || fault.Cause == seal.ClaimUnreachable {
		retriable = false
	}
	return nil, fault, retriable
}

// void asks the sorter to make sure a try never runs. With fence it closes the key to every request read before now.
func (passage *Passage) void(trip *Trip, try string, fence bool) string {
	tell := &wire.VoidTell{}
	patience := min(max(trip.Cutoff-passage.env.Place.Now(), 300*postmark.Millisecond), voidPatience)
	err := passage.env.CallPrimary(wire.Kind_void, &wire.VoidAsk{Scope: trip.Scope, Digest: trip.Digest, Try: try, Fence: fence}, tell, patience)
	if err != nil {
		return ""
	}
	if tell.Fence != nil {
		// The caller may come back at once, to this carrier: what it sends then was read after the fence.
		passage.env.Roll.Learn(&wire.HolderMoment{Epoch: tell.Fence.Epoch, Time: tell.Fence.Time + 1})
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
	return postcode.Resource(trip.Address.Path) + "\n" + trip.Request.Key
}

// harmless are the methods that promise to change nothing.
var harmless = map[string]bool{"GET": true, "HEAD": true}

// once tells whether a request may run only once: on a path of that class, and on any path when it carries a key and its
// method may change something. The second keeps a key that ran under one desired state from running again under
// another that has the path as read.
func once(path franking.Path, trip *Trip) bool {
	return path.Once || trip.Request.Key != "" && !harmless[trip.Method]
}

// doubtful is a fault that no longer says not run.
func doubtful(fault *seal.Fault) *seal.Fault {
	weaker := *fault
	weaker.Verdict = seal.MayHaveRun
	return &weaker
}

// final makes sure a verdict speaks of the key, not of one try: not run is only said of a run-once request once the
// claims say the same and are fenced, so that nothing read before can run under the key later.
func (passage *Passage) final(trip *Trip, fault *seal.Fault) *seal.Fault {
	if trip.Doubt && fault.NotRun() {
		return doubtful(fault)
	}
	if trip.Final || trip.Scope == "" || trip.Request.Alone || !fault.NotRun() {
		return fault
	}
	trip.Final = true
	if passage.void(trip, "", true) != claims.Voided {
		return doubtful(fault)
	}
	return fault
}
