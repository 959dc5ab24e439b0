package workload_test

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"snowflow/internal/config"
	"snowflow/internal/transport/wire"
	"snowflow/internal/workload"
)

var families = []workload.RouteFamily{
	{Kind: "submission", Method: "POST", Prefix: "/submissions/", Service: "one", Alternate: "two"},
	{Kind: "batch", Method: "GET", Prefix: "/batches/", Service: "three", Alternate: "four"},
}

func newChanges(seed uint64) *workload.RouteChanges {
	state := &wire.DesiredState{Groups: []*wire.Group{{Name: "group"}}}
	for _, family := range families {
		for _, name := range []string{family.Service, family.Alternate} {
			state.Groups[0].Services = append(state.Groups[0].Services, &wire.Service{Name: name})
		}
		state.Routes = append(state.Routes, family.GeneralRoute())
	}
	return workload.NewRouteChanges(state, families, rand.New(rand.NewPCG(seed, 0)))
}

// checkState checks that a state is a valid configuration and contains each family's general route.
func checkState(t *testing.T, state *wire.DesiredState) {
	t.Helper()
	if _, faults := config.Parse(workload.EncodeState(state)); len(faults) > 0 {
		t.Errorf("%s: %v", state.Note, faults)
	}
	for _, family := range families {
		if !slices.ContainsFunc(state.Routes, func(route *wire.Route) bool { return route.Method == family.Method && route.Prefix == family.Prefix }) {
			t.Errorf("%s: %s has no general route", state.Note, family.Kind)
		}
	}
}

func TestChangesKeepStatesValid(t *testing.T) {
	for seed := range uint64(20) {
		changes := newChanges(seed)
		for range 100 {
			before := workload.EncodeState(changes.State)
			next := changes.Next()
			if !bytes.Equal(before, workload.EncodeState(changes.State)) {
				t.Fatalf("seed %d: Next modified State", seed)
			}
			checkState(t, next)
			changes.State = next
		}
	}
}

func TestApplyEachMakesEveryKind(t *testing.T) {
	changes, visited := newChanges(1), 0
	err := changes.ApplyEach(func(state *wire.DesiredState) error {
		visited++
		checkState(t, state)
		return nil
	})
	if err != nil || visited != changes.CombinationCount() || len(changes.Counts) != changes.CombinationCount() {
		t.Errorf("%d states visited, %d of %d combinations counted, error %v", visited, len(changes.Counts), changes.CombinationCount(), err)
	}
}

func TestSameSeedGivesSameChanges(t *testing.T) {
	first, second := newChanges(7), newChanges(7)
	for range 200 {
		first.State, second.State = first.Next(), second.Next()
	}
	if !bytes.Equal(workload.EncodeState(first.State), workload.EncodeState(second.State)) {
		t.Error("the same seed gave different changes")
	}
}
