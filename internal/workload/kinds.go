package workload

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
)

// routeChange is a kind of change to a family's routes. apply modifies state in place. routes are the family's routes in state and
// include at least the general one.
type routeChange struct {
	name  string
	apply func(c *RouteChanges, state *wire.DesiredState, family RouteFamily, routes []*wire.Route)
}

// routeChanges lists the kinds of changes. A different order would change the result of every seed.
var routeChanges = []routeChange{
	{"moved", moveRoute},
	{"weights", splitRoute},
	{"time-out", changeTimeout},
	{"added", addRegionalRoute},
	{"removed", removeRoute},
	{"renamed", renameRoute},
}

const (
	// minTimeout and timeoutRange bound the timeouts of routes: at least minTimeout, less than minTimeout plus timeoutRange.
	minTimeout   = 3 * time.Second
	timeoutRange = 2 * time.Second
	// weightRange bounds the weights of split routes: 1 to 9 for the first service, 0 to 8 for the second.
	weightRange = 9
)

// moveRoute routes all of a route's requests to the other of the family's two services.
func moveRoute(c *RouteChanges, _ *wire.DesiredState, family RouteFamily, routes []*wire.Route) {
	route := pick(c.rng, routes)
	target := family.Service
	if route.Split[0].Service == family.Service {
		target = family.Alternate
	}
	route.Split = []*wire.Share{{Service: target, Weight: 1}}
}

// splitRoute splits a route's requests between both services by random weights. The second weight may be zero.
func splitRoute(c *RouteChanges, _ *wire.DesiredState, family RouteFamily, routes []*wire.Route) {
	route := pick(c.rng, routes)
	first := &wire.Share{Service: family.Service, Weight: uint32(1 + c.rng.IntN(weightRange))}
	second := &wire.Share{Service: family.Alternate, Weight: uint32(c.rng.IntN(weightRange))}
	route.Split = []*wire.Share{first, second}
}

// changeTimeout gives a route a new random timeout.
func changeTimeout(c *RouteChanges, _ *wire.DesiredState, _ RouteFamily, routes []*wire.Route) {
	route := pick(c.rng, routes)
	extra := c.rng.Uint64N(uint64(timeoutRange.Microseconds()))
	route.CutoffMicros = proto.Int64(minTimeout.Microseconds() + int64(extra))
}

// addRegionalRoute adds a route for a random region, unless that region already has one.
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

// removeRoute removes a random route, unless it is the family's general one, without which some requests would match no route.
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
