package config

import (
	"sort"
	"strings"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// WeightedService is one service of a route's split.
type WeightedService struct {
	Service *Service
	// CumulativeWeight is the sum of the weights of the services up to and including this one.
	CumulativeWeight uint64
}

// Route routes the requests for a host, method and path prefix to services. It's compiled from a route of the configuration or from
// a path that a service declares itself.
//
// Invariants: Service is the first service of the split with a weight above zero, nil if there is none; CumulativeWeight never decreases
// along Split, and its last value is above zero unless Service is nil; Once and Single are never both set.
type Route struct {
	// Name is empty for a path that a service declares itself.
	Name string
	// Host is in canonical form. It's empty for any host.
	Host string
	// Method is "*" for any method.
	Method string
	Prefix string
	// Once is set for the class "once": a request runs at most once, and carries an idempotency key so that it can be retried.
	Once bool
	// Single is set for the class "single": a request runs at most once and has no idempotency key, so it's retried only if it
	// certainly hasn't run.
	Single bool
	// Timeout is how long a request may take. Zero means the service's timeout.
	Timeout monotonic.Micros
	// LatencyTarget is the desired response time. Zero means that there is no target.
	LatencyTarget monotonic.Micros
	// Priority ranks requests for admission under load: the lowest number is admitted first.
	Priority uint32
	// MaxAttempts is the maximum number of attempts of a request. Zero means the service's maximum.
	MaxAttempts uint32
	// Anonymous is set if requests don't need a tenant's key.
	Anonymous bool
	Service   *Service
	Split     []WeightedService
}

// PickService picks a service of the split with a probability in proportion to its weight, given a uniformly distributed random number.
func (r *Route) PickService(random uint64) *Service {
	if len(r.Split) < 2 {
		return r.Service
	}
	point := random % r.Split[len(r.Split)-1].CumulativeWeight
	index := sort.Search(len(r.Split), func(index int) bool { return r.Split[index].CumulativeWeight > point })
	return r.Split[index].Service
}

// FindService returns the service with the given name if its weight in the split is above zero.
func (r *Route) FindService(service string) (*Service, bool) {
	previous := uint64(0)
	for _, share := range r.Split {
		if share.Service.Name == service && share.CumulativeWeight > previous {
			return share.Service, true
		}
		previous = share.CumulativeWeight
	}
	return nil, false
}

// routesToAny reports whether any of the named services is in the split.
func (r *Route) routesToAny(services map[string]bool) bool {
	for _, share := range r.Split {
		if services[share.Service.Name] {
			return true
		}
	}
	return false
}

// anyMethod matches every method, like an omitted method of a route.
const anyMethod = "*"

// methodOrAny returns a route's method, or anyMethod if it is omitted.
func methodOrAny(method string) string {
	if method == "" {
		return anyMethod
	}
	return method
}

// CanonicalHost returns a host in its canonical form: lower case, without a port and without a trailing dot.
func CanonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.Contains(host[colon:], "]") {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// pathRoute compiles a path that a service declares itself.
func pathRoute(path *wire.Path, service *Service) *Route {
	return &Route{
		Method:  path.Method,
		Prefix:  path.Prefix,
		Once:    path.Class == wire.Path_once,
		Single:  path.Class == wire.Path_single,
		Service: service,
		Split:   []WeightedService{{Service: service, CumulativeWeight: 1}},
	}
}

// compileRoute compiles a route of the configuration. Unknown services are omitted. Service is nil if no known service has a weight
// above zero. Validate rejects such a route, so it occurs only in a configuration that was accepted by a build with fewer checks.
func compileRoute(route *wire.Route, services map[string]*Service) *Route {
	compiled := &Route{
		Name:          route.Name,
		Host:          route.Host,
		Method:        methodOrAny(route.Method),
		Prefix:        route.Prefix,
		Once:          route.Class == wire.Path_once,
		Single:        route.Class == wire.Path_single,
		Timeout:       monotonic.Micros(route.GetCutoffMicros()),
		LatencyTarget: monotonic.Micros(route.GetAimMicros()),
		Priority:      route.GetPriority(),
		MaxAttempts:   route.GetMostTries(),
		Anonymous:     route.GetAnonymous(),
	}
	sum := uint64(0)
	for _, share := range route.Split {
		service := services[share.Service]
		if service == nil {
			continue
		}
		sum += uint64(share.Weight)
		if compiled.Service == nil && share.Weight > 0 {
			compiled.Service = service
		}
		compiled.Split = append(compiled.Split, WeightedService{Service: service, CumulativeWeight: sum})
	}
	return compiled
}
