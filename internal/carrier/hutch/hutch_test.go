package hutch_test

import (
	"testing"

	"snowflow/internal/carrier/hutch"
	"snowflow/internal/host"
	"snowflow/internal/mailround/world"
	"snowflow/internal/postmark"
	"snowflow/internal/seal"
)

// TestPlacesOutliveRegistration: a backend that registers again under its instance, as after its carrier was slow to
// answer a beat, still has the requests that it took before. Its bound on places must count them.
func TestPlacesOutliveRegistration(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Table, error) {
		backends := hutch.New(place, func() {})
		backend := hutch.Backend{Service: "forms", Instance: "first", Address: "127.0.0.1:8000"}
		register := func() {
			if err := backends.Register(backend, hutch.Alive); err != nil {
				t.Error(err)
			}
		}
		enter := func() (func(), *seal.Fault) {
			_, leave, fault := backends.Enter("first", "forms", 4, false)
			return leave, fault
		}
		register()
		var leaves []func()
		for fault := (*seal.Fault)(nil); fault == nil; {
			var leave func()
			if leave, fault = enter(); fault == nil {
				leaves = append(leaves, leave)
			}
		}
		if len(leaves) != 3 {
			t.Errorf("%d reads were let in to 4 places, of which a quarter is kept for run-once requests", len(leaves))
		}
		register()
		if _, fault := enter(); fault == nil || fault.Cause != seal.Overloaded {
			t.Errorf("registered again, it was let in beyond its bound: %v", fault)
		}
		for _, leave := range leaves {
			leave()
		}
		if _, fault := enter(); fault != nil {
			t.Errorf("all had left, and it was refused: %v", fault)
		}
		ended = true
		return host.Table{}, nil
	}))
	simulated.Run(simulated.Now() + postmark.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}
