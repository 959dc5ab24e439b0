package forward

import (
	"crypto/sha256"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/loadbalancer"
	"snowflow/internal/proxy/request"
)

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 200

// policy is a step that each request passes before it is forwarded.
type policy struct {
	// enter prepares the exchange, or rejects it with a fault.
	enter func(exchange *Exchange) *apierror.Error
	// leave is called once the request has its outcome, for each policy that it has entered, in reverse order. It may be nil.
	leave func(exchange *Exchange)
}

// orderedPolicies returns the policies in the order in which requests pass them.
func (f *Forwarder) orderedPolicies() []policy {
	return []policy{
		{enter: f.rejectWhileDraining},
		{enter: f.resolve},
		{enter: f.authenticate},
		{enter: requireIdempotencyKey},
		{enter: limitBodySize},
		{enter: f.limitInFlight, leave: f.releaseInFlight},
	}
}

func (f *Forwarder) rejectWhileDraining(*Exchange) *apierror.Error {
	if f.draining.Load() {
		return apierror.New(apierror.Draining, apierror.NotRun, "this proxy is stopping")
	}
	return nil
}

// resolve pins the exchange to the current configuration snapshot, and sets its route, service and deadline from it.
func (f *Forwarder) resolve(exchange *Exchange) *apierror.Error {
	snapshot, leaseValid := f.config.ConfigClient.Current()
	if snapshot == nil {
		return apierror.New(apierror.NotReady, apierror.NotRun, "no configuration is adopted yet")
	}
	if !leaseValid {
		return configLeaseExpired(snapshot)
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
	exchange.Deadline = exchange.deadline()
	return nil
}

func configLeaseExpired(snapshot *config.Snapshot) *apierror.Error {
	return apierror.New(apierror.ConfigLeaseExpired, apierror.NotRun,
		"the lease on configuration version %d has expired", snapshot.Version)
}

// deadline returns the earliest of the deadlines of the service, the route and the request.
func (e *Exchange) deadline() monotonic.Micros {
	deadline := e.StartedAt + monotonic.Micros(e.Service.Limits.GetCutoffMicros())
	if e.Route.Timeout > 0 {
		deadline = min(deadline, e.StartedAt+e.Route.Timeout)
	}
	if e.Request.Deadline > 0 {
		deadline = min(deadline, e.Request.Deadline)
	}
	return deadline
}

// requireIdempotencyKey rejects a RunOnce request without a valid key, and sets its digest.
func requireIdempotencyKey(exchange *Exchange) *apierror.Error {
	if !exchange.RunOnce {
		return nil
	}
	if exchange.Request.IdempotencyKey == "" || len(exchange.Request.IdempotencyKey) > maxIdempotencyKeyBytes {
		return apierror.New(apierror.MissingKey, apierror.NotRun,
			"%s needs a reference key of at most %d bytes in %s", exchange.Target.Path, maxIdempotencyKeyBytes, request.IdempotencyKeyHeader)
	}
	sum := sha256.New()
	sum.Write([]byte(exchange.Method + " " + exchange.Target.Encoded + "\n"))
	sum.Write(exchange.Request.Body)
	exchange.Digest = sum.Sum(nil)
	return nil
}

func limitBodySize(exchange *Exchange) *apierror.Error {
	if limit := exchange.Service.Limits.GetBodyBytes(); uint64(len(exchange.Request.Body)) > limit {
		return apierror.New(apierror.BodyTooLarge, apierror.NotRun,
			"the body has %d bytes, and %s accepts at most %d", len(exchange.Request.Body), exchange.Service.Name, limit)
	}
	return nil
}

// limitInFlight rejects a request if as many are in flight as all backends may have at once: it couldn't be served in time. It sets
// no limit if every backend reports its slots, since the backends' proxies then limit the requests by these.
func (f *Forwarder) limitInFlight(exchange *Exchange) *apierror.Error {
	service := exchange.Service
	candidates := f.config.Session.Directory().Candidates[service.Name]
	if len(candidates) > 0 && loadbalancer.AllReportSlots(candidates) {
		f.services.increment(service.Name)
		return nil
	}
	limit := int64(max(1, len(candidates))) * int64(service.Limits.GetInFlightPerBackend())
	if !f.services.tryIncrement(service.Name, limit) {
		return apierror.New(apierror.Overloaded, apierror.NotRun, "%d requests for %s are already in flight at this proxy", limit, service.Name)
	}
	return nil
}

func (f *Forwarder) releaseInFlight(exchange *Exchange) { f.services.decrement(exchange.Service.Name) }
