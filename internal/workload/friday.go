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

// Family is a kind of traffic whose routes change, with the other service that may take it over.
type Family struct{ Kind, Method, Prefix, Service, Other string }

// Regions are the parts of a family that a route of their own may be added for.
const Regions = 10

// Day are the desired states that operators make one of the other.
// Invariant: State is the last that was handed in, or the last that won a race; each family has its general route in it.
type Day struct {
	State    *wire.DesiredState
	Changes  int
	Counts   map[string]int // of the changes made, by the family's kind and what they do
	families []Family
	chance   *rand.Rand
}

// New begins a day with a state.
func New(state *wire.DesiredState, families []Family, chance *rand.Rand) *Day {
	return &Day{State: state, Counts: map[string]int{}, families: families, chance: chance}
}

// Route is a family's general route.
func (family Family) Route() *wire.Route {
	route := &wire.Route{Name: family.Kind, Method: family.Method, Prefix: family.Prefix, Class: wire.Path_read, Split: []*wire.Share{{Service: family.Service, Weight: 1}}}
	if family.Method != "GET" {
		route.Class = wire.Path_once
	}
	return route
}

// Content writes a state down; the JSON library varies its white space.
func Content(state *wire.DesiredState) []byte {
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

func pick[Item any](chance *rand.Rand, items []Item) Item { return items[chance.IntN(len(items))] }

// alteration is something that may be done to a family's routes, own being those that it has.
type alteration struct {
	name string
	make func(day *Day, state *wire.DesiredState, one Family, own []*wire.Route)
}

var alterations = []alteration{
	{"moved", func(day *Day, _ *wire.DesiredState, one Family, own []*wire.Route) {
		route := pick(day.chance, own)
		to := map[string]string{one.Service: one.Other, one.Other: one.Service}[route.Split[0].Service]
		route.Split = []*wire.Share{{Service: to, Weight: 1}}
	}},
	{"weights", func(day *Day, _ *wire.DesiredState, one Family, own []*wire.Route) {
		pick(day.chance, own).Split = []*wire.Share{{Service: one.Service, Weight: uint32(1 + day.chance.IntN(9))}, {Service: one.Other, Weight: uint32(day.chance.IntN(9))}}
	}},
	{"time-out", func(day *Day, _ *wire.DesiredState, _ Family, own []*wire.Route) {
		pick(day.chance, own).CutoffMicros = proto.Int64((3 * time.Second).Microseconds() + int64(day.chance.Uint64N(uint64((2 * time.Second).Microseconds()))))
	}},
	{"added", func(day *Day, state *wire.DesiredState, one Family, own []*wire.Route) {
		prefix := fmt.Sprintf("%s%d/", one.Prefix, day.chance.IntN(Regions))
		if !slices.ContainsFunc(own, func(route *wire.Route) bool { return route.Prefix == prefix }) {
			state.Routes = append(state.Routes, &wire.Route{Name: fmt.Sprintf("%s-%d", one.Kind, day.Changes), Method: one.Method, Prefix: prefix, Class: own[0].Class,
				Split: []*wire.Share{{Service: pick(day.chance, []string{one.Service, one.Other}), Weight: 1}}})
		}
	}},
	{"removed", func(day *Day, state *wire.DesiredState, one Family, own []*wire.Route) {
		// The family's general route stays, so its requests still have one.
		gone := pick(day.chance, own)
		state.Routes = slices.DeleteFunc(state.Routes, func(route *wire.Route) bool { return route == gone && gone.Prefix != one.Prefix })
	}},
	{"renamed", func(day *Day, _ *wire.DesiredState, one Family, own []*wire.Route) {
		pick(day.chance, own).Name = fmt.Sprintf("%s-%d", one.Kind, day.Changes)
	}},
}

// Kinds is the number of different changes there are.
func (day *Day) Kinds() int { return len(day.families) * len(alterations) }

// Alter makes the next state of the last, with one change to a family's routes.
func (day *Day) Alter() *wire.DesiredState {
	one := pick(day.chance, day.families)
	return day.alter(one, pick(day.chance, alterations))
}

// Each makes one change of each kind to each family's routes, one after the other, and hands each state over.
func (day *Day) Each(take func(state *wire.DesiredState) error) error {
	for _, one := range day.families {
		for _, chosen := range alterations {
			day.State = day.alter(one, chosen)
			if err := take(day.State); err != nil {
				return err
			}
		}
	}
	return nil
}

func (day *Day) alter(one Family, chosen alteration) *wire.DesiredState {
	day.Changes++
	state := proto.CloneOf(day.State)
	var own []*wire.Route
	for _, route := range state.Routes {
		if route.Method == one.Method && (route.Prefix == one.Prefix || len(route.Prefix) == len(one.Prefix)+2 && strings.HasPrefix(route.Prefix, one.Prefix)) {
			own = append(own, route)
		}
	}
	chosen.make(day, state, one, own)
	state.Note = fmt.Sprint("change ", day.Changes)
	day.Counts[one.Kind+" "+chosen.name]++
	return state
}
