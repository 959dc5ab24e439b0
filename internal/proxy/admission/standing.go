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
func (gate *Gate) visit(ask *wire.ForwardRequest) (*localbackends.Visit, *apierror.Fault) {
	peers := ask.Peers
	return gate.env.Hutch.Visit(ask.Instance, outlier.RequestInfo{Domain: ask.Domain, Kind: ask.Route, LatencyTarget: monotonic.Micros(ask.LatencyTarget),
		Idempotent: !ask.RunOnce && !ask.AtMostOnce, NoAlternative: ask.MayQueue,
		Peers: outlier.Peers{Known: int(peers.GetKnown()), Ejected: int(peers.GetEjected()), FaultRate: float64(peers.GetFaultRate()) / 1000, LatencyRatio: float64(peers.GetLatencyRatio()) / 1000}})
}

// load tells how the asked backend stands.
func (gate *Gate) load(ask *wire.ForwardRequest) *wire.Load {
	load := gate.env.Hutch.Load(ask.Instance, ask.Route)
	gate.env.Hutch.Stand(load, ask.Instance, ask.Domain, ask.Route)
	return load
}

// silent are the causes of faults that say nothing of the backend: it was never asked, or the request had too little time; what
// takes far longer than usual is counted as it happens.
var silent = map[apierror.Cause]bool{apierror.ResponseTimeout: true, apierror.ResponseTooLarge: true, apierror.ResponseMismatch: true, apierror.ClaimTimeout: true,
	apierror.StoppedInFlight: true, apierror.ConfigLeaseExpired: true, apierror.BackendLeaving: true, apierror.BackendUnknown: true}

// worth is what a delivery's end says of its backend. Errors and requests it turned down count like answers it lost.
func worth(answer *request.Response, fault *apierror.Fault) outlier.Outcome {
	switch {
	case fault != nil && (fault.Local || silent[fault.Cause]):
		return outlier.Unknown
	case fault != nil || answer.NotRun || answer.Status >= 500:
		return outlier.Failure
	}
	return outlier.Success
}
