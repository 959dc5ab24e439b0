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
type permit struct {
	*localbackends.Slot
	startBy monotonic.Micros
}

// breakerWaitShare is the part of the guard's wait in open, as a divisor, that a request may wait for a slot. It was let in
// while the guard was closed, and must not come to the backend in the trial that follows the wait.
const breakerWaitShare = 2

// stay gets a request its place, or the recorded answer of an earlier run. On a fault neither slot nor claim is left behind.
func (c *Controller) acquirePermit(req *wire.ForwardRequest, service *config.Service, deadline monotonic.Micros) (*permit, *request.Response, *apierror.Fault) {
	admission := localbackends.Request{Instance: req.Instance, Service: req.Service, Once: req.RunOnce,
		Request: slots.Request{Priority: req.Priority, LatencyTarget: c.options.LocalBackends.DeadlineAfter(req.LatencyTarget), Deadline: deadline, Patient: req.MayQueue, Kind: req.Route}}
	admission.StartBy = min(deadline, c.options.Host.Now()+monotonic.Micros(service.Breaker.GetWaitOpenMicros())/breakerWaitShare)
	needsClaim := req.RunOnce && !c.skipClaims
	if !c.options.LocalBackends.HasSlotCount(req.Instance) {
		return c.admitUncounted(req, admission, needsClaim, service.Limits.GetInFlightPerBackend())
	}
	slot, fault := c.options.LocalBackends.Admit(admission)
	if fault != nil || !needsClaim {
		return &permit{Slot: slot, startBy: deadline}, nil, fault
	}
	return c.claimWithSlot(req, admission, slot)
}

// claimSlotTimeout is how long a slot is held for a claim that isn't answered. It's well above what one takes.
const claimSlotTimeout = 100 * monotonic.Millisecond

// claimed claims while the slot is held: a claim takes one replicated write of some milliseconds, whereas a key claimed for
// a request that the queue then refuses costs a second such write to free it, and meanwhile nobody else may use
// it. When the sorters fail over claims take seconds; then the slot is given back and asked for again once the
// claim is there, or lookups would find every slot held by requests that can't start.
func (c *Controller) claimWithSlot(req *wire.ForwardRequest, admission localbackends.Request, slot *localbackends.Slot) (*permit, *request.Response, *apierror.Fault) {
	deadline := admission.Deadline
	mayBeGranted := false
	startBy, recorded, fault := c.claim(req, min(deadline, c.options.Host.Now()+claimSlotTimeout), deadline, &mayBeGranted, func() { slot.Release(slots.Released) })
	if fault == nil && recorded == nil {
		return &permit{Slot: slot, startBy: startBy}, nil, nil
	}
	slot.Release(slots.Released)
	if recorded != nil || fault.Cause != apierror.ClaimUnreachable || !fault.NotRun() {
		return nil, recorded, fault
	}
	if startBy, recorded, fault = c.claimUntilDeadline(req, deadline, mayBeGranted); fault != nil || recorded != nil {
		return nil, recorded, fault
	}
	admission.StartBy, admission.Patient = startBy, true
	if slot, fault = c.options.LocalBackends.Admit(admission); fault != nil {
		c.releaseClaim(req)
		return nil, nil, fault
	}
	return &permit{Slot: slot, startBy: startBy}, nil, nil
}

// settled claims until the cutoff; a claim that may have been granted unheard, now or before, is freed.
func (c *Controller) claimUntilDeadline(req *wire.ForwardRequest, deadline monotonic.Micros, mayBeGranted bool) (startBy monotonic.Micros, recorded *request.Response, fault *apierror.Fault) {
	startBy, recorded, fault = c.claim(req, deadline, deadline, &mayBeGranted, func() {})
	if fault != nil && fault.Cause == apierror.ClaimUnreachable && mayBeGranted {
		c.options.Host.Go(func() { c.releaseClaim(req) })
	}
	return startBy, recorded, fault
}

// placed is the way in to a backend of unknown slots. A claim may take long; no place is held meanwhile. Whom there is no place
// for now isn't claimed for.
func (c *Controller) admitUncounted(req *wire.ForwardRequest, admission localbackends.Request, needsClaim bool, limit uint32) (*permit, *request.Response, *apierror.Fault) {
	startBy := admission.Deadline
	if fault := c.options.LocalBackends.CheckCapacity(req.Instance, req.Service, limit, req.RunOnce); fault != nil {
		return nil, nil, fault
	}
	if needsClaim {
		var recorded *request.Response
		var fault *apierror.Fault
		if startBy, recorded, fault = c.claimUntilDeadline(req, startBy, false); fault != nil || recorded != nil {
			return nil, recorded, fault
		}
	}
	slot, fault := c.waitForUncountedSlot(admission, limit, startBy)
	if fault != nil {
		if req.RunOnce {
			c.releaseClaim(req)
		}
		return nil, nil, fault
	}
	return &permit{Slot: slot, startBy: startBy}, nil, nil
}

// uncountedSlotTimeout is how long a request whose claim was granted waits for a place: when the sorters come back, many are
// granted at once, more than there are places, though each needs its place for milliseconds only.
const uncountedSlotTimeout = 300 * monotonic.Millisecond

// enter takes a place at the backend. Only who has a claim waits for one.
func (c *Controller) waitForUncountedSlot(admission localbackends.Request, limit uint32, startBy monotonic.Micros) (*localbackends.Slot, *apierror.Fault) {
	h := c.options.Host
	deadline := min(startBy, h.Now()+uncountedSlotTimeout)
	for {
		slot, fault := c.options.LocalBackends.AdmitUncounted(admission, limit)
		if fault == nil || fault.Cause != apierror.Overloaded || !admission.Once || h.Now() >= deadline {
			return slot, fault
		}
		h.Sleep(5 * monotonic.Millisecond)
	}
}
