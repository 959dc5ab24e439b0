package admission

import (
	"net/http"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/proxy/request"
	"snowflow/internal/transport/wire"
)

// peerRatioScale is the denominator of the peers' fault rate and latency ratio, which a request carries as whole numbers.
const peerRatioScale = 1000

// checkHealth rejects a request if outlier detection has ejected its backend. Otherwise it returns an observation, to which the
// outcome of the request must be reported. A request without an alternative backend is always admitted.
func (c *Controller) checkHealth(req *wire.ForwardRequest) (*localbackends.Observation, *apierror.Error) {
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
			FaultRate:    float64(peers.GetFaultRate()) / peerRatioScale,
			LatencyRatio: float64(peers.GetLatencyRatio()) / peerRatioScale,
		},
	})
}

// load returns the load and health of a request's backend, for the sender's load balancer, or nil for an unknown instance.
func (c *Controller) load(req *wire.ForwardRequest) *wire.Load {
	load := c.options.LocalBackends.Load(req.Instance, req.Route)
	c.options.LocalBackends.AddHealth(load, req.Instance, req.Domain, req.Route)
	return load
}

// neutralCauses are the causes of faults that say nothing about the backend's health: the backend was not called, the request had
// too little time left, or the response was too large or not for this request. A backend that takes far longer than usual is
// detected by its latency.
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

// backendOutcome classifies the end of a request for outlier detection. Server errors (status 500 and above) and requests that
// the backend did not execute count as failures, as lost responses do.
func backendOutcome(response *request.Response, fault *apierror.Error) outlier.Outcome {
	switch {
	case fault != nil && (fault.HealthNeutral || neutralCauses[fault.Cause]):
		return outlier.Unknown
	case fault != nil || response.NotRun || response.Status >= http.StatusInternalServerError:
		return outlier.Failure
	}
	return outlier.Success
}

// finishedCauses are the causes of faults after which the backend no longer works on the request: it has sent a response, but one
// that can't be used.
var finishedCauses = map[apierror.Cause]bool{apierror.ResponseTooLarge: true, apierror.ResponseMismatch: true}

// slotOutcome classifies the end of a request for its slot. Failed requests are not samples of the service time, since a backend
// that fails at once would look fast.
func slotOutcome(response *request.Response, fault *apierror.Error) slots.Outcome {
	switch {
	case fault == nil && response.Status < http.StatusInternalServerError:
		return slots.Completed
	case fault == nil || fault.NotRun() || finishedCauses[fault.Cause]:
		return slots.Released
	}
	return slots.Uncertain
}
