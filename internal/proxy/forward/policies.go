package forward

import (
	"crypto/sha256"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
)

// Policy is one step that a request takes before it's carried. Leave is called for each policy entered, last first,
// once the request has its outcome.
type Policy interface {
	Name() string
	Enter(exchange *Exchange) *apierror.Fault
	Leave(exchange *Exchange)
}

// step makes a policy of functions.
type policyFuncs struct {
	name  string
	enter func(exchange *Exchange) *apierror.Fault
	leave func(exchange *Exchange)
}

func (p policyFuncs) Name() string                             { return p.name }
func (p policyFuncs) Enter(exchange *Exchange) *apierror.Fault { return p.enter(exchange) }
func (p policyFuncs) Leave(exchange *Exchange) {
	if p.leave != nil {
		p.leave(exchange)
	}
}

// Policies is the ordered table of the built-in policies. Others may be put before or behind them.
func (f *Forwarder) Policies() []Policy {
	return []Policy{
		policyFuncs{name: "drain", enter: f.rejectWhileDraining},
		policyFuncs{name: "resolve", enter: f.resolve},
		policyFuncs{name: "key", enter: f.requireIdempotencyKey},
		policyFuncs{name: "size", enter: f.limitBodySize},
		policyFuncs{name: "crowd", enter: f.limitInFlight, leave: f.releaseInFlight},
	}
}

func (f *Forwarder) rejectWhileDraining(exchange *Exchange) *apierror.Fault {
	if f.draining.Load() {
		return apierror.New(apierror.Draining, apierror.NotRun, "this carrier is stopping")
	}
	return nil
}

// resolve pins the trip to one view of the desired state.
func (f *Forwarder) resolve(exchange *Exchange) *apierror.Fault {
	snapshot, live := f.config.ConfigClient.Current()
	if snapshot == nil {
		return apierror.New(apierror.NotReady, apierror.NotRun, "no desired state is adopted yet")
	}
	if !live {
		return apierror.New(apierror.ConfigLeaseExpired, apierror.NotRun, "the tenure to serve by serial %d has ended", snapshot.Version)
	}
	route, found := snapshot.Resolve(exchange.Host, exchange.Method, exchange.Target.Path)
	if !found {
		return apierror.New(apierror.UnknownPath, apierror.NotRun, "no service has %s %s", exchange.Method, exchange.Target.Path)
	}
	exchange.Snapshot, exchange.Route, exchange.Service = snapshot, route, route.Service
	if len(route.Split) > 1 {
		exchange.Service = route.PickService(f.config.Host.Random())
	}
	exchange.RunOnce = runsOnce(route, exchange)
	exchange.AtMostOnce = route.Single && !exchange.RunOnce
	exchange.Deadline = exchange.StartedAt + monotonic.Micros(exchange.Service.Limits.GetCutoffMicros())
	if route.Timeout > 0 {
		exchange.Deadline = min(exchange.Deadline, exchange.StartedAt+route.Timeout)
	}
	if exchange.Request.Deadline > 0 {
		exchange.Deadline = min(exchange.Deadline, exchange.Request.Deadline)
	}
	return nil
}

// key asks a run-once request for its reference key and takes its digest.
func (f *Forwarder) requireIdempotencyKey(exchange *Exchange) *apierror.Fault {
	if !exchange.RunOnce {
		return nil
	}
	if exchange.Request.IdempotencyKey == "" || len(exchange.Request.IdempotencyKey) > 200 {
		return apierror.New(apierror.MissingKey, apierror.NotRun, "%s needs a reference key of at most 200 bytes in %s", exchange.Target.Path, request.IdempotencyKeyHeader)
	}
	sum := sha256.New()
	sum.Write([]byte(exchange.Method + " " + exchange.Target.Encoded + "\n"))
	sum.Write(exchange.Request.Body)
	exchange.Digest = sum.Sum(nil)
	return nil
}

func (f *Forwarder) limitBodySize(exchange *Exchange) *apierror.Fault {
	if limit := exchange.Service.Limits.GetBodyBytes(); uint64(len(exchange.Request.Body)) > limit {
		return apierror.New(apierror.BodyTooLarge, apierror.NotRun, "%d bytes, %s takes %d", len(exchange.Request.Body), exchange.Service.Name, limit)
	}
	return nil
}

// crowd refuses early what couldn't be served in time: more requests under way than all backends may have at once. Where
// each backend says how many slots it has, their gates know better.
func (f *Forwarder) limitInFlight(exchange *Exchange) *apierror.Fault {
	candidates := f.config.Session.Directory().Candidates[exchange.Service.Name]
	backends := len(candidates)
	if backends > 0 && allReportSlots(candidates) {
		f.inFlightCounter(exchange.Service.Name).Inc()
		return nil
	}
	limit := int64(max(1, backends)) * int64(exchange.Service.Limits.GetInFlightPerBackend())
	count := f.inFlightCounter(exchange.Service.Name)
	if count.Inc() > limit {
		count.Dec()
		return f.confirmVerdict(exchange, apierror.New(apierror.Overloaded, apierror.NotRun, "%d requests for %s are under way here", limit, exchange.Service.Name))
	}
	return nil
}

func (f *Forwarder) releaseInFlight(exchange *Exchange) {
	f.inFlightCounter(exchange.Service.Name).Dec()
}
