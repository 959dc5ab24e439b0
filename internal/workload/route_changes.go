package workload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
)

// RegionsPerFamily is the number of regions in a family. A region is a one-digit number that follows the family's prefix in a path
// and may have its own route.
const RegionsPerFamily = 10

// RouteFamily is a kind of traffic and describes its routes.
type RouteFamily struct {
	Kind   string // the name of the kind of traffic and of its general route
	Method string
	Prefix string // the prefix of the paths; ends with a slash
	// Service and Alternate are the target services of the routes. Alternate is empty if the routes never change.
	Service, Alternate string
}

// GeneralRoute returns the family's general route. Requests other than GET are executed at most once.
func (f RouteFamily) GeneralRoute() *wire.Route {
	route := &wire.Route{
		Name:   f.Kind,
		Method: f.Method,
		Prefix: f.Prefix,
		Class:  wire.Path_read,
		Split:  []*wire.Share{{Service: f.Service, Weight: 1}},
	}
	if f.Method != http.MethodGet {
		route.Class = wire.Path_once
	}
	return route
}

// owns reports whether a route is the family's general route or one of its regional routes.
func (f RouteFamily) owns(route *wire.Route) bool {
	if route.Method != f.Method {
		return false
	}
	regional := len(route.Prefix) == len(f.Prefix)+len("0/") && strings.HasPrefix(route.Prefix, f.Prefix)
	return route.Prefix == f.Prefix || regional
}

// RouteChanges generates desired states, each by one change to the previous one.
type RouteChanges struct {
	// State is the state that the next change starts from. Callers set it to the state that was submitted last or, if operators
	// submitted concurrently, to the one that was accepted. It must contain each family's general route.
	State *wire.DesiredState
	// Changes is the number of changes made, including those that had no effect.
	Changes int
	// Counts holds the number of changes by the family's kind and the change's name, separated by a space.
	Counts   map[string]int
	families []RouteFamily
	rng      *rand.Rand
}

// NewRouteChanges returns a generator that starts from a state and changes the routes of families, each of which has an Alternate.
func NewRouteChanges(state *wire.DesiredState, families []RouteFamily, rng *rand.Rand) *RouteChanges {
	return &RouteChanges{State: state, Counts: map[string]int{}, families: families, rng: rng}
}

// CombinationCount returns the number of combinations of a family and a kind of change.
func (c *RouteChanges) CombinationCount() int { return len(c.families) * len(routeChanges) }

// Next returns a copy of State with a random change to a random family's routes. It does not modify State.
func (c *RouteChanges) Next() *wire.DesiredState {
	family := pick(c.rng, c.families)
	return c.apply(family, pick(c.rng, routeChanges))
}

// ApplyEach makes one change of each kind to each family's routes, one after another, and calls visit with each new State. It stops
// at the first error of visit and returns it.
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

// apply returns a copy of State with a change to a family's routes.
func (c *RouteChanges) apply(family RouteFamily, change routeChange) *wire.DesiredState {
	c.Changes++
	state := proto.CloneOf(c.State)
	var routes []*wire.Route
	for _, route := range state.Routes {
		if family.owns(route) {
			routes = append(routes, route)
		}
	}
	change.apply(c, state, family, routes)
	state.Note = fmt.Sprint("change ", c.Changes)
	c.Counts[family.Kind+" "+change.name]++
	return state
}

// EncodeState returns a state as compact JSON. The same state always gives the same bytes; protojson alone varies its whitespace.
// EncodeState panics if the state cannot be encoded, for example because a name is not valid UTF-8.
func EncodeState(state *wire.DesiredState) []byte {
	content, err := protojson.Marshal(state)
	if err != nil {
		panic(err)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, content); err != nil {
		panic(err)
	}
	return compact.Bytes()
}

func pick[Item any](rng *rand.Rand, items []Item) Item { return items[rng.IntN(len(items))] }
