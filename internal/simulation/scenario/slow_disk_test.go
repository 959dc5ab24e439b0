package scenario

import (
	"fmt"
	"strings"
	"testing"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
)

// slowAndDown sets the sync duration of one core machine's disks and kills another machine's processes for the rest of the run. slow and
// down are the indexes of the machines.
func slowAndDown(slow, down int, sync monotonic.Micros) fault {
	return fault{"slow one core machine and kill another", func(mesh *Mesh) {
		for _, node := range mesh.coreNodes(mesh.coreMachines[slow]) {
			node.Disk.SyncDelay = sync
		}
		for _, node := range mesh.coreNodes(mesh.coreMachines[down]) {
			mesh.World.Kill(node)
		}
	}}
}

// TestVerdictOnSlowDisk lets services fail and recover while one core machine is slow and another is down. Proxies must still use the state
// of the shared breaker, and not fall back to their own windows whenever a write or a probe waits for a sync.
func TestVerdictOnSlowDisk(t *testing.T) {
	t.Parallel()
	_, result := runMesh(t, Scenario{Name: "slow verdicts", Topology: smallTopology, Duration: 60 * monotonic.Second, Rate: 40, FaultInterval: 6 * monotonic.Second, Rules: []int{10},
		InitialFaults: []fault{slowAndDown(0, 1, 400*monotonic.Millisecond), failService, noFault, failService}, Faults: []fault{noFault, failService}}, 1)
	fallbacks, changed := 0, 0
	for _, line := range result.Log {
		fallbacks += strings.Count(line, fmt.Sprintf(" %d {", eventlog.BreakerDegraded))
		changed += strings.Count(line, fmt.Sprintf(" %d {", eventlog.BreakerStateChanged))
	}
	t.Logf("%d changes of a shared breaker's state observed, %d fallbacks to own windows", changed, fallbacks)
	if changed == 0 || fallbacks > 60 {
		t.Errorf("%d changes of a shared breaker's state observed, %d fallbacks to own windows", changed, fallbacks)
	}
}

// TestSlowAndDown checks that writes succeed, if late, while one of three core machines has slow disks and another is down: the two that
// are up are a majority. The time is simulated, so the figures are reproducible.
func TestSlowAndDown(t *testing.T) {
	for _, sync := range []monotonic.Micros{300 * monotonic.Millisecond, 600 * monotonic.Millisecond} {
		for slow := range 2 {
			t.Run(fmt.Sprintf("%d/%d", sync, slow), func(t *testing.T) {
				t.Parallel()
				injected := slowAndDown(slow, 1-slow, sync)
				_, result := runMesh(t, Scenario{Name: "slow and down", Topology: smallTopology, Duration: 40 * monotonic.Second, Rate: 40, FaultInterval: 2 * monotonic.Second,
					InitialFaults: []fault{injected}, Faults: []fault{noFault, applyConfig}}, 1)
				median, p99 := percentiles(result.Latencies["submission"])
				t.Logf("submissions p50 %d p99 %d microseconds", median, p99)
				if result.Served*10 < result.Sent*9 {
					t.Errorf("only %d of %d were served", result.Served, result.Sent)
				}
			})
		}
	}
}
