package localbackends_test

import (
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/simulation/world"
)

// TestPlacesOutliveRegistration: a backend that registers again under its instance, as after its carrier was slow to
// answer a beat, still has the requests that it took before. Its bound on places must count them.
func TestPlacesOutliveRegistration(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
		backends := localbackends.New(place, func() {})
		backend := localbackends.Backend{Service: "forms", Instance: "first", Address: "127.0.0.1:8000"}
		register := func() {
			if err := backends.Register(backend, localbackends.Alive); err != nil {
				t.Error(err)
			}
		}
		enter := func() (func(), *apierror.Fault) {
			_, leave, fault := backends.Enter("first", "forms", 4, false)
			return leave, fault
		}
		register()
		var leaves []func()
		for fault := (*apierror.Fault)(nil); fault == nil; {
			var leave func()
			if leave, fault = enter(); fault == nil {
				leaves = append(leaves, leave)
			}
		}
		if len(leaves) != 3 {
			t.Errorf("%d reads were let in to 4 places, of which a quarter is kept for run-once requests", len(leaves))
		}
		register()
		if _, fault := enter(); fault == nil || fault.Cause != apierror.Overloaded {
			t.Errorf("registered again, it was let in beyond its bound: %v", fault)
		}
		for _, leave := range leaves {
			leave()
		}
		if _, fault := enter(); fault != nil {
			t.Errorf("all had left, and it was refused: %v", fault)
		}
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}
