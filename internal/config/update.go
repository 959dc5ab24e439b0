package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
)

// Change is what turns a view into the next one. Gone are the paths and routes that the next one has no more, and the former
// forms of those that changed.
type Change struct {
	Services        []*wire.ServiceInForce // added or changed
	RemovedServices []string
	Paths           []*wire.ServicePath // added or changed
	RemovedPaths    []*wire.ServicePath
	Routes          []*wire.Route // added or changed
	RemovedRoutes   []*wire.Route
}

// place is where a path stands in the table.
type matchKey struct{ host, prefix, method string }

// With is the view after a change. Services, paths, routes and hosts that it doesn't touch are the same objects; a path or a
// route whose service has changed gets a new entry. An error tells that the change doesn't fit this view, which stays as it is.
func (s *Snapshot) With(change *Change, version uint64, digest string) (*Snapshot, error) {
	next := &Snapshot{Version: version, Digest: digest, Services: s.Services}
	changed := map[string]bool{}
	if len(change.Services)+len(change.RemovedServices) > 0 {
		next.Services = maps.Clone(s.Services)
	}
	for _, name := range change.RemovedServices {
		if next.Services[name] == nil {
			return nil, fmt.Errorf("service %q is to be removed and isn't there", name)
		}
		delete(next.Services, name)
		changed[name] = true
	}
	for _, service := range change.Services {
		changed[service.Name] = changed[service.Name] || s.Services[service.Name] != nil
		next.Services[service.Name] = &Service{Name: service.Name, Group: service.Group, Breaker: service.Guard, Retry: service.Retry, Limits: service.Limits}
	}
	updates := map[matchKey]*Route{}
	if err := s.removeEntries(change, updates); err != nil {
		return nil, err
	}
	if len(changed) > 0 {
		if err := s.relinkServices(next.Services, changed, updates); err != nil {
			return nil, err
		}
	}
	if err := s.addEntries(change, next.Services, updates); err != nil {
		return nil, err
	}
	next.table = s.table.withUpdates(updates)
	return next, nil
}

// leave notes the places that are given up.
func (s *Snapshot) removeEntries(change *Change, updates map[matchKey]*Route) error {
	for _, path := range change.RemovedPaths {
		at := matchKey{"", path.Path.Prefix, path.Path.Method}
		if found := s.table.lookup(at); found == nil || found.Name != "" || found.Service.Name != path.Service {
			return fmt.Errorf("path %s %s of %s is to go and isn't there", at.method, at.prefix, path.Service)
		}
		updates[at] = nil
	}
	for _, route := range change.RemovedRoutes {
		at := matchKey{route.Host, route.Prefix, methodOf(route.Method)}
		if found := s.table.lookup(at); found == nil || found.Name != route.Name {
			return fmt.Errorf("route %q is to go and isn't there", route.Name)
		}
		updates[at] = nil
	}
	return nil
}

// repoint gives all paths that stay and lead to a changed service a new entry with that service.
func (s *Snapshot) relinkServices(services map[string]*Service, changed map[string]bool, updates map[matchKey]*Route) error {
	for host, prefixes := range s.table.hosts.All {
		for prefix, methods := range prefixes.byPrefix.All {
			for method, path := range methods {
				at := matchKey{host, prefix, method}
				if _, updated := updates[at]; updated || !path.routesToAny(changed) {
					continue
				}
				updatedRoute := *path
				updatedRoute.Split = make([]WeightedService, len(path.Split))
				for index, share := range path.Split {
					service := services[share.Service.Name]
					if service == nil {
						return fmt.Errorf("service %q is removed, and %s %s%s leads to it", share.Service.Name, method, host, prefix)
					}
					updatedRoute.Split[index] = WeightedService{Service: service, CumulativeWeight: share.CumulativeWeight}
				}
				updatedRoute.Service = services[path.Service.Name]
				updates[at] = &updatedRoute
			}
		}
	}
	return nil
}

func (r *Route) routesToAny(services map[string]bool) bool {
	for _, share := range r.Split {
		if services[share.Service.Name] {
			return true
		}
	}
	return false
}

// arrive puts what is new in its place, which must be free.
func (s *Snapshot) addEntries(change *Change, services map[string]*Service, updates map[matchKey]*Route) error {
	put := func(path *Route) error {
		at := matchKey{path.Host, path.Prefix, path.Method}
		if updated, is := updates[at]; updated != nil || !is && s.table.lookup(at) != nil {
			return fmt.Errorf("%s %s%s is taken", at.method, at.host, at.prefix)
		}
		updates[at] = path
		return nil
	}
	for _, path := range change.Paths {
		service := services[path.Service]
		if service == nil {
			return fmt.Errorf("no service %q", path.Service)
		}
		if err := put(pathRoute(path.Path, service)); err != nil {
			return err
		}
	}
	for _, route := range change.Routes {
		for _, share := range route.Split {
			if services[share.Service] == nil {
				return fmt.Errorf("route %q leads to service %q, which isn't there", route.Name, share.Service)
			}
		}
		path := compileRoute(route, services)
		if path.Service == nil {
			return fmt.Errorf("route %q leads nowhere", route.Name)
		}
		if err := put(path); err != nil {
			return err
		}
	}
	return nil
}

func (t routeTable) lookup(at matchKey) *Route {
	host, found := t.hosts.Get(at.host)
	if !found {
		return nil
	}
	methods, _ := host.byPrefix.Get(at.prefix)
	return methods[at.method]
}

// with is the table after moves; a place without a path is given up.
func (t routeTable) withUpdates(updates map[matchKey]*Route) routeTable {
	if len(updates) == 0 {
		return t
	}
	changed := tableBuilder{}
	for at, path := range updates {
		if changed[at.host] == nil {
			changed[at.host] = map[string]map[string]*Route{}
		}
		methods := changed[at.host][at.prefix]
		if methods == nil {
			if host, found := t.hosts.Get(at.host); found {
				former, _ := host.byPrefix.Get(at.prefix)
				methods = maps.Clone(former)
			}
			if methods == nil {
				methods = map[string]*Route{}
			}
			changed[at.host][at.prefix] = methods
		}
		delete(methods, at.method)
		if path != nil {
			methods[at.method] = path
		}
	}
	hosts, empty := map[string]*hostRoutes{}, []string{}
	for name, paths := range changed {
		former, found := t.hosts.Get(name)
		if !found {
			former = &hostRoutes{}
		}
		fresh, bare := &hostRoutes{maxPrefixLength: former.maxPrefixLength}, []string{}
		for prefix, methods := range paths {
			fresh.maxPrefixLength = max(fresh.maxPrefixLength, len(prefix))
			if len(methods) == 0 {
				delete(paths, prefix)
				bare = append(bare, prefix)
			}
		}
		if fresh.byPrefix = former.byPrefix.With(paths, bare); fresh.byPrefix.Len() == 0 {
			empty = append(empty, name)
			continue
		}
		hosts[name] = fresh
	}
	return routeTable{hosts: t.hosts.With(hosts, empty)}
}

// Fingerprint is a digest over what a view does: its services' terms, and where it leads which requests. Two views with the same sum serve alike,
// however they were made.
func (s *Snapshot) Fingerprint() string {
	var lines []string
	for _, service := range s.Services {
		lines = append(lines, fmt.Sprintf("service %s %s %v %v %v", service.Name, service.Group, deterministic(service.Breaker), deterministic(service.Retry), deterministic(service.Limits)))
	}
	for host, prefixes := range s.table.hosts.All {
		for prefix, methods := range prefixes.byPrefix.All {
			for method, path := range methods {
				line := fmt.Sprintf("path %q %q %q %q %v %v %d %d %d %d", host, method, prefix, path.Name, path.Once, path.Single, path.Timeout, path.LatencyTarget, path.Priority, path.MaxAttempts)
				for _, share := range path.Split {
					line += fmt.Sprintf(" %s %d", share.Service.Name, share.CumulativeWeight)
				}
				lines = append(lines, line)
			}
		}
	}
	slices.Sort(lines)
	return Digest([]byte(strings.Join(lines, "\n")))
}

// deterministic encodes terms that were decoded or built here, so that it can't fail.
func deterministic(message proto.Message) []byte {
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(err)
	}
	return content
}
