package scenario

import (
	"testing"

	"snowflow/internal/monotonic"
)

// TestClaimCost measures what claiming idempotency keys adds to latencies at a deployment's rate of submissions, by the time that a
// sync of the core's disks takes. Simulated time makes the figures repeat. The test asserts only that slow disks cause delays and no
// rejections.
func TestClaimCost(t *testing.T) {
	for _, sync := range []monotonic.Micros{200, 5 * monotonic.Millisecond, 20 * monotonic.Millisecond, 100 * monotonic.Millisecond} {
		result := Run(Scenario{Name: "claims", Topology: fourZoneTopology, Duration: 15 * monotonic.Second, Rate: 260, FaultInterval: monotonic.Minute, SyncDuration: sync, Faults: []fault{applyConfig}}, 1, Defects{})
		if len(result.Findings) > 0 || result.Served != result.Sent {
			t.Errorf("sync %d: %d of %d served, %v", sync, result.Served, result.Sent, result.Findings)
		}
		formMedian, formP99 := percentiles(result.Latencies["form"])
		submissionMedian, submissionP99 := percentiles(result.Latencies["submission"])
		t.Logf("sync %d: form p50 %d p99 %d, submission p50 %d p99 %d microseconds", sync, formMedian, formP99, submissionMedian, submissionP99)
	}
}
