// Package workload makes a busy day's changes of routes, for the simulator's courses and for rehearsals of real processes alike.
package workload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
)

// RouteFamily is a kind of traffic whose routes change, with the other service that may take it over.
type RouteFamily struct{ Kind, Method, Prefix, Service, Alternate string }

// RegionsPerFamily are the parts of a family that a route of their own may be added for.
const RegionsPerFamily = 10

// RouteChanges are the desired states that operators make one of the other.
// Invariant: State is the last that was handed in, or the last that won a race; each family has its general route in it.
type RouteChanges struct {
	State    *wire.DesiredState
	Changes  int
	Counts   map[string]int // of the changes made, by the family's kind and what they do
	families []RouteFamily
	rng      *rand.Rand
}

// NewRouteChanges begins a day with a state.
func NewRouteChanges(state *wire.DesiredState, families []RouteFamily, rng *rand.Rand) *RouteChanges {
	return &RouteChanges{State: state, Counts: map[string]int{}, families: families, rng: rng}
}

// Route is a family's general route.
func (f RouteFamily) Route() *wire.Route {
	route := &wire.Route{Name: f.Kind, Method: f.Method, Prefix: f.Prefix, Class: wire.Path_read, Split: []*wire.Share{{Service: f.Service, Weight: 1}}}
	if f.Method != "GET" {
		route.Class = wire.Path_once
	}
	return route
}

// EncodeState writes a state down; the JSON library varies its white space.
func EncodeState(state *wire.DesiredState) []byte {
	content, err := protojson.Marshal(state)
	if err != nil {
		panic(err) // it's made of plain names
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, content); err != nil {
		panic(err)
	}
	return compact.Bytes()
}

func pick[Item any](rng *rand.Rand, items []Item) Item { return items[rng.IntN(len(items))] }

// routeChange is something that may be done to a family's routes, own being those that it has.
type routeChange struct {
	name  string
	apply func(c *RouteChanges, state *wire.DesiredState, family RouteFamily, routes []*wire.Route)
}

var routeChanges = []routeChange{
	{"moved", func(c *RouteChanges, _ *wire.DesiredState, family RouteFamily, routes []*wire.Route) {
		route := pick(c.rng, routes)
		target := map[string]string{family.Service: family.Alternate, family.Alternate: family.Service}[route.Split[0].Service]
		route.Split = []*wire.Share{{Service: target, Weight: 1}}
	}},
	{"weights", func(c *RouteChanges, _ *wire.DesiredState, family RouteFamily, routes []*wire.Route) {
		pick(c.rng, routes).Split = []*wire.Share{{Service: family.Service, Weight: uint32(1 + c.rng.IntN(9))}, {Service: family.Alternate, Weight: uint32(c.rng.IntN(9))}}
	}},
	{"time-out", func(c *RouteChanges, _ *wire.DesiredState, _ RouteFamily, routes []*wire.Route) {
		pick(c.rng, routes).CutoffMicros = proto.Int64((3 * time.Second).Microseconds() + int64(c.rng.Uint64N(uint64((2 * time.Second).Microseconds()))))
	}},
	{"added", func(c *RouteChanges, state *wire.DesiredState, family RouteFamily, routes []*wire.Route) {
		prefix := fmt.Sprintf("%s%d/", family.Prefix, c.rng.IntN(RegionsPerFamily))
		if !slices.ContainsFunc(routes, func(route *wire.Route) bool { return route.Prefix == prefix }) {
			state.Routes = append(state.Routes, &wire.Route{Name: fmt.Sprintf("%s-%d", family.Kind, c.Changes), Method: family.Method, Prefix: prefix, Class: routes[0].Class,
				Split: []*wire.Share{{Service: pick(c.rng, []string{family.Service, family.Alternate}), Weight: 1}}})
		}
	}},
	{"removed", func(c *RouteChanges, state *wire.DesiredState, family RouteFamily, routes []*wire.Route) {
		// The family's general route stays, so its requests still have one.
		removed := pick(c.rng, routes)
		state.Routes = slices.DeleteFunc(state.Routes, func(route *wire.Route) bool { return route == removed && removed.Prefix != family.Prefix })
	}},
	{"renamed", func(c *RouteChanges, _ *wire.DesiredState, family RouteFamily, routes []*wire.Route) {
		pick(c.rng, routes).Name = fmt.Sprintf("%s-%d", family.Kind, c.Changes)
	}},
}

// KindCount is the number of different changes there are.
func (c *RouteChanges) KindCount() int { return len(c.families) * len(routeChanges) }

// Next makes the next state of the last, with one change to a family's routes.
func (c *RouteChanges) Next() *wire.DesiredState {
	family := pick(c.rng, c.families)
	return c.apply(family, pick(c.rng, routeChanges))
}

// ApplyEach makes one change of each kind to each family's routes, one after the other, and hands each state over.
func (c *RouteChanges) ApplyEach(visit func(state *wire.DesiredState) error) error {
	for _, family := range c.families {
		for _, change := range routeChanges {
			c.State = c.apply(family, change)
			if err := visit(c.State); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *RouteChanges) apply(family RouteFamily, change routeChange) *wire.DesiredState {
	c.Changes++
	state := proto.CloneOf(c.State)
	var routes []*wire.Route
	for _, route := range state.Routes {
		if route.Method == family.Method && (route.Prefix == family.Prefix || len(route.Prefix) == len(family.Prefix)+2 && strings.HasPrefix(route.Prefix, family.Prefix)) {
			routes = append(routes, route)
		}
	}
	change.apply(c, state, family, routes)
	state.Note = fmt.Sprint("change ", c.Changes)
	c.Counts[family.Kind+" "+change.name]++
	return state
}
