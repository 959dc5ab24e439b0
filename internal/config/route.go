package config

import (
	"sort"
	"strings"

	"snowflow/internal/config/shared"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
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
	Cutoff    monotonic.Micros
	Aim       monotonic.Micros
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

// prefixes are the paths of one host. Invariants: longest is no less than the length of the longest prefix; the paths by method at
// one prefix are never none, and never change once they are in a view.
type prefixes struct {
	paths   *shared.Map[map[string]*Path]
	longest int
}

// routing is the table of all paths, by host, prefix and method. It never changes once a view is made; its versions share the
// hosts, prefixes and paths in which they don't differ.
type routing struct{ hosts *shared.Map[*prefixes] }

// building is a table that is being filled, by host, prefix and method.
type building map[string]map[string]map[string]*Path

// add puts a path in; of two for the same requests the first stands.
func (building building) add(path *Path) {
	host := building[path.Host]
	if host == nil {
		host = map[string]map[string]*Path{}
		building[path.Host] = host
	}
	methods := host[path.Prefix]
	if methods == nil {
		methods = map[string]*Path{}
		host[path.Prefix] = methods
	}
	if _, twice := methods[path.Method]; !twice {
		methods[path.Method] = path
	}
}

func (building building) routing() routing {
	hosts := make(map[string]*prefixes, len(building))
	for name, paths := range building {
		host := &prefixes{paths: shared.Of(paths)}
		for prefix := range paths {
			host.longest = max(host.longest, len(prefix))
		}
		hosts[name] = host
	}
	return routing{hosts: shared.Of(hosts)}
}

// find looks up each beginning of a path that ends at a whole segment, the longest first: the path itself, then at each
// slash with and without it. At one prefix a named method stands before any.
func (host *prefixes) find(method, path string) *Path {
	if len(path) <= host.longest {
		if found := host.at(method, path); found != nil {
			return found
		}
	}
	beginning := path[:min(len(path), host.longest+1)]
	for slash := strings.LastIndexByte(beginning, '/'); slash >= 0; slash = strings.LastIndexByte(path[:slash], '/') {
		if found := host.at(method, path[:slash+1]); found != nil {
			return found
		}
		if found := host.at(method, path[:slash]); found != nil {
			return found
		}
	}
	return nil
}

func (host *prefixes) at(method, prefix string) *Path {
	methods, there := host.paths.Get(prefix)
	if !there {
		return nil
	}
	if found := methods[method]; found != nil {
		return found
	}
	return methods[anyMethod]
}

// Resolve finds the path for a request: among those of its host, then among those of any host, the longest prefix that ends
// at a whole segment, and at one prefix a named method before any. The host is in its one spelling.
func (view *View) Resolve(host, method, path string) (Path, bool) {
	found := view.Entry(host, method, path)
	if found == nil {
		return Path{}, false
	}
	return *found, found.Service != nil
}

// Entry is the view's own path for a request, the same one in every version that it's unchanged in, or nothing. Nobody may
// change it.
func (view *View) Entry(host, method, path string) *Path {
	for _, name := range [...]string{host, ""} {
		if present, there := view.routing.hosts.Get(name); there {
			if found := present.find(method, path); found != nil {
				return found
			}
		}
		if host == "" {
			break
		}
	}
	return nil
}

// ownPath makes the path that a service has of its own.
func ownPath(path *wire.Path, service *Service) *Path {
	return &Path{Method: path.Method, Prefix: path.Prefix, Once: path.Class == wire.Path_once, Single: path.Class == wire.Path_single,
		Service: service, Split: []Share{{Service: service, UpTo: 1}}}
}

// compile makes a route's path. One without any service that is known and has a weight leads nowhere; Check refuses it, so
// only a state that a build which checked less has accepted can have it.
func compileRoute(route *wire.Route, services map[string]*Service) *Path {
	path := &Path{Name: route.Name, Host: route.Host, Method: methodOf(route.Method), Prefix: route.Prefix, Once: route.Class == wire.Path_once,
		Single: route.Class == wire.Path_single, Cutoff: monotonic.Micros(route.GetCutoffMicros()), Aim: monotonic.Micros(route.GetAimMicros()),
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
