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
	// CumulativeWeight is the sum of the weights of the services up to this one, itself included.
	CumulativeWeight uint64
}

// Route leads the requests of a host, method and path prefix to services. It's compiled from a configuration's route or from a
// path that a service has of its own.
//
// Invariants: Service is the split's first that has a weight, nil if none has; in Split CumulativeWeight never falls, and ends
// above zero unless Service is nil; Once and Single are never both set.
type Route struct {
	// Name is empty for a service's own path.
	Name string
	// Host is in canonical form, empty for any host.
	Host string
	// Method is "*" for any method.
	Method string
	Prefix string
	// Once is set for the class "once": a request runs at most once, and carries an idempotency key by which it may be retried.
	Once bool
	// Single is set for the class "single": a request runs at most once and has no key, so that it's retried only if it's certain
	// that it hasn't run.
	Single bool
	// Timeout is how long a request may take, zero to leave it to the service.
	Timeout monotonic.Micros
	// LatencyTarget is the time within which a response is wanted, zero if there is no target.
	LatencyTarget monotonic.Micros
	// Priority ranks requests for admission under load: the lowest number is admitted first.
	Priority uint32
	// MaxAttempts is the most attempts of a request, zero to leave it to the service.
	MaxAttempts uint32
	// Anonymous is set if requests need no tenant's key.
	Anonymous bool
	Service   *Service
	Split     []WeightedService
}

// PickService picks a service of the split in proportion to its weight, by a uniformly distributed random number.
func (r *Route) PickService(random uint64) *Service {
	if len(r.Split) < 2 {
		return r.Service
	}
	point := random % r.Split[len(r.Split)-1].CumulativeWeight
	index := sort.Search(len(r.Split), func(index int) bool { return r.Split[index].CumulativeWeight > point })
	return r.Split[index].Service
}

// FindService returns the service with a name, if it has a weight in the split.
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

// anyMethod matches every method; a route may also leave its method out.
const anyMethod = "*"

// methodOf returns a route's method, anyMethod if it is left out.
func methodOf(method string) string {
	if method == "" {
		return anyMethod
	}
	return method
}

// CanonicalHost returns a host in its canonical form: lower case, without a port and without a dot at its end.
func CanonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.Contains(host[colon:], "]") {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// pathRoute compiles a path that a service has of its own.
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

// compileRoute compiles a route of the configuration. Services that aren't known are left out. A route that has no known service
// with a weight has a nil Service: Validate rejects it, so that only a configuration that was accepted by a build which checked less
// can have it.
func compileRoute(route *wire.Route, services map[string]*Service) *Route {
	compiled := &Route{
		Name:          route.Name,
		Host:          route.Host,
		Method:        methodOf(route.Method),
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
