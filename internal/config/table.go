package config

import (
	"maps"
	"strings"

	"snowflow/internal/config/shared"
)

// matchKey is what a route matches. It's the route's key in the table.
type matchKey struct{ host, prefix, method string }

// matchKeyOf returns the key of a route in a table.
func matchKeyOf(route *Route) matchKey { return matchKey{route.Host, route.Prefix, route.Method} }

// routeTable holds all routes by host, prefix and method. It's immutable, and shares unchanged hosts, prefixes and routes with other
// versions.
type routeTable struct{ hosts *shared.Map[*hostRoutes] }

// hostRoutes holds the routes of one host. Invariants: no prefix is longer than maxPrefixLength; the map of routes by method at a prefix
// is never empty, and never changes once it's in a table.
type hostRoutes struct {
	byPrefix        *shared.Map[map[string]*Route]
	maxPrefixLength int
}

// lookup returns the route with exactly this key, or nil if there is none.
func (t routeTable) lookup(key matchKey) *Route {
	host, found := t.hosts.Get(key.host)
	if !found {
		return nil
	}
	methods, _ := host.byPrefix.Get(key.prefix)
	return methods[key.method]
}

// all iterates over all routes in unspecified order.
func (t routeTable) all(yield func(key matchKey, route *Route) bool) {
	for host, routes := range t.hosts.All {
		for prefix, methods := range routes.byPrefix.All {
			for method, route := range methods {
				if !yield(matchKey{host, prefix, method}, route) {
					return
				}
			}
		}
	}
}

// match returns the route for a request's method and path, or nil if there is none. It tries each prefix of the path that ends at a
// segment boundary, the longest first: the path itself, then for each slash the prefix that includes it and the one before it.
func (h *hostRoutes) match(method, path string) *Route {
	if len(path) <= h.maxPrefixLength {
		if found := h.lookup(method, path); found != nil {
			return found
		}
	}
	truncated := path[:min(len(path), h.maxPrefixLength+1)]
	for slash := strings.LastIndexByte(truncated, '/'); slash >= 0; slash = strings.LastIndexByte(path[:slash], '/') {
		if found := h.lookup(method, path[:slash+1]); found != nil {
			return found
		}
		if found := h.lookup(method, path[:slash]); found != nil {
			return found
		}
	}
	return nil
}

// lookup returns the route at a prefix for a method: one that names the method, otherwise one for any method.
func (h *hostRoutes) lookup(method, prefix string) *Route {
	methods, found := h.byPrefix.Get(prefix)
	if !found {
		return nil
	}
	if route := methods[method]; route != nil {
		return route
	}
	return methods[anyMethod]
}

// tableBuilder collects the routes of a table by host, prefix and method.
type tableBuilder map[string]map[string]map[string]*Route

// add adds a route unless there is already one with the same key.
func (b tableBuilder) add(route *Route) {
	prefixes := b[route.Host]
	if prefixes == nil {
		prefixes = map[string]map[string]*Route{}
		b[route.Host] = prefixes
	}
	methods := prefixes[route.Prefix]
	if methods == nil {
		methods = map[string]*Route{}
		prefixes[route.Prefix] = methods
	}
	if _, duplicate := methods[route.Method]; !duplicate {
		methods[route.Method] = route
	}
}

func (b tableBuilder) build() routeTable {
	hosts := make(map[string]*hostRoutes, len(b))
	for name, prefixes := range b {
		host := &hostRoutes{byPrefix: shared.New(prefixes)}
		for prefix := range prefixes {
			host.maxPrefixLength = max(host.maxPrefixLength, len(prefix))
		}
		hosts[name] = host
	}
	return routeTable{hosts: shared.New(hosts)}
}

// withUpdates returns the table with the routes at the given keys replaced. A nil route removes the key.
func (t routeTable) withUpdates(updates map[matchKey]*Route) routeTable {
	if len(updates) == 0 {
		return t
	}
	hosts, emptyHosts := map[string]*hostRoutes{}, []string{}
	for name, prefixes := range t.changedPrefixes(updates) {
		current, found := t.hosts.Get(name)
		if !found {
			current = &hostRoutes{}
		}
		updated := current.withPrefixes(prefixes)
		if updated.byPrefix.Len() == 0 {
			emptyHosts = append(emptyHosts, name)
			continue
		}
		hosts[name] = updated
	}
	return routeTable{hosts: t.hosts.With(hosts, emptyHosts)}
}

// changedPrefixes returns the updated routes of each host and prefix that the updates affect.
func (t routeTable) changedPrefixes(updates map[matchKey]*Route) tableBuilder {
	changed := tableBuilder{}
	for key, route := range updates {
		prefixes := changed[key.host]
		if prefixes == nil {
			prefixes = map[string]map[string]*Route{}
			changed[key.host] = prefixes
		}
		methods := prefixes[key.prefix]
		if methods == nil {
			methods = t.cloneMethods(key)
			prefixes[key.prefix] = methods
		}
		delete(methods, key.method)
		if route != nil {
			methods[key.method] = route
		}
	}
	return changed
}

// cloneMethods returns a copy of the map of routes by method at a key's host and prefix.
func (t routeTable) cloneMethods(key matchKey) map[string]*Route {
	if host, found := t.hosts.Get(key.host); found {
		if methods, found := host.byPrefix.Get(key.prefix); found {
			return maps.Clone(methods)
		}
	}
	return map[string]*Route{}
}

// withPrefixes returns the host's routes with those at the given prefixes replaced. Prefixes without routes are removed.
// maxPrefixLength isn't lowered, because that would need a scan of all prefixes; it may be larger than necessary.
func (h *hostRoutes) withPrefixes(prefixes map[string]map[string]*Route) *hostRoutes {
	updated, empty := &hostRoutes{maxPrefixLength: h.maxPrefixLength}, []string{}
	for prefix, methods := range prefixes {
		updated.maxPrefixLength = max(updated.maxPrefixLength, len(prefix))
		if len(methods) == 0 {
			delete(prefixes, prefix)
			empty = append(empty, prefix)
		}
	}
	updated.byPrefix = h.byPrefix.With(prefixes, empty)
	return updated
}
