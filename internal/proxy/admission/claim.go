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
var claimFaults = map[string]func(ask *wire.ForwardRequest) *apierror.Fault{
	idempotency.BodyMismatch: func(ask *wire.ForwardRequest) *apierror.Fault {
		return apierror.New(apierror.BodyMismatch, apierror.MayHaveRun, "the key was used with another body")
	},
	idempotency.Voided: func(ask *wire.ForwardRequest) *apierror.Fault {
		return apierror.New(apierror.KeyFenced, apierror.NotRun, "try %s is void", ask.Attempt)
	},
	idempotency.Fenced: func(ask *wire.ForwardRequest) *apierror.Fault {
		return apierror.New(apierror.KeyFenced, apierror.NotRun, "the key was refused since this request was read")
	},
}

// claim asks for the right to run, right before the hand-over, until some moment. It gives the moment by which the request
// must start, or the recorded answer of an earlier run. It may be asked again for the same try. letGo is called once it's known
// that nothing is granted, before an earlier answer is looked for. unheard is set once a sorter may have granted it unheard.
func (gate *Gate) claim(ask *wire.ForwardRequest, until, cutoff monotonic.Micros, unheard *bool, letGo func()) (startBy monotonic.Micros, earlier *request.Response, fault *apierror.Fault) {
	place := gate.env.Place
	for {
		asked := place.Now()
		remaining := min(until-asked, 700*monotonic.Millisecond)
		if remaining <= 0 {
			// An ask may have been granted unheard, but this carrier won't use it and nobody else can.
			return 0, nil, apierror.New(apierror.ClaimUnreachable, apierror.NotRun, "the sorter did not answer in time")
		}
		tell := &wire.ClaimResponse{}
		err := gate.env.CallPrimary(wire.Kind_claim, &wire.ClaimRequest{Scope: ask.Scope, Digest: ask.Digest, Attempt: ask.Attempt,
			Proxy: gate.env.Carrier, Incarnation: gate.env.Incarnation, ReadAt: ask.ReadAt}, tell, remaining)
		if err != nil {
			*unheard = *unheard || apierror.IsLost(err)
			continue
		}
		if tell.Outcome == idempotency.Granted {
			return min(asked+claimLife, cutoff), nil, nil
		}
		letGo()
		if tell.Outcome == idempotency.Pending {
			answer, cause := gate.recall(ask, tell, cutoff)
			if answer != nil {
				return 0, answer, nil
			}
			return 0, nil, apierror.New(cause, apierror.MayHaveRun, "the key is held by try %s at %s", tell.Attempt, tell.Owner)
		}
		if find := claimFaults[tell.Outcome]; find != nil {
			return 0, nil, find(ask)
		}
		return 0, nil, apierror.New(apierror.ClaimUnreachable, apierror.MayHaveRun, "claim outcome %q", tell.Outcome)
	}
}

// recallPatience is how long a repeat waits for the answer of a run that is still at work.
const recallPatience = 500 * monotonic.Millisecond

// recall finds the answer of an earlier run, here or at the carrier that holds the key, or tells why there's none: the key is
// at work, or nobody has its answer any more.
func (gate *Gate) recall(ask *wire.ForwardRequest, held *wire.ClaimResponse, cutoff monotonic.Micros) (*request.Response, apierror.Cause) {
	until := min(cutoff, gate.env.Place.Now()+recallPatience)
	answer, cause := gate.recallFrom(held.Owner, ask, held.Attempt, until-gate.env.Place.Now())
	if answer != nil || cause == apierror.KeyPending {
		return answer, cause
	}
	// The carrier that passed the request on keeps the answer too.
	if sender := senderOf(held.Attempt); sender != "" && sender != held.Owner && gate.env.Place.Now() < until {
		answer, _ = gate.recallFrom(sender, ask, held.Attempt, until-gate.env.Place.Now())
	}
	return answer, apierror.ResponseExpired
}

// TryOf names a try of a carrier's; senderOf tells whose it is.
func TryOf(carrier string, random uint64) string { return fmt.Sprintf("%s-%016x", carrier, random) }

func senderOf(try string) string {
	if end := strings.LastIndexByte(try, '-'); end > 0 {
		return try[:end]
	}
	return ""
}

// recallFrom asks one carrier, or this one, for a key's recorded answer.
func (gate *Gate) recallFrom(carrier string, ask *wire.ForwardRequest, try string, patience monotonic.Micros) (*request.Response, apierror.Cause) {
	if carrier == gate.env.Carrier {
		answer, busy := gate.recorded(ask.Scope, ask.Digest, patience)
		if busy {
			return answer, apierror.KeyPending
		}
		return answer, apierror.ResponseExpired
	}
	tell := &wire.ForwardResponse{}
	err := gate.env.CallCarrier(carrier, wire.Kind_replay, &wire.ReplayRequest{Scope: ask.Scope, Digest: ask.Digest, Attempt: try}, tell, patience)
	if err == nil && tell.Rejected && apierror.Cause(tell.Cause) == apierror.KeyPending {
		return nil, apierror.KeyPending
	}
	if err != nil || tell.Rejected || !Whole(tell) {
		return nil, apierror.ResponseExpired
	}
	return &request.Response{Status: tell.Status, Headers: tell.Headers, Body: tell.Body, Instance: tell.Instance}, 0
}

// free gives a key back after the backend, or this carrier, was certain that nothing ran. If the sorter can't be told,
// the key stays held: safe, but the caller has to wait.
func (gate *Gate) free(ask *wire.ForwardRequest) {
	_ = gate.env.CallPrimary(wire.Kind_complete_claim, &wire.CompleteClaimRequest{Scope: ask.Scope, Attempt: ask.Attempt}, &wire.CompleteClaimResponse{}, monotonic.Second)
}
