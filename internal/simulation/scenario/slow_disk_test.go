package scenario

import (
	"fmt"
	"strings"
	"testing"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
)

// slowAndDown gives the disk of one core machine a sync duration and kills another machine, both by index, until the end of the run.
func slowAndDown(slow, down int, sync monotonic.Micros) fault {
	return fault{"slow one core machine and end another", func(mesh *Mesh) {
		for _, node := range mesh.coreNodes(mesh.coreMachines[slow]) {
			node.Disk.SyncDelay = sync
		}
		for _, node := range mesh.coreNodes(mesh.coreMachines[down]) {
			mesh.World.Kill(node)
		}
	}}
}

// TestVerdictOnSlowDisk: services fail and recover while one core machine is slow and another down. Proxies must still go by the shared
// verdict, and not fall back to their own windows with every write or probe that waits for a sync.
func TestVerdictOnSlowDisk(t *testing.T) {
	t.Parallel()
	_, result := runMesh(t, Scenario{Name: "slow verdicts", Topology: smallTopology, Duration: 60 * monotonic.Second, Rate: 40, FaultInterval: 6 * monotonic.Second, Rules: []int{10},
		InitialFaults: []fault{slowAndDown(0, 1, 400*monotonic.Millisecond), failService, noFault, failService}, Faults: []fault{noFault, failService}}, 1)
	degraded, changed := 0, 0
	for _, line := range result.Log {
		degraded += strings.Count(line, fmt.Sprintf(" %d {", eventlog.BreakerDegraded))
		changed += strings.Count(line, fmt.Sprintf(" %d {", eventlog.BreakerStateChanged))
	}
	t.Logf("%d changes of a shared verdict observed, %d times degraded", changed, degraded)
	if changed == 0 || degraded > 60 {
		t.Errorf("%d changes of a shared verdict observed, %d times degraded", changed, degraded)
	}
}

// TestSlowAndDown: of three core machines one has a slow disk and another is down. The remaining two are a majority, so every write must
// succeed, if late. Syncs are simulated, so the figures repeat.
func TestSlowAndDown(t *testing.T) {
	for _, sync := range []monotonic.Micros{300 * monotonic.Millisecond, 600 * monotonic.Millisecond} {
		for slow := range 2 {
			t.Run(fmt.Sprintf("%d/%d", sync, slow), func(t *testing.T) {
				t.Parallel()
				down := slowAndDown(slow, 1-slow, sync)
				_, result := runMesh(t, Scenario{Name: "slow and down", Topology: smallTopology, Duration: 40 * monotonic.Second, Rate: 40, FaultInterval: 2 * monotonic.Second,
					InitialFaults: []fault{down}, Faults: []fault{noFault, applyConfig}}, 1)
				median, p99 := percentiles(result.Latencies["submission"])
				t.Logf("submissions p50 %d p99 %d microseconds", median, p99)
				if result.Served*10 < result.Sent*9 {
					t.Errorf("only %d of %d were served", result.Served, result.Sent)
				}
			})
		}
	}
}
