package scenario

import (
	"testing"

	"snowflow/internal/monotonic"
)

// TestClaimCost measures how much claiming idempotency keys adds to latencies at the submission rate of a deployment, for several durations
// of a sync of the core's disks. The time is simulated, so the figures are reproducible. The test asserts only that slow disks cause
// delays and no rejections.
func TestClaimCost(t *testing.T) {
	for _, sync := range []monotonic.Micros{200, 5 * monotonic.Millisecond, 20 * monotonic.Millisecond, 100 * monotonic.Millisecond} {
		result := Run(Scenario{Name: "claims", Topology: fourZoneTopology, Duration: 15 * monotonic.Second, Rate: 260, FaultInterval: monotonic.Minute, SyncDuration: sync, Faults: []fault{applyConfig}}, 1, Defects{})
		if len(result.Findings) > 0 || result.Served != result.Sent {
			t.Errorf("sync of %d microseconds: %d of %d served, %v", sync, result.Served, result.Sent, result.Findings)
		}
		formMedian, formP99 := percentiles(result.Latencies["form"])
		submissionMedian, submissionP99 := percentiles(result.Latencies["submission"])
		t.Logf("sync of %d microseconds: form p50 %d p99 %d, submission p50 %d p99 %d microseconds", sync, formMedian, formP99, submissionMedian, submissionP99)
	}
}
