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
	GonePaths       []*wire.ServicePath
	Routes          []*wire.Route // added or changed
	GoneRoutes      []*wire.Route
}

// place is where a path stands in the table.
type place struct{ host, prefix, method string }

// With is the view after a change. Services, paths, routes and hosts that it doesn't touch are the same objects; a path or a
// route whose service has changed gets a new entry. An error tells that the change doesn't fit this view, which stays as it is.
func (view *View) With(change *Change, serial uint64, digest string) (*View, error) {
	next := &View{Serial: serial, Digest: digest, Services: view.Services}
	touched := map[string]bool{}
	if len(change.Services)+len(change.RemovedServices) > 0 {
		next.Services = maps.Clone(view.Services)
	}
	for _, name := range change.RemovedServices {
		if next.Services[name] == nil {
			return nil, fmt.Errorf("service %q is to be removed and isn't there", name)
		}
		delete(next.Services, name)
		touched[name] = true
	}
	for _, service := range change.Services {
		touched[service.Name] = touched[service.Name] || view.Services[service.Name] != nil
		next.Services[service.Name] = &Service{Name: service.Name, Group: service.Group, Guard: service.Guard, Retry: service.Retry, Limits: service.Limits}
	}
	moves := map[place]*Path{}
	if err := view.leave(change, moves); err != nil {
		return nil, err
	}
	if len(touched) > 0 {
		if err := view.repoint(next.Services, touched, moves); err != nil {
			return nil, err
		}
	}
	if err := view.arrive(change, next.Services, moves); err != nil {
		return nil, err
	}
	next.routing = view.routing.with(moves)
	return next, nil
}

// leave notes the places that are given up.
func (view *View) leave(change *Change, moves map[place]*Path) error {
	for _, path := range change.GonePaths {
		at := place{"", path.Path.Prefix, path.Path.Method}
		if found := view.routing.at(at); found == nil || found.Name != "" || found.Service.Name != path.Service {
			return fmt.Errorf("path %s %s of %s is to go and isn't there", at.method, at.prefix, path.Service)
		}
		moves[at] = nil
	}
	for _, route := range change.GoneRoutes {
		at := place{route.Host, route.Prefix, methodOf(route.Method)}
		if found := view.routing.at(at); found == nil || found.Name != route.Name {
			return fmt.Errorf("route %q is to go and isn't there", route.Name)
		}
		moves[at] = nil
	}
	return nil
}

// repoint gives all paths that stay and lead to a changed service a new entry with that service.
func (view *View) repoint(services map[string]*Service, touched map[string]bool, moves map[place]*Path) error {
	for host, prefixes := range view.routing.hosts.All {
		for prefix, methods := range prefixes.paths.All {
			for method, path := range methods {
				at := place{host, prefix, method}
				if _, moved := moves[at]; moved || !path.leadsTo(touched) {
					continue
				}
				fresh := *path
				fresh.Split = make([]Share, len(path.Split))
				for index, share := range path.Split {
					service := services[share.Service.Name]
					if service == nil {
						return fmt.Errorf("service %q is removed, and %s %s%s leads to it", share.Service.Name, method, host, prefix)
					}
					fresh.Split[index] = Share{Service: service, UpTo: share.UpTo}
				}
				fresh.Service = services[path.Service.Name]
				moves[at] = &fresh
			}
		}
	}
	return nil
}

func (path *Path) leadsTo(services map[string]bool) bool {
	for _, share := range path.Split {
		if services[share.Service.Name] {
			return true
		}
	}
	return false
}

// arrive puts what is new in its place, which must be free.
func (view *View) arrive(change *Change, services map[string]*Service, moves map[place]*Path) error {
	put := func(path *Path) error {
		at := place{path.Host, path.Prefix, path.Method}
		if moved, is := moves[at]; moved != nil || !is && view.routing.at(at) != nil {
			return fmt.Errorf("%s %s%s is taken", at.method, at.host, at.prefix)
		}
		moves[at] = path
		return nil
	}
	for _, path := range change.Paths {
		service := services[path.Service]
		if service == nil {
			return fmt.Errorf("no service %q", path.Service)
		}
		if err := put(ownPath(path.Path, service)); err != nil {
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

func (routing routing) at(at place) *Path {
	host, there := routing.hosts.Get(at.host)
	if !there {
		return nil
	}
	methods, _ := host.paths.Get(at.prefix)
	return methods[at.method]
}

// with is the table after moves; a place without a path is given up.
func (present routing) with(moves map[place]*Path) routing {
	if len(moves) == 0 {
		return present
	}
	touched := building{}
	for at, path := range moves {
		if touched[at.host] == nil {
			touched[at.host] = map[string]map[string]*Path{}
		}
		methods := touched[at.host][at.prefix]
		if methods == nil {
			if host, there := present.hosts.Get(at.host); there {
				former, _ := host.paths.Get(at.prefix)
				methods = maps.Clone(former)
			}
			if methods == nil {
				methods = map[string]*Path{}
			}
			touched[at.host][at.prefix] = methods
		}
		delete(methods, at.method)
		if path != nil {
			methods[at.method] = path
		}
	}
	hosts, empty := map[string]*prefixes{}, []string{}
	for name, paths := range touched {
		former, there := present.hosts.Get(name)
		if !there {
			former = &prefixes{}
		}
		fresh, bare := &prefixes{longest: former.longest}, []string{}
		for prefix, methods := range paths {
			fresh.longest = max(fresh.longest, len(prefix))
			if len(methods) == 0 {
				delete(paths, prefix)
				bare = append(bare, prefix)
			}
		}
		if fresh.paths = former.paths.With(paths, bare); fresh.paths.Len() == 0 {
			empty = append(empty, name)
			continue
		}
		hosts[name] = fresh
	}
	return routing{hosts: present.hosts.With(hosts, empty)}
}

// Sum is a digest over what a view does: its services' terms, and where it leads which requests. Two views with the same sum serve alike,
// however they were made.
func (view *View) Sum() string {
	var lines []string
	for _, service := range view.Services {
		lines = append(lines, fmt.Sprintf("service %s %s %v %v %v", service.Name, service.Group, deterministic(service.Guard), deterministic(service.Retry), deterministic(service.Limits)))
	}
	for host, prefixes := range view.routing.hosts.All {
		for prefix, methods := range prefixes.paths.All {
			for method, path := range methods {
				line := fmt.Sprintf("path %q %q %q %q %v %v %d %d %d %d", host, method, prefix, path.Name, path.Once, path.Single, path.Cutoff, path.Aim, path.Priority, path.MostTries)
				for _, share := range path.Split {
					line += fmt.Sprintf(" %s %d", share.Service.Name, share.UpTo)
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
