package franking

import (
	"sort"
	"strings"

	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
)

// Share is one service's part of a split.
type Share struct {
	Service *Service
	// UpTo is the sum of the weights up to this service's own, which counts in.
	UpTo uint64
}

// Path is one entry of the table that requests are resolved by: a service's own path, or a route.
// Invariants: Service is the split's first with a weight; in Split UpTo never falls and ends above zero; Once and Single
// are never both set. Zero leaves Cutoff and MostTries to the service.
type Path struct {
	Name   string // empty for a service's own path
	Host   string // empty for any
	Method string
	Prefix string
	// Once: it may run at most once, and brings a reference key that says so to everybody.
	Once bool
	// Single: it may run at most once, and has no key: it's never tried again unless it's certain that it has not run.
	Single    bool
	Cutoff    postmark.Micros
	Aim       postmark.Micros
	Priority  uint32
	MostTries uint32
	Service   *Service
	Split     []Share
}

// Pick gives each service of the split in proportion to its weight.
func (path *Path) Pick(random uint64) *Service {
	if len(path.Split) < 2 {
		return path.Service
	}
	point := random % path.Split[len(path.Split)-1].UpTo
	return path.Split[sort.Search(len(path.Split), func(index int) bool { return path.Split[index].UpTo > point })].Service
}

// Has tells whether a service has a weight in the split, and gives it.
func (path *Path) Has(service string) (*Service, bool) {
	before := uint64(0)
	for _, share := range path.Split {
		if share.Service.Name == service && share.UpTo > before {
			return share.Service, true
		}
		before = share.UpTo
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

// Host gives a host its one spelling: small letters, without a port and without a dot at its end.
func Host(sent string) string {
	host := sent
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.Contains(host[colon:], "]") {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// prefixes are the paths of one host. Invariant: longest is the length of the longest prefix.
type prefixes struct {
	paths   map[string]map[string]Path // by prefix, then by method
	longest int
}

// routing is the table of all paths by host. It never changes once a view is made.
type routing map[string]*prefixes

// add puts a path in; of two for the same requests the first stands.
func (routing routing) add(path Path) {
	host := routing[path.Host]
	if host == nil {
		host = &prefixes{paths: map[string]map[string]Path{}}
		routing[path.Host] = host
	}
	methods := host.paths[path.Prefix]
	if methods == nil {
		methods = map[string]Path{}
		host.paths[path.Prefix] = methods
	}
	if _, twice := methods[path.Method]; !twice {
		methods[path.Method] = path
	}
	host.longest = max(host.longest, len(path.Prefix))
}

// find looks up each beginning of a path that ends at a whole segment, the longest first: the path itself, then at each
// slash with and without it. At one prefix a named method stands before any.
func (host *prefixes) find(method, path string) (Path, bool) {
	if len(path) <= host.longest {
		if found, is := host.at(method, path); is {
			return found, true
		}
	}
	beginning := path[:min(len(path), host.longest+1)]
	for slash := strings.LastIndexByte(beginning, '/'); slash >= 0; slash = strings.LastIndexByte(path[:slash], '/') {
		if found, is := host.at(method, path[:slash+1]); is {
			return found, true
		}
		if found, is := host.at(method, path[:slash]); is {
			return found, true
		}
	}
	return Path{}, false
}

func (host *prefixes) at(method, prefix string) (Path, bool) {
	methods := host.paths[prefix]
	if methods == nil {
		return Path{}, false
	}
	found, is := methods[method]
	if !is {
		found, is = methods[anyMethod]
	}
	return found, is
}

// Resolve finds the path for a request: among those of its host, then among those of any host, the longest prefix that ends
// at a whole segment, and at one prefix a named method before any. The host is in its one spelling.
func (view *View) Resolve(host, method, path string) (Path, bool) {
	for _, name := range [...]string{host, ""} {
		if present := view.routing[name]; present != nil {
			if found, is := present.find(method, path); is {
				return found, found.Service != nil
			}
		}
		if host == "" {
			break
		}
	}
	return Path{}, false
}

// compile makes a route's path. One without any service that is known and has a weight leads nowhere; Check refuses it, so
// only a state that a build which checked less has accepted can have it.
func compileRoute(route *wire.Route, services map[string]*Service) Path {
	path := Path{Name: route.Name, Host: route.Host, Method: methodOf(route.Method), Prefix: route.Prefix, Once: route.Class == wire.Path_once,
		Single: route.Class == wire.Path_single, Cutoff: postmark.Micros(route.GetCutoffMicros()), Aim: postmark.Micros(route.GetAimMicros()),
		Priority: route.GetPriority(), MostTries: route.GetMostTries()}
	sum := uint64(0)
	for _, share := range route.Split {
		service := services[share.Service]
		if service == nil {
			continue
		}
		if sum += uint64(share.Weight); path.Service == nil && share.Weight > 0 {
			path.Service = service
		}
		path.Split = append(path.Split, Share{Service: service, UpTo: sum})
	}
	return path
}
