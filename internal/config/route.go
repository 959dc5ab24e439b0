package config

import (
	"sort"
	"strings"

	"snowflow/internal/config/shared"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// WeightedService is one service's part of a split.
type WeightedService struct {
	Service *Service
	// CumulativeWeight is the sum of the weights up to this service's own, which counts in.
	CumulativeWeight uint64
}

// Route is one entry of the table that requests are resolved by: a service's own path, or a route.
// Invariants: Service is the split's first with a weight; in Split CumulativeWeight never falls and ends above zero; Once and Single
// are never both set. Zero leaves Cutoff and MaxAttempts to the service.
type Route struct {
	Name   string // empty for a service's own path
	Host   string // empty for any
	Method string
	Prefix string
	// Once: it may run at most once, and brings a reference key that says so to everybody.
	Once bool
	// Single: it may run at most once, and has no key: it's never tried again unless it's certain that it has not run.
	Single        bool
	Timeout       monotonic.Micros
	LatencyTarget monotonic.Micros
	Priority      uint32
	MaxAttempts   uint32
	Service       *Service
	Split         []WeightedService
}

// PickService gives each service of the split in proportion to its weight.
func (r *Route) PickService(random uint64) *Service {
	if len(r.Split) < 2 {
		return r.Service
	}
	point := random % r.Split[len(r.Split)-1].CumulativeWeight
	return r.Split[sort.Search(len(r.Split), func(index int) bool { return r.Split[index].CumulativeWeight > point })].Service
}

// FindService tells whether a service has a weight in the split, and gives it.
func (r *Route) FindService(service string) (*Service, bool) {
	before := uint64(0)
	for _, share := range r.Split {
		if share.Service.Name == service && share.CumulativeWeight > before {
			return share.Service, true
		}
		before = share.CumulativeWeight
	}
	return nil, false
}

// anyMethod stands for every method; a route may also leave its method out.
const anyMethod = "*"

func methodOf(written string) string {
	if written == "" {
		return anyMethod
	}
	return written
}

// CanonicalHost gives a host its one spelling: small letters, without a port and without a dot at its end.
func CanonicalHost(sent string) string {
	host := sent
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.Contains(host[colon:], "]") {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// prefixes are the paths of one host. Invariants: longest is no less than the length of the longest prefix; the paths by method at
// one prefix are never none, and never change once they are in a view.
type hostRoutes struct {
	byPrefix        *shared.Map[map[string]*Route]
	maxPrefixLength int
}

// routing is the table of all paths, by host, prefix and method. It never changes once a view is made; its versions share the
// hosts, prefixes and paths in which they don't differ.
type routeTable struct{ hosts *shared.Map[*hostRoutes] }

// building is a table that is being filled, by host, prefix and method.
type tableBuilder map[string]map[string]map[string]*Route

// add puts a path in; of two for the same requests the first stands.
func (b tableBuilder) add(path *Route) {
	host := b[path.Host]
	if host == nil {
		host = map[string]map[string]*Route{}
		b[path.Host] = host
	}
	methods := host[path.Prefix]
	if methods == nil {
		methods = map[string]*Route{}
		host[path.Prefix] = methods
	}
	if _, duplicate := methods[path.Method]; !duplicate {
		methods[path.Method] = path
	}
}

func (b tableBuilder) build() routeTable {
	hosts := make(map[string]*hostRoutes, len(b))
	for name, paths := range b {
		host := &hostRoutes{byPrefix: shared.New(paths)}
		for prefix := range paths {
			host.maxPrefixLength = max(host.maxPrefixLength, len(prefix))
		}
		hosts[name] = host
	}
	return routeTable{hosts: shared.New(hosts)}
}

// find looks up each beginning of a path that ends at a whole segment, the longest first: the path itself, then at each
// slash with and without it. At one prefix a named method stands before any.
func (h *hostRoutes) match(method, path string) *Route {
	if len(path) <= h.maxPrefixLength {
		if found := h.lookup(method, path); found != nil {
			return found
		}
	}
	beginning := path[:min(len(path), h.maxPrefixLength+1)]
	for slash := strings.LastIndexByte(beginning, '/'); slash >= 0; slash = strings.LastIndexByte(path[:slash], '/') {
		if found := h.lookup(method, path[:slash+1]); found != nil {
			return found
		}
		if found := h.lookup(method, path[:slash]); found != nil {
			return found
		}
	}
	return nil
}

func (h *hostRoutes) lookup(method, prefix string) *Route {
	methods, found := h.byPrefix.Get(prefix)
	if !found {
		return nil
	}
	if found := methods[method]; found != nil {
		return found
	}
	return methods[anyMethod]
}

// Resolve finds the path for a request: among those of its host, then among those of any host, the longest prefix that ends
// at a whole segment, and at one prefix a named method before any. The host is in its one spelling.
func (s *Snapshot) Resolve(host, method, path string) (Route, bool) {
	found := s.Lookup(host, method, path)
	if found == nil {
		return Route{}, false
	}
	return *found, found.Service != nil
}

// Lookup is the view's own path for a request, the same one in every version that it's unchanged in, or nothing. Nobody may
// change it.
func (s *Snapshot) Lookup(host, method, path string) *Route {
	for _, name := range [...]string{host, ""} {
		if present, found := s.table.hosts.Get(name); found {
			if found := present.match(method, path); found != nil {
				return found
			}
		}
		if host == "" {
			break
		}
	}
	return nil
}

// pathRoute makes the path that a service has of its own.
func pathRoute(path *wire.Path, service *Service) *Route {
	return &Route{Method: path.Method, Prefix: path.Prefix, Once: path.Class == wire.Path_once, Single: path.Class == wire.Path_single,
		Service: service, Split: []WeightedService{{Service: service, CumulativeWeight: 1}}}
}

// compile makes a route's path. One without any service that is known and has a weight leads nowhere; Check refuses it, so
// only a state that a build which checked less has accepted can have it.
func compileRoute(route *wire.Route, services map[string]*Service) *Route {
	path := &Route{Name: route.Name, Host: route.Host, Method: methodOf(route.Method), Prefix: route.Prefix, Once: route.Class == wire.Path_once,
		Single: route.Class == wire.Path_single, Timeout: monotonic.Micros(route.GetCutoffMicros()), LatencyTarget: monotonic.Micros(route.GetAimMicros()),
		Priority: route.GetPriority(), MaxAttempts: route.GetMostTries()}
	sum := uint64(0)
	for _, share := range route.Split {
		service := services[share.Service]
		if service == nil {
			continue
		}
		if sum += uint64(share.Weight); path.Service == nil && share.Weight > 0 {
			path.Service = service
		}
		path.Split = append(path.Split, WeightedService{Service: service, CumulativeWeight: sum})
	}
	return path
}
