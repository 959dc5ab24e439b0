package localbackends_test

import (
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/simulation/world"
)

// TestSlotsOutliveRegistration guards against exceeding the limit of a backend that registers again under its instance id, for
// example after its proxy was slow to answer a heartbeat. The backend still runs the requests that were sent to it before, so the
// limit must count them.
func TestSlotsOutliveRegistration(t *testing.T) {
	runInProcess(t, func(_ *world.Host, backends *localbackends.Set) {
		backend := localbackends.Backend{Service: "forms", Instance: "first", Address: "127.0.0.1:8000"}
		register := func() {
			if err := backends.Register(backend, localbackends.Alive); err != nil {
				t.Error(err)
			}
		}
		admit := func() (*localbackends.Slot, *apierror.Error) {
			return backends.AdmitUncounted(localbackends.Request{Instance: "first", Service: "forms"}, 4)
		}
		register()
		var taken []*localbackends.Slot
		for {
			slot, fault := admit()
			if fault != nil {
				break
			}
			taken = append(taken, slot)
		}
		if len(taken) != 3 {
			t.Errorf("%d requests were admitted with a limit of 4, of which a quarter is reserved for run-once requests", len(taken))
		}
		register()
		if _, fault := admit(); fault == nil || fault.Cause != apierror.Overloaded {
			t.Errorf("after the second registration, no request beyond the limit must be admitted: %v", fault)
		}
		for _, slot := range taken {
			slot.Release(slots.Released)
		}
		if _, fault := admit(); fault != nil {
			t.Errorf("rejected with all slots free: %v", fault)
		}
	})
}
