package directory_test

import (
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry/directory"
	"snowflow/internal/transport/wire"
)

type clock struct{ now monotonic.Micros }

func (c *clock) Now() monotonic.Micros { return c.now }

// TestPublishedSlots checks that the directory publishes a backend's slots and whether it is in slow start, but not the remaining time
// of its slow start.
func TestPublishedSlots(t *testing.T) {
	time := &clock{now: monotonic.Minute}
	sessions := directory.New(time, 1)
	version, heartbeat := uint64(0), uint64(0)
	observe := func(slots uint32, slowStart int64, inFlight uint32) (backend *wire.Backend, changed bool) {
		heartbeat++
		time.now += monotonic.Second
		sessions.Observe(&wire.Session{Proxy: "one", Incarnation: 1, Heartbeat: heartbeat, Backends: []*wire.Backend{{Service: "forms", Instance: "first", Condition: "alive", Slots: slots, SlowStart: slowStart, InFlight: inFlight}}}, true)
		update := sessions.UpdateSince(directory.Base{})
		changed, version = update.Version != version, update.Version
		return update.Sessions[0].Backends[0], changed
	}
	for _, test := range []struct {
		name      string
		slots     uint32
		slowStart int64
		inFlight  uint32
		changes   bool
	}{
		{"first heartbeat", 6, 3000000, 0, true},
		{"slow start goes on", 6, 2000000, 4, false},
		{"slow start ended", 6, 0, 4, true},
		{"unchanged", 6, 0, 2, false},
		{"other slots", 8, 0, 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			backend, changed := observe(test.slots, test.slowStart, test.inFlight)
			if changed != test.changes || backend.Slots != test.slots || backend.SlowStart > 0 != (test.slowStart > 0) {
				t.Errorf("changed %v, published %v", changed, backend)
			}
		})
	}
}
