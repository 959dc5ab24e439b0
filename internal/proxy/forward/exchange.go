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

// Exchange is one request on its way through the forwarder. It belongs to the task that forwards the request.
//
// Invariants: Host, Method and Target are the request's in canonical form. Snapshot, Route, Service and Deadline are set by the
// resolve policy; only resolveAgain changes the first three. RunOnce and AtMostOnce don't change once resolved and are
// never both true. Service is one of those that Route is split over.
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
	Tenant    *config.Tenant  // whose key the request bears; nil if it needs none
	// RunOnce is true if the request runs once per idempotency key, which a backend's proxy claims from the registry.
	RunOnce bool
	// AtMostOnce is true if the request may run at most once and has no claim. It is retried only if it has certainly not run.
	AtMostOnce bool
	// IdempotencyScope names what may run once; empty if the request has no key.
	IdempotencyScope string
	// FormerScope is the scope by which a build that doesn't know tenants claims the key; empty if it's the same.
	FormerScope string
	// Digest is the hash of a RunOnce request, nil for others.
	Digest []byte
	// Attempts is the number of attempts so far. Redispatches don't count.
	Attempts int
	// MayHaveRun is set once some attempt may have run. From then on no fault may have the verdict NotRun.
	MayHaveRun bool

	// authenticatedBy is the version by which the tenant's key was judged last.
	authenticatedBy *config.Snapshot
	task            *shutdown.Task
	retries         retry.State
	cancellation    *cancellation.Tracker
}

// maxAttempts is the route's own limit if it has one, else the service's.
func (e *Exchange) maxAttempts() int {
	if e.Route.MaxAttempts > 0 {
		return int(e.Route.MaxAttempts)
	}
	return int(e.Service.Retry.GetMostTries())
}

// remainingLatencyTarget is the rest of the route's latency target in microseconds, at least 1; 0 if the route has none.
func (e *Exchange) remainingLatencyTarget(now monotonic.Micros) int64 {
	if e.Route.LatencyTarget == 0 {
		return 0
	}
	return int64(max(1, e.Route.LatencyTarget-(now-e.StartedAt)))
}

// mayRepeat reports whether a request that may have run may still be sent again: it may run more than once.
func (e *Exchange) mayRepeat() bool { return !e.RunOnce && !e.AtMostOnce }

// idempotencyScope names what may run once: a key at a resource, in whatever way that is spelled. The service isn't part of
// it: a key must not run twice even if a new configuration sends its path to another service. The scope is known before the
// route is resolved, so that every verdict can be one on the key.
func idempotencyScope(exchange *Exchange) string {
	if exchange.Request.IdempotencyKey == "" {
		return ""
	}
	if exchange.Request.IdempotencyScope != "" {
		return exchange.Request.IdempotencyScope
	}
	return resourcepath.TrimTrailingSlash(exchange.Target.Path) + "\n" + exchange.Request.IdempotencyKey
}

// safeMethods are those of the safe methods (RFC 9110, section 9.2.1), which change nothing, that the mesh forwards.
var safeMethods = map[string]bool{http.MethodGet: true, http.MethodHead: true}

// runsOnce reports whether a request may run only once: on a route of that class, and on any route if it has a key and its
// method may change something. The latter prevents a key that ran under one configuration from running again under another one
// in which the route isn't of that class.
func runsOnce(route config.Route, exchange *Exchange) bool {
	return route.Once || exchange.Request.IdempotencyKey != "" && !safeMethods[exchange.Method]
}
