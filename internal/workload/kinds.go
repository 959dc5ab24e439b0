package workload

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
)

// routeChange is one kind of change to a family's routes. apply changes state, which it owns; routes are those of the family in
// it, at least the general one.
type routeChange struct {
	name  string
	apply func(c *RouteChanges, state *wire.DesiredState, family RouteFamily, routes []*wire.Route)
}

// routeChanges are the kinds of changes. Their order is part of what a seed means.
var routeChanges = []routeChange{
	{"moved", moveRoute},
	{"weights", splitRoute},
	{"time-out", changeTimeout},
	{"added", addRegionalRoute},
	{"removed", removeRoute},
	{"renamed", renameRoute},
}

const (
	// minTimeout and timeoutRange give the time-outs of routes: at least the one, and less than both together.
	minTimeout   = 3 * time.Second
	timeoutRange = 2 * time.Second
	// weightRange bounds the weights of split routes.
	weightRange = 9
)

// moveRoute moves a route to the family's other service.
func moveRoute(c *RouteChanges, _ *wire.DesiredState, family RouteFamily, routes []*wire.Route) {
	route := pick(c.rng, routes)
	target := family.Service
	if route.Split[0].Service == family.Service {
		target = family.Alternate
	}
	route.Split = []*wire.Share{{Service: target, Weight: 1}}
}

// splitRoute splits a route among both services by random weights, the second of which may be zero.
func splitRoute(c *RouteChanges, _ *wire.DesiredState, family RouteFamily, routes []*wire.Route) {
	route := pick(c.rng, routes)
	first := &wire.Share{Service: family.Service, Weight: uint32(1 + c.rng.IntN(weightRange))}
	second := &wire.Share{Service: family.Alternate, Weight: uint32(c.rng.IntN(weightRange))}
	route.Split = []*wire.Share{first, second}
}

// changeTimeout gives a route another time-out.
func changeTimeout(c *RouteChanges, _ *wire.DesiredState, _ RouteFamily, routes []*wire.Route) {
	route := pick(c.rng, routes)
	extra := c.rng.Uint64N(uint64(timeoutRange.Microseconds()))
	route.CutoffMicros = proto.Int64(minTimeout.Microseconds() + int64(extra))
}

// addRegionalRoute adds a route for a region, unless the region has one.
func addRegionalRoute(c *RouteChanges, state *wire.DesiredState, family RouteFamily, routes []*wire.Route) {
	prefix := fmt.Sprintf("%s%d/", family.Prefix, c.rng.IntN(RegionsPerFamily))
	if slices.ContainsFunc(routes, func(route *wire.Route) bool { return route.Prefix == prefix }) {
		return
	}
	service := pick(c.rng, []string{family.Service, family.Alternate})
	state.Routes = append(state.Routes, &wire.Route{
		Name:   fmt.Sprintf("%s-%d", family.Kind, c.Changes),
		Method: family.Method,
		Prefix: prefix,
		Class:  routes[0].Class,
		Split:  []*wire.Share{{Service: service, Weight: 1}},
	})
}

// removeRoute removes a route, unless it is the family's general one: its requests must keep a route.
func removeRoute(c *RouteChanges, state *wire.DesiredState, family RouteFamily, routes []*wire.Route) {
	removed := pick(c.rng, routes)
	if removed.Prefix == family.Prefix {
		return
	}
	state.Routes = slices.DeleteFunc(state.Routes, func(route *wire.Route) bool { return route == removed })
}

// renameRoute gives a route a new name.
func renameRoute(c *RouteChanges, _ *wire.DesiredState, family RouteFamily, routes []*wire.Route) {
	pick(c.rng, routes).Name = fmt.Sprintf("%s-%d", family.Kind, c.Changes)
}
