package config

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
)

// Snapshot is a configuration version compiled for serving. It's immutable, and shares with other versions what they have in
// common.
type Snapshot struct {
	Version uint64
	// Digest is that of the content; see the function Digest.
	Digest   string
	Services map[string]*Service
	table    routeTable
	tenants  tenantTable
}

// Compile makes a snapshot of a configuration that was accepted. Of two routes that match the same requests the first wins;
// Validate rejects such a configuration.
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

// Resolve returns a copy of the route for a request: among those of its host, then among those of any host, the one with the
// longest prefix that ends at a whole segment, and at one prefix one with a method before one for any. The host must be in
// canonical form (CanonicalHost) and the path too (package resourcepath). It returns false if there is no such route or it has no
// service.
func (s *Snapshot) Resolve(host, method, path string) (Route, bool) {
	found := s.Lookup(host, method, path)
	if found == nil {
		return Route{}, false
	}
	return *found, found.Service != nil
}

// Lookup returns the snapshot's own route for a request as Resolve does, nil if there is none. It's the same object in every
// version in which the route is unchanged. It must not be changed.
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

// Fingerprint returns a digest over a snapshot's behavior: the policies of its services, the route of each request, and the keys of
// tenants. Two snapshots with the same fingerprint behave alike, whether they were compiled or made by With. It's slow, for tests and
// checks.
func (s *Snapshot) Fingerprint() string {
	lines := s.fingerprintTenants()
	for _, service := range s.Services {
		lines = append(lines, fmt.Sprintf("service %s %s %v %v %v", service.Name, service.Group, deterministic(service.Breaker), deterministic(service.Retry), deterministic(service.Limits)))
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

// deterministic encodes a policy deterministically. The policy was decoded or built in this package, so that an error is a bug.
func deterministic(message proto.Message) []byte {
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(err)
	}
	return content
}
