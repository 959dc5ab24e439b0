package scenario

import (
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
)

// TestLingeringProxyKeepsBackends: while a carrier that stops as planned lingers, for its callers to be led elsewhere, the backend
// beside it is as good as before, and others go on choosing it. Here it's the only one of its service.
func TestLingeringProxyKeepsBackends(t *testing.T) {
	t.Parallel()
	const linger = 2200 * monotonic.Millisecond
	var mesh *Mesh
	var stopped, ended monotonic.Micros
	stop := fault{"stop a carrier that lingers", func(mesh *Mesh) {
		name := mesh.liveBackends("forms")[0].proxy
		node, proxyProcess := mesh.World.Node(name), mesh.proxies[name]
		over := mesh.History.BeginPlannedChange("planned stop of "+name, mesh.World.Now())
		stopped = mesh.World.Now()
		mesh.External.Go(func() {
			_, _ = mesh.External.Transact(node.Address, 20*monotonic.Second, func(*world.Node) ([]byte, error) {
				proxyProcess.Drain(5300*monotonic.Millisecond, func() { mesh.refusingCallers[name] = true })
				ended = mesh.World.Now()
				return nil, nil
			})
			mesh.World.Kill(node)
			over(mesh.World.Now())
			mesh.refusingCallers[name] = false
			mesh.World.Start(node)
		})
	}}
	topology := smallTopology
	topology.Backends, topology.Slots, topology.DrainLinger = 1, 6, linger
	result := Run(Scenario{Name: "linger", Sizes: topology, Duration: 24 * monotonic.Second, Rate: 60, FaultInterval: 8 * monotonic.Second,
		InitialFaults: []fault{stop}, Faults: []fault{noFault}, Prepare: func(built *Mesh) { mesh = built }}, 1, Defects{})
	for _, finding := range result.Findings {
		t.Error(finding)
	}
	served, missing := 0, 0
	for _, attempt := range mesh.History.Attempts {
		if attempt.Kind != "form" || attempt.Sent < stopped || attempt.Sent >= stopped+linger {
			continue
		}
		served++
		if attempt.Mesh && apierror.Cause(attempt.Cause) == apierror.NoBackend {
			missing++
		}
	}
	t.Logf("stopped at %d, ended %d later; %d forms meanwhile, %d without a backend", stopped, ended-stopped, served, missing)
	if served < 20 || missing > 0 {
		t.Errorf("%d of %d forms found no backend while its carrier lingered", missing, served)
	}
	if ended-stopped > linger+monotonic.Second {
		t.Errorf("it ended %d microseconds after it was asked to", ended-stopped)
	}
}
