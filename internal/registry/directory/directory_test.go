package directory_test

import (
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry/directory"
	"snowflow/internal/transport/wire"
)

type clock struct{ now monotonic.Micros }

func (c *clock) Now() monotonic.Micros { return c.now }

// TestPublishedSlots: carriers hear of a backend's slots and whether it's warming up, but not of every beat of its warm-up.
func TestPublishedSlots(t *testing.T) {
	time := &clock{now: monotonic.Minute}
	sessions := directory.New(time, 1)
	version, heartbeat := uint64(0), uint64(0)
	observe := func(slots uint32, warmUp int64, inFlight uint32) (backend *wire.Backend, changed bool) {
		heartbeat++
		time.now += monotonic.Second
		sessions.Observe(&wire.Session{Proxy: "one", Incarnation: 1, Heartbeat: heartbeat, Backends: []*wire.Backend{{Service: "forms", Instance: "first", Condition: "alive", Slots: slots, SlowStart: warmUp, InFlight: inFlight}}}, true)
		update := sessions.UpdateSince(directory.Base{})
		changed, version = update.Version != version, update.Version
		return update.Sessions[0].Backends[0], changed
	}
	for _, test := range []struct {
		name     string
		slots    uint32
		warmUp   int64
		inFlight uint32
		changes  bool
	}{
		{"the first word", 6, 3000000, 0, true},
		{"warming on", 6, 2000000, 4, false},
		{"warm", 6, 0, 4, true},
		{"warm as before", 6, 0, 2, false},
		{"other slots", 8, 0, 2, true},
	} {
		backend, changed := observe(test.slots, test.warmUp, test.inFlight)
		if changed != test.changes || backend.Slots != test.slots || backend.SlowStart > 0 != (test.warmUp > 0) {
			t.Errorf("%s: changed %v, shown %v", test.name, changed, backend)
		}
	}
}
