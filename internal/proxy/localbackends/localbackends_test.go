package localbackends_test

import (
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/simulation/world"
)

// TestSlotsOutliveRegistration: a backend that registers again under its instance, as after its carrier was slow to
// answer a beat, still has the requests that it took before. Its bound on places must count them.
func TestSlotsOutliveRegistration(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
		backends := localbackends.New(process, func() {})
		backend := localbackends.Backend{Service: "forms", Instance: "first", Address: "127.0.0.1:8000"}
		register := func() {
			if err := backends.Register(backend, localbackends.Alive); err != nil {
				t.Error(err)
			}
		}
		enter := func() (func(), *apierror.Fault) {
			_, release, fault := backends.Enter("first", "forms", 4, false)
			return release, fault
		}
		register()
		var releases []func()
		for fault := (*apierror.Fault)(nil); fault == nil; {
			var release func()
			if release, fault = enter(); fault == nil {
				releases = append(releases, release)
			}
		}
		if len(releases) != 3 {
			t.Errorf("%d reads were let in to 4 places, of which a quarter is kept for run-once requests", len(releases))
		}
		register()
		if _, fault := enter(); fault == nil || fault.Cause != apierror.Overloaded {
			t.Errorf("registered again, it was let in beyond its bound: %v", fault)
		}
		for _, release := range releases {
			release()
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
