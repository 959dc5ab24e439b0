package forward

import (
	"net/http"

	"snowflow/internal/config"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/cancellation"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/retry"
	"snowflow/internal/proxy/shutdown"
	"snowflow/internal/resourcepath"
)

// Exchange is the state of one request while it is forwarded. Only the task that forwards the request uses it.
//
// Invariants: Host, Method and Target are those of the request, in canonical form. Snapshot, Route, Service and Deadline are set by
// the resolve policy; afterwards only resolveAgain changes the first three. RunOnce and AtMostOnce don't change after the resolve
// policy and are never both true. Service is one of the services that Route is split over.
type Exchange struct {
	Request   *request.Request
	Host      string
	Method    string
	Target    resourcepath.RequestTarget
	StartedAt monotonic.Micros
	Deadline  monotonic.Micros // on the clock of this process
	Snapshot  *config.Snapshot // nil until resolved
	Route     config.Route
	Service   *config.Service // nil until resolved
	Tenant    *config.Tenant  // the tenant whose key the request carries; nil if it needs none
	// RunOnce is true if the request runs once per idempotency key; the backend's proxy claims the key at the registry.
	RunOnce bool
	// AtMostOnce is true if the request may run at most once and has no claim. It is retried only if it certainly hasn't run.
	AtMostOnce bool
	// IdempotencyScope identifies what may run only once: the key together with its resource and tenant. It is empty if the
	// request has no key.
	IdempotencyScope string
	// FormerScope is the scope under which builds without support for tenants claim the key; empty if it's the same.
	FormerScope string
	// Digest is the hash of a RunOnce request, nil for others.
	Digest []byte
	// Attempts is the number of attempts so far, without redispatches.
	Attempts int
	// MayHaveRun is set once any attempt may have run. From then on no fault of the request may have the verdict NotRun.
	MayHaveRun bool

	// authenticatedBy is the snapshot against which the tenant key was last checked.
	authenticatedBy *config.Snapshot
	task            *shutdown.Task
	retries         retry.State
	cancellation    *cancellation.Tracker
}

// maxAttempts returns the route's limit of attempts if it has one, else the service's.
func (e *Exchange) maxAttempts() int {
	if e.Route.MaxAttempts > 0 {
		return int(e.Route.MaxAttempts)
	}
	return int(e.Service.Retry.GetMostTries())
}

// remainingLatencyTarget returns what is left of the route's latency target in microseconds, at least 1; 0 if the route has none.
func (e *Exchange) remainingLatencyTarget(now monotonic.Micros) int64 {
	if e.Route.LatencyTarget == 0 {
		return 0
	}
	return int64(max(1, e.Route.LatencyTarget-(now-e.StartedAt)))
}

// mayRepeat reports whether the request may run more than once, so that it may be sent again even if it may have run.
func (e *Exchange) mayRepeat() bool { return !e.RunOnce && !e.AtMostOnce }

// idempotencyScope returns the scope of the request's key: the resource, in canonical spelling, and the key. The service isn't part of
// it, because a key must not run twice even if a new configuration routes its path to another service. The scope is determined
// before the route is resolved, so that every verdict can apply to the key.
func idempotencyScope(exchange *Exchange) string {
	if exchange.Request.IdempotencyKey == "" {
		return ""
	}
	if exchange.Request.IdempotencyScope != "" {
		return exchange.Request.IdempotencyScope
	}
	return resourcepath.TrimTrailingSlash(exchange.Target.Path) + "\n" + exchange.Request.IdempotencyKey
}

// safeMethods are the safe methods (RFC 9110, section 9.2.1) that the mesh forwards. They change nothing.
var safeMethods = map[string]bool{http.MethodGet: true, http.MethodHead: true}

// runsOnce reports whether a request runs once per key. That is the case on a route of the class "once", and on any route if the request
// has a key and its method isn't safe. Otherwise a key that ran under one configuration could run again under another
// one in which the route has a different class.
func runsOnce(route config.Route, exchange *Exchange) bool {
	return route.Once || exchange.Request.IdempotencyKey != "" && !safeMethods[exchange.Method]
}
