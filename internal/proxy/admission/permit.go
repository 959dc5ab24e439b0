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

const (
	// breakerWaitDivisor bounds the wait for a slot to the time for which the circuit breaker stays open, divided by this. A request
	// that was admitted while the breaker was closed must not reach the backend among the probes that follow the open state.
	breakerWaitDivisor = 2
	// claimSlotTimeout is how long a request keeps its slot while its claim is not answered. Claims usually take much less time.
	claimSlotTimeout = 100 * monotonic.Millisecond
	// uncountedSlotTimeout is how long a request with a granted claim waits for a slot at a backend that does not report its number
	// of slots. After an outage of the registry more claims are granted at once than there are slots, but each request needs its
	// slot only for some milliseconds.
	uncountedSlotTimeout = 300 * monotonic.Millisecond
	// uncountedSlotRetry is the pause between two attempts to get such a slot.
	uncountedSlotRetry = 5 * monotonic.Millisecond
)

// permit allows a request to be sent to its backend: it holds a slot and, for a run-once request, stands for a granted claim.
type permit struct {
	*localbackends.Slot
	startBy monotonic.Micros // the time by which the request must start, on this process's clock
}

// acquirePermit returns a permit for a request, or the recorded response of an earlier attempt. If it returns a fault, neither a
// slot nor a claim is held.
func (c *Controller) acquirePermit(
	req *wire.ForwardRequest, service *config.Service, deadline monotonic.Micros,
) (*permit, *request.Response, *apierror.Error) {
	now := c.options.Host.Now()
	latencyTarget := monotonic.Micros(0) // unknown
	if req.LatencyTarget > 0 {
		latencyTarget = now + monotonic.Micros(req.LatencyTarget)
	}
	slotRequest := localbackends.Request{
		Instance: req.Instance,
		Service:  req.Service,
		RunOnce:  req.RunOnce,
		Request: slots.Request{
			Priority:      req.Priority,
			Tenant:        req.Tenant,
			LatencyTarget: latencyTarget,
			Deadline:      deadline,
			StartBy:       min(deadline, now+monotonic.Micros(service.Breaker.GetWaitOpenMicros())/breakerWaitDivisor),
			NoAlternative: req.MayQueue,
			Kind:          req.Route,
		},
	}
	needsClaim := req.RunOnce && !c.skipClaims
	if !c.options.LocalBackends.HasSlotCount(req.Instance) {
		return c.admitUncounted(req, slotRequest, needsClaim, service.Limits.GetInFlightPerBackend())
	}
	slot, fault := c.options.LocalBackends.Admit(slotRequest)
	if fault != nil || !needsClaim {
		return &permit{Slot: slot, startBy: deadline}, nil, fault
	}
	return c.claimWithSlot(req, slotRequest, slot)
}

// claimWithSlot claims the key while the request holds a slot. A claim is one replicated write, which takes some milliseconds. In
// the opposite order, a key whose request the queue then rejects would cost a second write to release the claim, and would block
// all other attempts meanwhile. During a failover of the registry, claims take seconds. The slot is then released, so that requests
// that can't start don't occupy all slots, and requested again once the claim is granted.
func (c *Controller) claimWithSlot(
	req *wire.ForwardRequest, slotRequest localbackends.Request, slot *localbackends.Slot,
) (*permit, *request.Response, *apierror.Error) {
	deadline := slotRequest.Deadline
	release := func() { slot.Release(slots.Released) }
	claim := c.claim(req, min(deadline, c.options.Host.Now()+claimSlotTimeout), deadline, release)
	if claim.granted() {
		return &permit{Slot: slot, startBy: claim.startBy}, nil, nil
	}
	release()
	if claim.recorded != nil || claim.fault.Cause != apierror.ClaimUnreachable || !claim.fault.NotRun() {
		return nil, claim.recorded, claim.fault
	}
	claim = c.claimUntilDeadline(req, deadline, claim.mayBeGranted)
	if !claim.granted() {
		return nil, claim.recorded, claim.fault
	}
	slotRequest.StartBy, slotRequest.NoAlternative = claim.startBy, true
	slot, fault := c.options.LocalBackends.Admit(slotRequest)
	if fault != nil {
		c.releaseClaim(req)
		return nil, nil, fault
	}
	return &permit{Slot: slot, startBy: claim.startBy}, nil, nil
}

// admitUncounted acquires a permit at a backend that does not report its number of slots; limit bounds the requests in flight
// there. A claim may take long, so the slot is taken after it. A request that would not get a slot now is rejected without a claim.
func (c *Controller) admitUncounted(
	req *wire.ForwardRequest, slotRequest localbackends.Request, needsClaim bool, limit uint32,
) (*permit, *request.Response, *apierror.Error) {
	if fault := c.options.LocalBackends.CheckCapacity(req.Instance, req.Service, limit, req.RunOnce); fault != nil {
		return nil, nil, fault
	}
	startBy := slotRequest.Deadline
	if needsClaim {
		claim := c.claimUntilDeadline(req, slotRequest.Deadline, false)
		if !claim.granted() {
			return nil, claim.recorded, claim.fault
		}
		startBy = claim.startBy
	}
	slot, fault := c.waitForUncountedSlot(slotRequest, limit, startBy)
	if fault != nil {
		if req.RunOnce {
			c.releaseClaim(req)
		}
		return nil, nil, fault
	}
	return &permit{Slot: slot, startBy: startBy}, nil, nil
}

// waitForUncountedSlot takes a slot at a backend that does not report its number of slots. Only a run-once request, which already
// holds its claim, waits for a slot.
func (c *Controller) waitForUncountedSlot(
	slotRequest localbackends.Request, limit uint32, startBy monotonic.Micros,
) (*localbackends.Slot, *apierror.Error) {
	h := c.options.Host
	deadline := min(startBy, h.Now()+uncountedSlotTimeout)
	for {
		slot, fault := c.options.LocalBackends.AdmitUncounted(slotRequest, limit)
		if fault == nil || fault.Cause != apierror.Overloaded || !slotRequest.RunOnce || h.Now() >= deadline {
			return slot, fault
		}
		h.Sleep(uncountedSlotRetry)
	}
}
