package config

import (
	"maps"
	"strings"

	"snowflow/internal/config/shared"
)

// matchKey is what a route matches, and its key in the table.
type matchKey struct{ host, prefix, method string }

// keyOf returns the key of a route in a table.
func keyOf(route *Route) matchKey { return matchKey{route.Host, route.Prefix, route.Method} }

// routeTable holds all routes by host, prefix and method. It's immutable, and shares with other versions the hosts, prefixes and
// routes in which they don't differ.
type routeTable struct{ hosts *shared.Map[*hostRoutes] }

// hostRoutes are the routes of one host. Invariants: maxPrefixLength is no less than the length of any prefix; the routes by
// method at one prefix are never empty, and never change once they are in a table.
type hostRoutes struct {
	byPrefix        *shared.Map[map[string]*Route]
	maxPrefixLength int
}

// lookup returns the route with exactly this key, nil if there is none.
func (t routeTable) lookup(key matchKey) *Route {
	host, found := t.hosts.Get(key.host)
	if !found {
		return nil
	}
	methods, _ := host.byPrefix.Get(key.prefix)
	return methods[key.method]
}

// all iterates over all routes, in no order.
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

// match returns the route for a request's method and path, nil if there is none. It tries each beginning of the path that ends at
// a whole segment, the longest first: the path itself, then at each slash with and without it.
func (h *hostRoutes) match(method, path string) *Route {
	if len(path) <= h.maxPrefixLength {
		if found := h.lookup(method, path); found != nil {
			return found
		}
	}
	beginning := path[:min(len(path), h.maxPrefixLength+1)]
	for slash := strings.LastIndexByte(beginning, '/'); slash >= 0; slash = strings.LastIndexByte(path[:slash], '/') {
		if found := h.lookup(method, path[:slash+1]); found != nil {
			return found
		}
		if found := h.lookup(method, path[:slash]); found != nil {
			return found
		}
	}
	return nil
}

// lookup returns the route at a prefix for a method: one that names the method, or else one for any.
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

// tableBuilder is a table that is being filled, by host, prefix and method.
type tableBuilder map[string]map[string]map[string]*Route

// add puts a route in; of two with the same key the first stands.
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

// withUpdates returns the table with the routes at some keys replaced. Nil removes a route.
func (t routeTable) withUpdates(updates map[matchKey]*Route) routeTable {
	if len(updates) == 0 {
		return t
	}
	hosts, emptyHosts := map[string]*hostRoutes{}, []string{}
	for name, prefixes := range t.changedPrefixes(updates) {
		former, found := t.hosts.Get(name)
		if !found {
			former = &hostRoutes{}
		}
		updated := former.withPrefixes(prefixes)
		if updated.byPrefix.Len() == 0 {
			emptyHosts = append(emptyHosts, name)
			continue
		}
		hosts[name] = updated
	}
	return routeTable{hosts: t.hosts.With(hosts, emptyHosts)}
}

// changedPrefixes returns the routes after the updates at each host and prefix that they touch.
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

// cloneMethods returns a copy of the routes at a key's host and prefix by method.
func (t routeTable) cloneMethods(key matchKey) map[string]*Route {
	if host, found := t.hosts.Get(key.host); found {
		if methods, found := host.byPrefix.Get(key.prefix); found {
			return maps.Clone(methods)
		}
	}
	return map[string]*Route{}
}

// withPrefixes returns the host's routes with those at some prefixes replaced. Prefixes without routes are removed. The length of
// the longest prefix never falls, which is allowed and cheap.
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
