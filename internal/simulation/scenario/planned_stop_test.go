package scenario

import (
	"testing"

	"snowflow/internal/configstore"
	"snowflow/internal/monotonic"
)

// TestPlannedStopsDelayNoApply checks that an apply right after the planned stop of a proxy or a primary is not delayed: the proxy gives up
// its lease, and the primary transfers the leases to its successor. After a kill the apply waits until the lease has expired.
func TestPlannedStopsDelayNoApply(t *testing.T) {
	for name, injected := range map[string]struct {
		fault   fault
		delayed bool
	}{
		"a proxy's planned stop": {drainProxy, false},
		"a configuration store's planned stop": {fault{"transfer the leadership and end the process", func(mesh *Mesh) {
			node := mesh.primary(configstore.Group)
			mesh.External.Go(func() {
				_ = mesh.transactAt(node.Address, 5*monotonic.Second, func() { mesh.configStores[node.Name].Member.TransferLeadership("planned") })
				mesh.runNow(func() { mesh.World.Kill(node) })
			})
		}}, false},
		"a killed proxy":               {killProxy, true},
		"a killed configuration store": {fault{"kill the primary", func(mesh *Mesh) { mesh.World.Kill(mesh.primary(configstore.Group)) }}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var longest monotonic.Micros
			measuredApply := fault{"apply a desired state and measure the time", func(mesh *Mesh) {
				began := mesh.World.Now()
				mesh.External.Go(func() {
					if accepted(mesh.applyDesired(Desired(0), true, 0, 30*monotonic.Second)) {
						longest = max(longest, mesh.World.Now()-began)
					}
				})
			}}
			faultThenApply := fault{injected.fault.name, func(mesh *Mesh) {
				injected.fault.inject(mesh)
				mesh.after(2*monotonic.Second, func() { measuredApply.inject(mesh) })
			}}
			runMesh(t, Scenario{Name: "planned", Topology: smallTopology, Duration: 20 * monotonic.Second, Rate: 20, FaultInterval: 10 * monotonic.Second,
				InitialFaults: []fault{faultThenApply}, Faults: []fault{noFault}}, 3)
			t.Logf("acknowledged after %d microseconds", longest)
			if longest == 0 || longest > monotonic.Second != injected.delayed {
				t.Errorf("acknowledged after %d microseconds", longest)
			}
		})
	}
}
