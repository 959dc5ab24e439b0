package changes_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/transport/wire"
)

// stateWithRoutes returns a configuration with the given number of routes on a hundred hosts. The first changed routes go to another
// service than the rest.
func stateWithRoutes(routes, changed int) *wire.DesiredState {
	state := &wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "submission"}, {Name: "correction"}, {Name: "batches"}}}}}
	for number := range routes {
		service := "submission"
		if number < changed {
			service = "correction"
		}
		state.Routes = append(state.Routes, &wire.Route{Name: fmt.Sprintf("route-%06d", number), Host: fmt.Sprintf("host-%03d.example", number%100), Method: "POST", Prefix: fmt.Sprintf("/households/%06d/", number),
			Class: wire.Path_once, Split: []*wire.Share{{Service: service, Weight: 9}, {Service: "batches", Weight: 1}}, CutoffMicros: proto.Int64(4000000), AimMicros: proto.Int64(800000), MostTries: proto.Uint32(3)})
	}
	return state
}

func marshal(t testing.TB, state *wire.DesiredState) []byte {
	content, err := protojson.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, content); err != nil {
		t.Fatal(err)
	}
	return compact.Bytes()
}

// TestCostOfChange checks that the bytes that are sent and the objects that a proxy allocates for a change depend on the size of the
// change and not on the size of the configuration.
func TestCostOfChange(t *testing.T) {
	lengths, allocations := map[int]int{}, map[int]float64{}
	for _, routes := range []int{10, 100, 1000, 10000} {
		base, next := stateWithRoutes(routes, 0), stateWithRoutes(routes, 1)
		from, to := newSet(t, base), newSet(t, next)
		content, snapshot := encode(t, from, to), config.Compile(base, 1, "")
		lengths[routes] = len(content)
		allocations[routes] = testing.AllocsPerRun(20, func() {
			result, err := changes.Apply(from, content)
			if err == nil {
				_, err = snapshot.With(result.Change, 2, "")
			}
			if err != nil {
				t.Fatal(err)
			}
		})
		full := len(marshal(t, next))
		t.Logf("1 of %d routes: difference %d bytes, full %d bytes, %.1f ms against %.1f ms on a link of 5 Mbit/s; %.0f allocations", routes, len(content), full,
			float64(len(content))*8/5e3, float64(full)*8/5e3, allocations[routes])
		if len(content)*10 > full && routes >= 100 {
			t.Errorf("1 of %d routes: difference %d bytes, full %d bytes", routes, len(content), full)
		}
	}
	if lengths[10000] > lengths[10]+20 || allocations[10000] > 3*allocations[10] {
		t.Errorf("%v bytes, %v allocations", lengths, allocations)
	}
	for _, changed := range []int{10, 100, 1000} {
		length := len(encode(t, newSet(t, stateWithRoutes(10000, 0)), newSet(t, stateWithRoutes(10000, changed))))
		t.Logf("%d of 10000 routes: difference %d bytes", changed, length)
		if length > changed*lengths[10000] {
			t.Errorf("%d of 10000 routes: difference %d bytes, too many", changed, length)
		}
	}
}

// BenchmarkAdopt measures how a proxy adopts a change of one route: from a difference, from the full content, and, as "before", from the
// full content without sharing anything with the previous version.
func BenchmarkAdopt(b *testing.B) {
	for _, routes := range []int{10, 100, 1000, 10000} {
		base, next := stateWithRoutes(routes, 0), stateWithRoutes(routes, 1)
		from := newSet(b, base)
		difference, full, snapshot := encode(b, from, newSet(b, next)), marshal(b, next), config.Compile(base, 1, "")
		for _, test := range []struct {
			name    string
			content []byte
			adopt   func() (*config.Snapshot, error)
		}{
			{"difference", difference, func() (*config.Snapshot, error) {
				result, err := changes.Apply(from, difference)
				if err != nil {
					return nil, err
				}
				return snapshot.With(result.Change, 2, "")
			}},
			{"full", full, func() (*config.Snapshot, error) {
				state, _ := config.ParseAccepted(full)
				set, err := changes.NewSet(state)
				if err != nil {
					return nil, err
				}
				return snapshot.With(changes.SnapshotChange(from, changes.Diff(from, set)), 2, config.Digest(full))
			}},
			{"before", full, func() (*config.Snapshot, error) {
				state, _ := config.ParseAccepted(full)
				return config.Compile(state, 2, config.Digest(full)), nil
			}},
		} {
			b.Run(fmt.Sprintf("%s/%d", test.name, routes), func(b *testing.B) {
				b.ReportAllocs()
				for range b.N {
					if _, err := test.adopt(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(test.content)), "bytes")
			})
		}
	}
}

// BenchmarkDiff measures what the primary does once for all proxies with the same base, given both versions as sets.
func BenchmarkDiff(b *testing.B) {
	for _, routes := range []int{10, 100, 1000, 10000} {
		from, to := newSet(b, stateWithRoutes(routes, 0)), newSet(b, stateWithRoutes(routes, 1))
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				encode(b, from, to)
			}
		})
	}
}
