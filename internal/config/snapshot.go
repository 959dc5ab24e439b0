package config

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
)

// Snapshot is a configuration version compiled for serving. It's immutable, and shares unchanged parts with other versions.
type Snapshot struct {
	Version uint64
	// Digest is the digest of the configuration's content, as returned by the function Digest.
	Digest   string
	Services map[string]*Service
	table    routeTable
	tenants  tenantTable
}

// Compile builds a snapshot from an accepted configuration. If two routes match the same requests, the first one wins; Validate
// rejects such a configuration.
func Compile(state *wire.DesiredState, version uint64, digest string) *Snapshot {
	snapshot := &Snapshot{Version: version, Digest: digest, Services: map[string]*Service{}, tenants: newTenantTable(state.Tenants)}
	builder := tableBuilder{}
	for _, group := range state.Groups {
		for _, service := range group.Services {
			effective := EffectiveService(group, service)
			snapshot.Services[service.Name] = effective
			for _, path := range service.Paths {
				builder.add(pathRoute(path, effective))
			}
		}
	}
	for _, route := range state.Routes {
		builder.add(compileRoute(route, snapshot.Services))
	}
	snapshot.table = builder.build()
	return snapshot
}

// Resolve returns a copy of the route for a request. Routes for the request's host take precedence over routes for any host, then the
// longest prefix that ends at a segment boundary wins, then a route for the request's method over one for any method. The host must be
// in canonical form (CanonicalHost), and so must the path (package resourcepath). Resolve returns false if no route matches or the
// matching route has no service.
func (s *Snapshot) Resolve(host, method, path string) (Route, bool) {
	found := s.Lookup(host, method, path)
	if found == nil {
		return Route{}, false
	}
	return *found, found.Service != nil
}

// Lookup finds a route as Resolve does, but returns the snapshot's own object, or nil if no route matches. Versions in which the
// route is unchanged return the same object. The caller must not modify it.
func (s *Snapshot) Lookup(host, method, path string) *Route {
	for _, name := range [...]string{host, ""} {
		if routes, found := s.table.hosts.Get(name); found {
			if route := routes.match(method, path); route != nil {
				return route
			}
		}
		if host == "" {
			break
		}
	}
	return nil
}

// Fingerprint returns a digest of a snapshot's behavior: the policies of its services, its routes, and the keys of its tenants. Two
// snapshots with the same fingerprint behave identically, whether they come from Compile or With. It's slow and meant for tests and
// consistency checks.
func (s *Snapshot) Fingerprint() string {
	lines := s.fingerprintTenants()
	for _, service := range s.Services {
		lines = append(lines, fmt.Sprintf("service %s %s %v %v %v", service.Name, service.Group, mustMarshal(service.Breaker), mustMarshal(service.Retry), mustMarshal(service.Limits)))
	}
	for key, route := range s.table.all {
		line := fmt.Sprintf("path %q %q %q %q %v %v %v %d %d %d %d", key.host, key.method, key.prefix, route.Name, route.Once, route.Single, route.Anonymous, route.Timeout, route.LatencyTarget, route.Priority, route.MaxAttempts)
		for _, share := range route.Split {
			line += fmt.Sprintf(" %s %d", share.Service.Name, share.CumulativeWeight)
		}
		lines = append(lines, line)
	}
	slices.Sort(lines)
	return Digest([]byte(strings.Join(lines, "\n")))
}

// mustMarshal encodes a policy deterministically. The policy was decoded or built in this package, so an error is a bug.
func mustMarshal(message proto.Message) []byte {
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(err)
	}
	return content
}
