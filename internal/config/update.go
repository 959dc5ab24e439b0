package config

import (
	"errors"
	"fmt"
	"maps"

	"snowflow/internal/transport/wire"
)

// ErrChangeMismatch means that a change doesn't apply to the snapshot, because it was computed for another one.
var ErrChangeMismatch = errors.New("config: the change doesn't apply to the snapshot")

// Change describes how to get from a snapshot to the next one. RemovedPaths, RemovedRoutes and RemovedTenants include the previous state
// of what changed. RemovedServices doesn't include changed services, because the snapshot finds them by name.
type Change struct {
	Services        []*wire.ServiceInForce // added or changed
	RemovedServices []string
	Paths           []*wire.ServicePath // added or changed
	RemovedPaths    []*wire.ServicePath
	Routes          []*wire.Route // added or changed
	RemovedRoutes   []*wire.Route
	Tenants         []*wire.TenantInForce // added or changed
	RemovedTenants  []*wire.TenantInForce
}

// With returns the snapshot after a change, and doesn't modify s. Services, routes and hosts that aren't affected are the same objects in
// both; a route whose service has changed is replaced. All errors are ErrChangeMismatch.
func (s *Snapshot) With(change *Change, version uint64, digest string) (*Snapshot, error) {
	services, changed, err := s.withServices(change)
	if err != nil {
		return nil, err
	}
	u := &tableUpdate{table: s.table, services: services, updates: map[matchKey]*Route{}}
	if err := u.removeRoutes(change); err != nil {
		return nil, err
	}
	if err := u.relinkServices(changed); err != nil {
		return nil, err
	}
	if err := u.addRoutes(change); err != nil {
		return nil, err
	}
	next := &Snapshot{Version: version, Digest: digest, Services: services}
	next.table = s.table.withUpdates(u.updates)
	next.tenants = s.tenants.with(change.Tenants, change.RemovedTenants)
	return next, nil
}

// withServices returns the services after a change, and the names of the services that were changed or removed.
func (s *Snapshot) withServices(change *Change) (services map[string]*Service, changed map[string]bool, err error) {
	if len(change.Services)+len(change.RemovedServices) == 0 {
		return s.Services, nil, nil
	}
	services, changed = maps.Clone(s.Services), map[string]bool{}
	for _, name := range change.RemovedServices {
		if services[name] == nil {
			return nil, nil, fmt.Errorf("%w: removed service %q doesn't exist", ErrChangeMismatch, name)
		}
		delete(services, name)
		changed[name] = true
	}
	for _, service := range change.Services {
		if s.Services[service.Name] != nil {
			changed[service.Name] = true
		}
		services[service.Name] = &Service{Name: service.Name, Group: service.Group, Breaker: service.Guard, Retry: service.Retry, Limits: service.Limits}
	}
	return services, changed, nil
}

// tableUpdate collects the updates that a change makes to a route table.
type tableUpdate struct {
	// table is the table before the change.
	table routeTable
	// services holds the services after the change.
	services map[string]*Service
	// updates maps the affected keys to their routes after the change; nil means that the route is removed.
	updates map[matchKey]*Route
}

// removeRoutes removes the paths and routes that are removed or changed, so that their keys can be used again.
func (u *tableUpdate) removeRoutes(change *Change) error {
	for _, path := range change.RemovedPaths {
		key := matchKey{"", path.Path.Prefix, path.Path.Method}
		if found := u.table.lookup(key); found == nil || found.Name != "" || found.Service.Name != path.Service {
			return fmt.Errorf("%w: removed path %s %s of service %q doesn't exist", ErrChangeMismatch, key.method, key.prefix, path.Service)
		}
		u.updates[key] = nil
	}
	for _, route := range change.RemovedRoutes {
		key := matchKey{route.Host, route.Prefix, methodOrAny(route.Method)}
		if found := u.table.lookup(key); found == nil || found.Name != route.Name {
			return fmt.Errorf("%w: removed route %q doesn't exist", ErrChangeMismatch, route.Name)
		}
		u.updates[key] = nil
	}
	return nil
}

// relinkServices replaces unchanged routes that use a changed service, so that they use its new policies.
func (u *tableUpdate) relinkServices(changed map[string]bool) error {
	if len(changed) == 0 {
		return nil
	}
	for key, route := range u.table.all {
		if _, updated := u.updates[key]; updated || !route.routesToAny(changed) {
			continue
		}
		relinked := *route
		relinked.Split = make([]WeightedService, len(route.Split))
		for index, share := range route.Split {
			service := u.services[share.Service.Name]
			if service == nil {
				return fmt.Errorf("%w: removed service %q is still used by the route %s %s%s", ErrChangeMismatch, share.Service.Name, key.method, key.host, key.prefix)
			}
			relinked.Split[index] = WeightedService{Service: service, CumulativeWeight: share.CumulativeWeight}
		}
		relinked.Service = u.services[route.Service.Name]
		u.updates[key] = &relinked
	}
	return nil
}

// addRoutes adds the new and changed paths and routes.
func (u *tableUpdate) addRoutes(change *Change) error {
	for _, path := range change.Paths {
		service := u.services[path.Service]
		if service == nil {
			return fmt.Errorf("%w: service %q doesn't exist", ErrChangeMismatch, path.Service)
		}
		if err := u.add(pathRoute(path.Path, service)); err != nil {
			return err
		}
	}
	for _, route := range change.Routes {
		for _, share := range route.Split {
			if u.services[share.Service] == nil {
				return fmt.Errorf("%w: route %q uses service %q, which doesn't exist", ErrChangeMismatch, route.Name, share.Service)
			}
		}
		compiled := compileRoute(route, u.services)
		if compiled.Service == nil {
			return fmt.Errorf("%w: route %q has no service with a weight above zero", ErrChangeMismatch, route.Name)
		}
		if err := u.add(compiled); err != nil {
			return err
		}
	}
	return nil
}

// add sets the route of a key. No other route may have the key.
func (u *tableUpdate) add(route *Route) error {
	key := matchKeyOf(route)
	present, updated := u.updates[key]
	if !updated {
		present = u.table.lookup(key)
	}
	if present != nil {
		return fmt.Errorf("%w: two routes match %s %s%s", ErrChangeMismatch, key.method, key.host, key.prefix)
	}
	u.updates[key] = route
	return nil
}
