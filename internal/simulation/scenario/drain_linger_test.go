package scenario

import (
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
)

// TestLingeringProxyKeepsBackends: while a proxy that stops as planned lingers, so that its callers can move elsewhere, the backend
// beside it stays eligible for all proxies. Here it is the only one of its service.
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
	served, missing := 0, 0
	for _, attempt := range mesh.History.Attempts {
		if attempt.Kind != "form" || attempt.Sent < stopped || attempt.Sent >= stopped+linger {
			continue
		}
		served++
		if attempt.RejectedByMesh && apierror.Cause(attempt.Cause) == apierror.NoBackend {
			missing++
		}
	}
	t.Logf("stopped at %d, ended %d later; %d forms meanwhile, %d without a backend", stopped, ended-stopped, served, missing)
	if served < 20 || missing > 0 {
		t.Errorf("%d of %d forms found no backend while its proxy lingered", missing, served)
	}
	if ended-stopped > linger+monotonic.Second {
		t.Errorf("it ended %d microseconds after its stop was requested", ended-stopped)
	}
}
