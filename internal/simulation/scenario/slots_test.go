package scenario

import (
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
)

// TestClaimsUseNoSlots checks that submissions that wait for their claims while the core is down don't occupy slots of their backends, of
// which there are few.
func TestClaimsUseNoSlots(t *testing.T) {
	t.Parallel()
	powerOff := fault{"power off the core", func(mesh *Mesh) {
		mesh.restartAfter(mesh.allCoreNodes(), 1500*monotonic.Millisecond, mesh.World.PowerLoss)
	}}
	mesh, result := runMesh(t, Scenario{Name: "few slots", Topology: smallTopology, Duration: 40 * monotonic.Second, Rate: 40, FaultInterval: 8 * monotonic.Second, InitialFaults: []fault{powerOff}, Faults: []fault{noFault},
		DesiredState: desiredWithFewSlots}, 1)
	overloaded, longest := 0, monotonic.Micros(0)
	for _, attempt := range mesh.History.Attempts {
		if attempt.Cause == int(apierror.Overloaded) || attempt.Cause == int(apierror.RetryBudgetExhausted) {
			overloaded++
		}
		longest = max(longest, attempt.Ended-attempt.Sent)
	}
	t.Logf("%d of %d served, %d rejected without a free slot, the longest took %d microseconds", result.Served, result.Sent, overloaded, longest)
	if overloaded > 0 || longest < monotonic.Second {
		t.Errorf("%d rejected without a free slot, the longest took %d microseconds", overloaded, longest)
	}
}

// TestSlots checks that backends never get more concurrent requests than the number of slots that they report, also while claims take long,
// while some backends lose responses and while backends drain. Reads are still served while no key can be claimed.
func TestSlots(t *testing.T) {
	t.Parallel()
	for name, scenario := range map[string]Scenario{
		"core": {InitialFaults: []fault{{"power off the core", func(mesh *Mesh) {
			mesh.restartAfter(mesh.allCoreNodes(), 1500*monotonic.Millisecond, mesh.World.PowerLoss)
		}}}},
		"mixed": {InitialFaults: []fault{{"mixed backends", func(mesh *Mesh) {
			for _, backend := range mesh.liveBackends("") {
				backend.behavior = mixed
			}
		}}}},
		"leaving": {InitialFaults: []fault{{"backends leave", func(mesh *Mesh) {
			for _, service := range []string{"forms", "households"} {
				backend := mesh.liveBackends(service)[0]
				mesh.drainBackend(backend)
				mesh.startBackend(service, backend.proxy, backend.address+"0", 0)
			}
		}}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mesh *Mesh
			scenario.Name, scenario.Duration, scenario.Rate, scenario.FaultInterval, scenario.Faults = "slots", 40*monotonic.Second, 60, 8*monotonic.Second, []fault{noFault}
			scenario.Topology = smallTopology
			scenario.Topology.Slots = 3
			scenario.Prepare = func(built *Mesh) {
				mesh = built
				mesh.workDuration = 60 * monotonic.Millisecond
			}
			result := Run(scenario, 1, Defects{})
			for _, finding := range result.Findings {
				t.Error(finding)
			}
			forms, rejected, overloaded, maxInFlight := 0, 0, 0, 0
			for _, attempt := range mesh.History.Attempts {
				if attempt.Cause == int(apierror.Overloaded) {
					overloaded++
				}
				if attempt.Kind == "form" {
					forms++
					if attempt.RejectedByMesh {
						rejected++
					}
				}
			}
			for _, backend := range mesh.backends {
				maxInFlight = max(maxInFlight, backend.maxInFlight)
			}
			t.Logf("%d of %d served; %d rejected without a free slot; %d of %d reads rejected; at most %d concurrent requests at a backend", result.Served, result.Sent, overloaded, rejected, forms, maxInFlight)
			if maxInFlight != 3 {
				t.Errorf("at most %d concurrent requests at a backend with 3 slots", maxInFlight)
			}
			if name == "core" && rejected*50 > forms {
				t.Errorf("%d of %d reads rejected while no key could be claimed", rejected, forms)
			}
		})
	}
}
