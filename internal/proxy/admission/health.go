package admission

import (
	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/proxy/request"
	"snowflow/internal/transport/wire"
)

// visit asks the backend's standing for a request. A caller that has no other backend to go to is let in always.
func (c *Controller) checkHealth(req *wire.ForwardRequest) (*localbackends.Observation, *apierror.Fault) {
	peers := req.Peers
	return c.options.LocalBackends.Observe(req.Instance, outlier.RequestInfo{Domain: req.Domain, Kind: req.Route, LatencyTarget: monotonic.Micros(req.LatencyTarget),
		Idempotent: !req.RunOnce && !req.AtMostOnce, NoAlternative: req.MayQueue,
		Peers: outlier.Peers{Known: int(peers.GetKnown()), Ejected: int(peers.GetEjected()), FaultRate: float64(peers.GetFaultRate()) / 1000, LatencyRatio: float64(peers.GetLatencyRatio()) / 1000}})
}

// load tells how the asked backend stands.
func (c *Controller) load(req *wire.ForwardRequest) *wire.Load {
	load := c.options.LocalBackends.Load(req.Instance, req.Route)
	c.options.LocalBackends.AddHealth(load, req.Instance, req.Domain, req.Route)
	return load
}

// silent are the causes of faults that say nothing of the backend: it was never asked, or the request had too little time; what
// takes far longer than usual is counted as it happens.
var neutralCauses = map[apierror.Cause]bool{apierror.ResponseTimeout: true, apierror.ResponseTooLarge: true, apierror.ResponseMismatch: true, apierror.ClaimTimeout: true,
	apierror.StoppedInFlight: true, apierror.ConfigLeaseExpired: true, apierror.BackendLeaving: true, apierror.BackendUnknown: true}

// worth is what a delivery's end says of its backend. Errors and requests it turned down count like answers it lost.
func backendOutcome(response *request.Response, fault *apierror.Fault) outlier.Outcome {
	switch {
	case fault != nil && (fault.Local || neutralCauses[fault.Cause]):
		return outlier.Unknown
	case fault != nil || response.NotRun || response.Status >= 500:
		return outlier.Failure
	}
	return outlier.Success
}
