package admission

import (
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// TestKeyLeaseBeforeSend guards against a request that runs with a tenant's key which was revoked while the request waited for its
// slot or its claim, or while the process was frozen: the sender's lease on the keys is checked again right before the request is sent.
func TestKeyLeaseBeforeSend(t *testing.T) {
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
