package directory_test

import (
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry/directory"
	"snowflow/internal/transport/wire"
)

type clock struct{ now monotonic.Micros }

func (clock *clock) Now() monotonic.Micros { return clock.now }

// TestShownSlots: carriers hear of a backend's slots and whether it's warming up, but not of every beat of its warm-up.
func TestShownSlots(t *testing.T) {
	time := &clock{now: monotonic.Minute}
	sessions := directory.New(time, 1)
	serial, beat := uint64(0), uint64(0)
	tell := func(slots uint32, warm int64, inFlight uint32) (backend *wire.Backend, changed bool) {
		beat++
		time.now += monotonic.Second
		sessions.Tell(&wire.Session{Proxy: "one", Incarnation: 1, Heartbeat: beat, Backends: []*wire.Backend{{Service: "forms", Instance: "first", Condition: "alive", Slots: slots, SlowStart: warm, InFlight: inFlight}}}, true)
		view := sessions.View(directory.Base{})
		changed, serial = view.Serial != serial, view.Serial
		return view.Sessions[0].Backends[0], changed
	}
	for _, row := range []struct {
		what     string
		slots    uint32
		warm     int64
		inFlight uint32
		changes  bool
	}{
		{"the first word", 6, 3000000, 0, true},
		{"warming on", 6, 2000000, 4, false},
		{"warm", 6, 0, 4, true},
		{"warm as before", 6, 0, 2, false},
		{"other slots", 8, 0, 2, true},
	} {
		backend, changed := tell(row.slots, row.warm, row.inFlight)
		if changed != row.changes || backend.Slots != row.slots || backend.SlowStart > 0 != (row.warm > 0) {
			t.Errorf("%s: changed %v, shown %v", row.what, changed, backend)
		}
	}
}
