package scenario

import (
	"fmt"
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
)

// TestFrozenProxy freezes a proxy with local backends for longer than any deadline. Requests that other proxies have forwarded to it must
// end when it is found unresponsive, not at their deadlines.
func TestFrozenProxy(t *testing.T) {
	t.Parallel()
	frozen := fault{"freeze a proxy for long", func(mesh *Mesh) {
		mesh.World.Freeze(mesh.World.Node(mesh.proxyNames[1]), 12*monotonic.Second)
	}}
	mesh, _ := runMesh(t, Scenario{Name: "quiet", Topology: smallTopology, Duration: 40 * monotonic.Second, Rate: 40, FaultInterval: 6 * monotonic.Second,
		InitialFaults: []fault{frozen}, Faults: []fault{noFault}}, 1)
	longest, count := monotonic.Micros(0), 0
	for _, attempt := range mesh.History.Attempts {
		if attempt.Proxy == mesh.proxyNames[1] || attempt.Ended == 0 {
			continue
		}
		count++
		longest = max(longest, attempt.Ended-attempt.Sent)
		if attempt.Ended-attempt.Sent > 2500*monotonic.Millisecond {
			t.Errorf("%s took %d microseconds and ended with %d, cause %d", attempt.ID, attempt.Ended-attempt.Sent, attempt.Status, attempt.Cause)
		}
	}
	t.Logf("%d requests at other proxies, the longest took %d microseconds", count, longest)
	if count == 0 {
		t.Error("no request was sent to the other proxies")
	}
}

// TestRestartedRegistry kills the registries in turn, which restart with empty directories. A proxy must not remove known backends from its
// directory because a restarted registry hasn't learned of them yet.
func TestRestartedRegistry(t *testing.T) {
	t.Parallel()
	turn := 0
	kill := fault{"kill the next registry", func(mesh *Mesh) {
		turn++
		node := mesh.World.Node(fmt.Sprintf("sorter-%d", turn%3+1))
		mesh.restartAfter([]*world.Node{node}, 100*monotonic.Millisecond, mesh.World.Kill)
	}}
	mesh, result := runMesh(t, Scenario{Name: "restarted registries", Topology: smallTopology, Duration: 60 * monotonic.Second, Rate: 60, FaultInterval: 3 * monotonic.Second,
		Faults: []fault{kill}}, 1)
	rejected := 0
	for _, attempt := range mesh.History.Attempts {
		if attempt.Cause == int(apierror.NoBackend) {
			rejected++
		}
	}
	t.Logf("%d of %d served, %d rejected without a backend, %d registries killed", result.Served, result.Sent, rejected, turn)
	if rejected > 0 || turn < 10 {
		t.Errorf("%d rejected without a backend, %d registries killed", rejected, turn)
	}
}

// TestRetryAfterIsSpread partitions all proxies from the core for 30 s, while callers retry after the time in Retry-After. It compares the
// highest number of requests per second after the partition with a random Retry-After and with the same Retry-After for all callers.
func TestRetryAfterIsSpread(t *testing.T) {
	const rate, duration = 40, 30 * monotonic.Second
	peakAfterPartition := func(defects Defects) (peak int) {
		var mesh *Mesh
		var healedAt monotonic.Micros
		cut := fault{"partition all proxies from the core", func(mesh *Mesh) {
			healedAt = mesh.World.Now() + duration
			for _, proxyName := range mesh.proxyNames {
				for _, core := range mesh.coreMachines {
					mesh.partitionFor(proxyName, core, true, duration)
				}
			}
		}}
		result := Run(Scenario{Name: "retry after a partition", Topology: smallTopology, Duration: 60 * monotonic.Second, Rate: rate, FaultInterval: 10 * monotonic.Second, InitialFaults: []fault{cut}, Faults: []fault{noFault},
			Prepare: func(built *Mesh) {
				mesh = built
				mesh.honorRetryAfter = true
			}}, 1, defects)
		for _, finding := range result.Findings {
			t.Error(finding)
		}
		perSecond := map[monotonic.Micros]int{}
		for _, attempt := range mesh.History.Attempts {
			if attempt.Sent >= healedAt && attempt.Sent < healedAt+15*monotonic.Second {
				index := (attempt.Sent - healedAt) / monotonic.Second
				perSecond[index]++
				peak = max(peak, perSecond[index])
			}
		}
		return peak
	}
	same, spread := peakAfterPartition(Defects{SameRetryAfter: true}), peakAfterPartition(Defects{})
	t.Logf("most requests in a second after the partition: %d with the same Retry-After, %d with a spread one; %d new ones per second", same, spread, rate)
	if spread == 0 || 2*spread > same {
		t.Errorf("most requests in a second after the partition: %d with the same Retry-After, %d with a spread one", same, spread)
	}
}
