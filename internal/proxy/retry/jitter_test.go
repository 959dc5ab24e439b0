package retry_test

import (
	"testing"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/retry"
	"snowflow/internal/simulation/world"
)

const ms = monotonic.Millisecond

// TestMeasuredRetryAfterIsUnchanged checks that a Retry-After that was measured from a backend's queue gets no jitter, however
// long rejections have lasted.
func TestMeasuredRetryAfterIsUnchanged(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(node *world.Host) (host.Handlers, error) {
		jitter := retry.NewJitter(node)
		for range 20 {
			jitter.Apply(overloaded(70 * ms))
			measured := overloaded(70 * ms)
			measured.RetryAfterMeasured = true
			jitter.Apply(measured)
			if measured.RetryAfter != 70*ms {
				t.Errorf("Retry-After became %d", measured.RetryAfter)
			}
			node.Sleep(monotonic.Second)
		}
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}
