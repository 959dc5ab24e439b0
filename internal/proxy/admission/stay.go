package admission

import (
	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/request"
	"snowflow/internal/transport/wire"
)

// stay is a request's right to be handed to its backend: a slot, and for a run-once request its claim.
type stay struct {
	*localbackends.Pass
	startBy monotonic.Micros
}

// guardShare is the part of the guard's wait in open, as a divisor, that a request may wait for a slot. It was let in
// while the guard was closed, and must not come to the backend in the trial that follows the wait.
const guardShare = 2

// stay gets a request its place, or the recorded answer of an earlier run. On a fault neither slot nor claim is left behind.
func (gate *Gate) stay(ask *wire.ForwardRequest, service *config.Service, cutoff monotonic.Micros) (*stay, *request.Response, *apierror.Fault) {
	admission := localbackends.Admission{Instance: ask.Instance, Service: ask.Service, Once: ask.RunOnce,
		Ask: slots.Ask{Priority: ask.Priority, Aim: gate.env.Hutch.Remaining(ask.LatencyTarget), Cutoff: cutoff, Patient: ask.MayQueue, Kind: ask.Route}}
	admission.StartBy = min(cutoff, gate.env.Place.Now()+monotonic.Micros(service.Breaker.GetWaitOpenMicros())/guardShare)
	claims := ask.RunOnce && !gate.unclaimed
	if !gate.env.Hutch.Counted(ask.Instance) {
		return gate.placed(ask, admission, claims, service.Limits.GetInFlightPerBackend())
	}
	pass, fault := gate.env.Hutch.Admit(admission)
	if fault != nil || !claims {
		return &stay{Pass: pass, startBy: cutoff}, nil, fault
	}
	return gate.claimed(ask, admission, pass)
}

// claimHold is how long a slot is held for a claim that isn't answered. It's well above what one takes.
const claimHold = 100 * monotonic.Millisecond

// claimed claims while the slot is held: a claim takes one replicated write of some milliseconds, whereas a key claimed for
// a request that the queue then refuses costs a second such write to free it, and meanwhile nobody else may use
// it. When the sorters fail over claims take seconds; then the slot is given back and asked for again once the
// claim is there, or lookups would find every slot held by requests that can't start.
func (gate *Gate) claimed(ask *wire.ForwardRequest, admission localbackends.Admission, pass *localbackends.Pass) (*stay, *request.Response, *apierror.Fault) {
	cutoff := admission.Cutoff
	unheard := false
	startBy, earlier, fault := gate.claim(ask, min(cutoff, gate.env.Place.Now()+claimHold), cutoff, &unheard, func() { pass.Leave(slots.Over) })
	if fault == nil && earlier == nil {
		return &stay{Pass: pass, startBy: startBy}, nil, nil
	}
	pass.Leave(slots.Over)
	if earlier != nil || fault.Cause != apierror.ClaimUnreachable || !fault.NotRun() {
		return nil, earlier, fault
	}
	if startBy, earlier, fault = gate.settled(ask, cutoff, unheard); fault != nil || earlier != nil {
		return nil, earlier, fault
	}
	admission.StartBy, admission.Patient = startBy, true
	if pass, fault = gate.env.Hutch.Admit(admission); fault != nil {
		gate.free(ask)
		return nil, nil, fault
	}
	return &stay{Pass: pass, startBy: startBy}, nil, nil
}

// settled claims until the cutoff; a claim that may have been granted unheard, now or before, is freed.
func (gate *Gate) settled(ask *wire.ForwardRequest, cutoff monotonic.Micros, unheard bool) (startBy monotonic.Micros, earlier *request.Response, fault *apierror.Fault) {
	startBy, earlier, fault = gate.claim(ask, cutoff, cutoff, &unheard, func() {})
	if fault != nil && fault.Cause == apierror.ClaimUnreachable && unheard {
		gate.env.Place.Go(func() { gate.free(ask) })
	}
	return startBy, earlier, fault
}

// placed is the way in to a backend of unknown slots. A claim may take long; no place is held meanwhile. Whom there is no place
// for now isn't claimed for.
func (gate *Gate) placed(ask *wire.ForwardRequest, admission localbackends.Admission, claims bool, limit uint32) (*stay, *request.Response, *apierror.Fault) {
	startBy := admission.Cutoff
	if fault := gate.env.Hutch.Room(ask.Instance, ask.Service, limit, ask.RunOnce); fault != nil {
		return nil, nil, fault
	}
	if claims {
		var earlier *request.Response
		var fault *apierror.Fault
		if startBy, earlier, fault = gate.settled(ask, startBy, false); fault != nil || earlier != nil {
			return nil, earlier, fault
		}
	}
	pass, fault := gate.enter(admission, limit, startBy)
	if fault != nil {
		if ask.RunOnce {
			gate.free(ask)
		}
		return nil, nil, fault
	}
	return &stay{Pass: pass, startBy: startBy}, nil, nil
}

// placePatience is how long a request whose claim was granted waits for a place: when the sorters come back, many are
// granted at once, more than there are places, though each needs its place for milliseconds only.
const placePatience = 300 * monotonic.Millisecond

// enter takes a place at the backend. Only who has a claim waits for one.
func (gate *Gate) enter(admission localbackends.Admission, limit uint32, startBy monotonic.Micros) (*localbackends.Pass, *apierror.Fault) {
	place := gate.env.Place
	cutoff := min(startBy, place.Now()+placePatience)
	for {
		pass, fault := gate.env.Hutch.Place(admission, limit)
		if fault == nil || fault.Cause != apierror.Overloaded || !admission.Once || place.Now() >= cutoff {
			return pass, fault
		}
		place.Sleep(5 * monotonic.Millisecond)
	}
}
