package admission

import (
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// TestKeyLeaseAtHandOver guards against a request that runs by a key which was taken away while the request waited for its slot, its claim
// or a frozen process: the sender's lease on the keys is judged again at the last moment.
func TestKeyLeaseAtHandOver(t *testing.T) {
	for name, test := range map[string]struct {
		lease, wait monotonic.Micros
		rejected    bool
	}{
		"no lease needed": {0, 10 * monotonic.Second, false},
		"within it":       {monotonic.Second, 990 * monotonic.Millisecond, false},
		"at its end":      {monotonic.Second, 1010 * monotonic.Millisecond, true},
		"long after it":   {1, 10 * monotonic.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			runProcess(t, func(process *world.Host) {
				controller := newClaimController(process, &fakeRegistry{process: process})
				waiting := &execution{req: &wire.ForwardRequest{KeyLease: int64(test.lease)}, received: process.Now()}
				process.Sleep(test.wait)
				fault := controller.checkKeyLease(waiting)
				if (fault != nil) != test.rejected || fault != nil && (fault.Cause != apierror.KeyLeaseExpired || !fault.NotRun()) {
					t.Errorf("after %d us: %v", test.wait, fault)
				}
			})
		})
	}
}
