package changes

import (
	"errors"
	"fmt"

	"snowflow/internal/config"
	"snowflow/internal/resource"
	"snowflow/internal/transport/wire"
)

type (
	// Digest is the digest of a set.
	Digest = resource.Digest
	// Resource is a route, a service, a service's path or a tenant of a version.
	Resource = resource.Resource
	// Set is the set of resources of a version.
	Set = resource.Set
)

// The kinds of resources, which are the prefixes of their keys. They are sent, shown to operators and included in digests.
const (
	KindRoute   = "route"
	KindService = "service"
	KindPath    = "path"
	KindTenant  = "tenant"
)

// anyMethod stands for the omitted method of a route.
const anyMethod = "*"

// ErrInvalidSet means that a configuration can't be represented as a set of resources, because it contains duplicates, or routes without
// a valid service. Such a configuration is invalid, but a build with fewer checks may have accepted it.
var ErrInvalidSet = resource.ErrInvalidSet

// NewSet returns the resources of a configuration, which must not be modified afterwards. An error that is ErrInvalidSet lists all
// problems.
func NewSet(state *wire.DesiredState) (*Set, error) {
	b := &setBuilder{services: map[string]bool{}, matches: map[string]bool{}, keyOwners: map[string]string{}}
	for _, group := range state.Groups {
		for _, service := range group.Services {
			b.addService(group, service)
		}
	}
	for _, route := range state.Routes {
		b.addRoute(route)
	}
	for _, tenant := range state.Tenants {
		b.addTenant(config.TenantInForce(tenant))
	}
	if err := errors.Join(b.errs...); err != nil {
		return nil, err
	}
	return (&Set{}).With(b.resources, nil, len(b.resources))
}

// setBuilder collects the resources of a configuration.
type setBuilder struct {
	resources []*Resource
	errs      []error
	// services holds the names of the services.
	services map[string]bool
	// matches holds the host, method and prefix of each path and route so far.
	matches map[string]bool
	// keyOwners maps the digests of keys to the names of their tenants.
	keyOwners map[string]string
}

func (b *setBuilder) add(r *Resource, err error) {
	b.resources = append(b.resources, r)
	if err != nil {
		b.errs = append(b.errs, err)
	}
}

func (b *setBuilder) invalidf(format string, arguments ...any) {
	b.errs = append(b.errs, fmt.Errorf("%w: %s", ErrInvalidSet, fmt.Sprintf(format, arguments...)))
}

func (b *setBuilder) addService(group *wire.Group, service *wire.Service) {
	effective := config.EffectiveService(group, service)
	b.services[service.Name] = true
	b.add(newServiceResource(&wire.ServiceInForce{
		Name:   effective.Name,
		Group:  effective.Group,
		Guard:  effective.Breaker,
		Retry:  effective.Retry,
		Limits: effective.Limits,
	}))
	for _, path := range service.Paths {
		b.claimMatch("", path.Method, path.Prefix)
		b.add(newPathResource(&wire.ServicePath{Service: service.Name, Path: path}))
	}
}

func (b *setBuilder) addRoute(route *wire.Route) {
	b.claimMatch(route.Host, route.Method, route.Prefix)
	sum := uint64(0)
	for _, share := range route.Split {
		sum += uint64(share.Weight)
		if !b.services[share.Service] {
			b.invalidf("route %q uses service %q, which doesn't exist", route.Name, share.Service)
		}
	}
	if sum == 0 {
		b.invalidf("route %q has no service with a weight above zero", route.Name)
	}
	b.add(newRouteResource(route))
}

func (b *setBuilder) addTenant(tenant *wire.TenantInForce) {
	for _, digest := range tenant.KeyDigests {
		if owner, taken := b.keyOwners[string(digest)]; taken {
			b.invalidf("tenants %q and %q share a key", owner, tenant.Name)
		}
		b.keyOwners[string(digest)] = tenant.Name
	}
	b.add(newTenantResource(tenant))
}

func (b *setBuilder) claimMatch(host, method, prefix string) {
	if method == "" {
		method = anyMethod
	}
	match := host + " " + method + " " + prefix
	if b.matches[match] {
		b.invalidf("duplicate match %q", match)
	}
	b.matches[match] = true
}

func newRouteResource(route *wire.Route) (*Resource, error) {
	return resource.New(KindRoute+"/"+route.Name, route)
}

func newServiceResource(service *wire.ServiceInForce) (*Resource, error) {
	return resource.New(KindService+"/"+service.Name, service)
}

func newPathResource(path *wire.ServicePath) (*Resource, error) {
	return resource.New(KindPath+"/"+path.GetPath().GetMethod()+" "+path.GetPath().GetPrefix(), path)
}

func newTenantResource(tenant *wire.TenantInForce) (*Resource, error) {
	return resource.New(KindTenant+"/"+tenant.Name, tenant)
}
