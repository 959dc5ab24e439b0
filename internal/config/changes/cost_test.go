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

// stateWithRoutes returns a configuration of so many routes on a hundred hosts, of which the first altered ones lead elsewhere.
func stateWithRoutes(routes, altered int) *wire.DesiredState {
	state := &wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "submission"}, {Name: "correction"}, {Name: "batches"}}}}}
	for number := range routes {
		service := "submission"
		if number < altered {
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

// TestCostGoesByTheChange checks that what is sent for a change and what a proxy allocates for it depend on the size of the change and
// not of the configuration.
func TestCostGoesByTheChange(t *testing.T) {
	lengths, objects := map[int]int{}, map[int]float64{}
	for _, routes := range []int{10, 100, 1000, 10000} {
		base, next := stateWithRoutes(routes, 0), stateWithRoutes(routes, 1)
		from, to := read(t, base), read(t, next)
		content, snapshot := encode(t, from, to), config.Compile(base, 1, "")
		lengths[routes] = len(content)
		objects[routes] = testing.AllocsPerRun(20, func() {
			step, err := changes.Apply(from, content)
			if err == nil {
				_, err = snapshot.With(step.Change, 2, "")
			}
			if err != nil {
				t.Fatal(err)
			}
		})
		full := len(marshal(t, next))
		t.Logf("1 of %d routes: difference %d bytes, full %d bytes, %.1f ms against %.1f ms on a link of 5 Mbit/s; %.0f allocations", routes, len(content), full,
			float64(len(content))*8/5e3, float64(full)*8/5e3, objects[routes])
		if len(content)*10 > full && routes >= 100 {
			t.Errorf("1 of %d routes: %d bytes of %d", routes, len(content), full)
		}
	}
	if lengths[10000] > lengths[10]+20 || objects[10000] > 3*objects[10] {
		t.Errorf("%v bytes, %v objects", lengths, objects)
	}
	for _, altered := range []int{10, 100, 1000} {
		length := len(encode(t, read(t, stateWithRoutes(10000, 0)), read(t, stateWithRoutes(10000, altered))))
		t.Logf("%d of 10000 routes: difference %d bytes", altered, length)
		if length > altered*lengths[10000] {
			t.Errorf("%d of 10000 routes: %d bytes", altered, length)
		}
	}
}

// BenchmarkTakeUp measures what a proxy does for a change of one route: by a difference, by the full content, and by the full content
// without sharing anything with the version before.
func BenchmarkTakeUp(b *testing.B) {
	for _, routes := range []int{10, 100, 1000, 10000} {
		base, next := stateWithRoutes(routes, 0), stateWithRoutes(routes, 1)
		from := read(b, base)
		difference, full, snapshot := encode(b, from, read(b, next)), marshal(b, next), config.Compile(base, 1, "")
		for _, test := range []struct {
			name    string
			content []byte
			take    func() (*config.Snapshot, error)
		}{
			{"difference", difference, func() (*config.Snapshot, error) {
				step, err := changes.Apply(from, difference)
				if err != nil {
					return nil, err
				}
				return snapshot.With(step.Change, 2, "")
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
					if _, err := test.take(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(test.content)), "bytes")
			})
		}
	}
}

// BenchmarkDiff measures what the primary does once for all proxies with the same base, when both versions are parsed already.
func BenchmarkDiff(b *testing.B) {
	for _, routes := range []int{10, 100, 1000, 10000} {
		from, to := read(b, stateWithRoutes(routes, 0)), read(b, stateWithRoutes(routes, 1))
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				encode(b, from, to)
			}
		})
	}
}
