package admission

import (
	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/proxy/request"
	"snowflow/internal/transport/wire"
)

// peerScale is the denominator of the fractions about a backend's peers that a request carries.
const peerScale = 1000

// checkHealth asks the outlier detection whether a request may go to its backend, and begins an observation of the backend. A
// request of a caller without another backend to go to is always admitted.
func (c *Controller) checkHealth(req *wire.ForwardRequest) (*localbackends.Observation, *apierror.Fault) {
	peers := req.Peers
	return c.options.LocalBackends.Observe(req.Instance, outlier.RequestInfo{
		Domain:        req.Domain,
		Kind:          req.Route,
		LatencyTarget: monotonic.Micros(req.LatencyTarget),
		Idempotent:    !req.RunOnce && !req.AtMostOnce,
		NoAlternative: req.MayQueue,
		Peers: outlier.Peers{
			Known:        int(peers.GetKnown()),
			Ejected:      int(peers.GetEjected()),
			FaultRate:    float64(peers.GetFaultRate()) / peerScale,
			LatencyRatio: float64(peers.GetLatencyRatio()) / peerScale,
		},
	})
}

// load returns the load and health of a request's backend, for the sender's load balancer. It is nil for an unknown instance.
func (c *Controller) load(req *wire.ForwardRequest) *wire.Load {
	load := c.options.LocalBackends.Load(req.Instance, req.Route)
	c.options.LocalBackends.AddHealth(load, req.Instance, req.Domain, req.Route)
	return load
}

// neutralCauses are the causes of faults that say nothing of the backend: it was not asked, or the request had too little time.
// A backend that takes far longer than usual is found by its latency.
var neutralCauses = map[apierror.Cause]bool{
	apierror.ResponseTimeout:    true,
	apierror.ResponseTooLarge:   true,
	apierror.ResponseMismatch:   true,
	apierror.ClaimTimeout:       true,
	apierror.StoppedInFlight:    true,
	apierror.ConfigLeaseExpired: true,
	apierror.BackendLeaving:     true,
	apierror.BackendUnknown:     true,
}

// backendOutcome returns what the end of a request says of its backend. Server errors and requests that the backend rejected
// count like responses that it lost.
func backendOutcome(response *request.Response, fault *apierror.Fault) outlier.Outcome {
	switch {
	case fault != nil && (fault.Local || neutralCauses[fault.Cause]):
		return outlier.Unknown
	case fault != nil || response.NotRun || response.Status >= 500:
		return outlier.Failure
	}
	return outlier.Success
}

// finishedCauses are the causes of faults after which the backend has answered, though not as it should, and works no more.
var finishedCauses = map[apierror.Cause]bool{apierror.ResponseTooLarge: true, apierror.ResponseMismatch: true}

// slotOutcome returns what the end of a request says of its slot. Errors are no measure of the service time: what fails at once
// would look fast.
func slotOutcome(response *request.Response, fault *apierror.Fault) slots.Outcome {
	switch {
	case fault == nil && response.Status < 500:
		return slots.Completed
	case fault == nil || fault.NotRun() || finishedCauses[fault.Cause]:
		return slots.Released
	}
	return slots.Uncertain
}
