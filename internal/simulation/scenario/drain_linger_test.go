package scenario

import (
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
)

// TestLingeringProxyKeepsBackends checks that the local backend of a proxy in a planned stop remains eligible for all proxies while that
// proxy lingers, so that its callers can move to other proxies. In this test it is the only backend of its service.
func TestLingeringProxyKeepsBackends(t *testing.T) {
	t.Parallel()
	const linger = 2200 * monotonic.Millisecond
	var stopped, ended monotonic.Micros
	stop := fault{"stop a proxy that lingers", func(mesh *Mesh) {
		name := mesh.liveBackends("forms")[0].proxy
		node, instance := mesh.World.Node(name), mesh.proxies[name]
		end := mesh.History.BeginPlannedChange("planned stop of "+name, mesh.World.Now())
		stopped = mesh.World.Now()
		mesh.External.Go(func() {
			_ = mesh.transactAt(node.Address, 20*monotonic.Second, func() {
				instance.Drain(5300*monotonic.Millisecond, func() { mesh.refusingCallers[name] = true })
				ended = mesh.World.Now()
			})
			mesh.World.Kill(node)
			end(mesh.World.Now())
			mesh.refusingCallers[name] = false
			mesh.World.Start(node)
		})
	}}
	topology := smallTopology
	topology.Backends, topology.Slots, topology.DrainLinger = 1, 6, linger
	mesh, _ := runMesh(t, Scenario{Name: "linger", Topology: topology, Duration: 24 * monotonic.Second, Rate: 60, FaultInterval: 8 * monotonic.Second,
		InitialFaults: []fault{stop}, Faults: []fault{noFault}}, 1)
	forms, unserved := 0, 0
	for _, attempt := range mesh.History.Attempts {
		if attempt.Kind != "form" || attempt.Sent < stopped || attempt.Sent >= stopped+linger {
			continue
		}
		forms++
		if attempt.RejectedByMesh && apierror.Cause(attempt.Cause) == apierror.NoBackend {
			unserved++
		}
	}
	t.Logf("stop requested at %d, ended %d microseconds later; %d forms while the proxy lingered, %d without a backend", stopped, ended-stopped, forms, unserved)
	if forms < 20 || unserved > 0 {
		t.Errorf("%d of %d forms found no backend while the proxy lingered", unserved, forms)
	}
	if ended-stopped > linger+monotonic.Second {
		t.Errorf("the proxy ended %d microseconds after its stop was requested", ended-stopped)
	}
}
