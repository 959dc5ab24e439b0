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
	// Resource is a route, a service, a path or a tenant of a version.
	Resource = resource.Resource
	// Set is a version as a set of resources.
	Set = resource.Set
)

// The kinds of resources, with which their keys begin. They are sent, shown to operators and part of digests.
const (
	KindRoute   = "route"
	KindService = "service"
	KindPath    = "path"
	KindTenant  = "tenant"
)

// anyMethod is how a route is keyed that leaves its method out.
const anyMethod = "*"

// ErrInvalidSet means that a configuration isn't a set of resources, because something is there twice or leads nowhere. Such a
// configuration is invalid too, but a build that checked less may have accepted it.
var ErrInvalidSet = resource.ErrInvalidSet

// NewSet returns the resources of a configuration, which must not be changed afterwards. An error that is ErrInvalidSet lists all
// that is wrong.
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
	if err := errors.Join(b.problems...); err != nil {
		return nil, err
	}
	return (&Set{}).With(b.resources, nil, len(b.resources))
}

// setBuilder collects the resources of a configuration.
type setBuilder struct {
	resources []*Resource
	problems  []error
	// services are the names of the services.
	services map[string]bool
	// matches are the requests that a path or route matches already.
	matches map[string]bool
	// keyOwners are the tenants' names by the digests of their keys.
	keyOwners map[string]string
}

func (b *setBuilder) add(one *Resource, err error) {
	b.resources = append(b.resources, one)
	if err != nil {
		b.problems = append(b.problems, err)
	}
}

func (b *setBuilder) invalidf(format string, arguments ...any) {
	b.problems = append(b.problems, fmt.Errorf("%w: %s", ErrInvalidSet, fmt.Sprintf(format, arguments...)))
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
			b.invalidf("route %q leads to service %q, which isn't there", route.Name, share.Service)
		}
	}
	if sum == 0 {
		b.invalidf("route %q leads nowhere", route.Name)
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
		b.invalidf("%s is there twice", match)
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
