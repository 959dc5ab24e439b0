package scenario

import (
	"fmt"
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
)

// TestFrozenProxy: a proxy with backends is frozen for longer than any deadline. Requests that other proxies forwarded to it must end
// once it is found unresponsive, not at their deadline.
func TestFrozenProxy(t *testing.T) {
	t.Parallel()
	frozen := fault{"freeze a proxy for long", func(mesh *Mesh) {
		mesh.World.Freeze(mesh.World.Node(mesh.proxyNames[1]), 12*monotonic.Second)
	}}
	mesh, _ := runMesh(t, Scenario{Name: "quiet", Topology: smallTopology, Duration: 40 * monotonic.Second, Rate: 40, FaultInterval: 6 * monotonic.Second,
		InitialFaults: []fault{frozen}, Faults: []fault{noFault}}, 1)
	longest, passed := monotonic.Micros(0), 0
	for _, attempt := range mesh.History.Attempts {
		if attempt.Proxy == mesh.proxyNames[1] || attempt.Ended == 0 {
			continue
		}
		passed++
		longest = max(longest, attempt.Ended-attempt.Sent)
		if attempt.Ended-attempt.Sent > 2500*monotonic.Millisecond {
			t.Errorf("%s took %d microseconds and ended with %d, cause %d", attempt.ID, attempt.Ended-attempt.Sent, attempt.Status, attempt.Cause)
		}
	}
	t.Logf("%d requests at healthy proxies, the longest took %d microseconds", passed, longest)
	if passed == 0 {
		t.Error("there were none")
	}
}

// TestRestartedRegistry: registries are killed one after another and come back with empty directories. A proxy must not forget the
// backends that it knows because a registry has only just started to learn of them.
func TestRestartedRegistry(t *testing.T) {
	t.Parallel()
	turn := 0
	kill := fault{"kill the next registry", func(mesh *Mesh) {
		turn++
		node := mesh.World.Node(fmt.Sprintf("sorter-%d", turn%3+1))
		mesh.restartAfter([]*world.Node{node}, 100*monotonic.Millisecond, mesh.World.Kill)
	}}
	mesh, result := runMesh(t, Scenario{Name: "young", Topology: smallTopology, Duration: 60 * monotonic.Second, Rate: 60, FaultInterval: 3 * monotonic.Second,
		Faults: []fault{kill}}, 1)
	forgotten := 0
	for _, attempt := range mesh.History.Attempts {
		if attempt.Cause == int(apierror.NoBackend) {
			forgotten++
		}
	}
	t.Logf("%d of %d served, %d rejected for want of a backend, %d registries killed", result.Served, result.Sent, forgotten, turn)
	if forgotten > 0 || turn < 10 {
		t.Errorf("%d rejected for want of a backend, %d registries killed", forgotten, turn)
	}
}

// TestRetryAfterIsSpread: no proxy reaches the core for half a minute, and callers retry as Retry-After says. The requests in each second
// after the core's return are counted, with Retry-After spread and without.
func TestRetryAfterIsSpread(t *testing.T) {
	const rate, outage = 40, 30 * monotonic.Second
	wave := func(defects Defects) (most int) {
		var mesh *Mesh
		var returnedAt monotonic.Micros
		cut := fault{"cut the core off", func(mesh *Mesh) {
			returnedAt = mesh.World.Now() + outage
			for _, proxyName := range mesh.proxyNames {
				for _, core := range mesh.coreMachines {
					mesh.partitionFor(proxyName, core, true, outage)
				}
			}
		}}
		result := Run(Scenario{Name: "wave", Topology: smallTopology, Duration: 60 * monotonic.Second, Rate: rate, FaultInterval: 10 * monotonic.Second, InitialFaults: []fault{cut}, Faults: []fault{noFault},
			Prepare: func(built *Mesh) {
				mesh = built
				mesh.honorRetryAfter = true
			}}, 1, defects)
		for _, finding := range result.Findings {
			t.Error(finding)
		}
		seconds := map[monotonic.Micros]int{}
		for _, attempt := range mesh.History.Attempts {
			if attempt.Sent >= returnedAt && attempt.Sent < returnedAt+15*monotonic.Second {
				second := (attempt.Sent - returnedAt) / monotonic.Second
				seconds[second]++
				most = max(most, seconds[second])
			}
		}
		return most
	}
	together, spread := wave(Defects{SameRetryAfter: true}), wave(Defects{})
	t.Logf("requests in the worst second after the return: %d together, %d spread; %d a second are sent anew", together, spread, rate)
	if spread == 0 || 2*spread > together {
		t.Errorf("requests in the worst second after the return: %d together, %d spread", together, spread)
	}
}
