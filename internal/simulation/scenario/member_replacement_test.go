package scenario

import (
	"fmt"
	"slices"
	"testing"

	"snowflow/internal/monotonic"
)

// TestVotersApart starts with two of three core machines in one zone. After a fourth machine has started in a third zone, the voters and
// replicas must be spread over the three zones, so that the loss of the zone with two machines loses nothing acknowledged.
func TestVotersApart(t *testing.T) {
	for _, seed := range seeds(t, 1, 2, 3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			topology := discoveredTopology
			topology.Replicas, topology.VoterTimeout, topology.Domains = 2, catchUpAllowance/2, []string{"a", "a", "b", "c"}
			mesh := Build(seed, topology, Defects{})
			t.Cleanup(mesh.World.Close)
			mesh.runFor(8 * monotonic.Second)
			mesh.startNewMachine()
			mesh.runFor(20 * monotonic.Second)
			for group, voters := range mesh.voters(t) {
				zones := map[string]bool{}
				for _, name := range voters {
					zones[topology.Domains[slices.Index([]string{group + "-1", group + "-2", group + "-3", group + "-4"}, name)]] = true
				}
				if len(voters) != 3 || len(zones) != 3 {
					t.Errorf("the voters of group %s are %v, not one in each zone", group, voters)
				}
			}
			response, _, err := mesh.applyVersion(100, 10*monotonic.Second)
			if err != nil || response.Version != 100 {
				t.Fatalf("applying version 100: %v %v", response, err)
			}
			mesh.runFor(3 * monotonic.Second)
			mesh.retire("core-1")
			mesh.retire("core-2")
			if response, _, err = mesh.applyVersion(101, 20*monotonic.Second); err != nil || response.Version != 101 {
				t.Errorf("applying version 101 after the loss of the zone: %v %v", response, err)
			}
		})
	}
}

// TestLossAfterPlannedReplacement replaces a core machine as planned and soon afterwards loses another one permanently, several times. The
// core must serve to the end and lose nothing acknowledged.
func TestLossAfterPlannedReplacement(t *testing.T) {
	for _, test := range []struct{ cores, replicas int }{{3, 2}, {4, 2}, {5, 3}} {
		for _, seed := range seeds(t, 1, 2, 3) {
			t.Run(fmt.Sprintf("%d/%d", test.cores, seed), func(t *testing.T) {
				t.Parallel()
				topology := discoveredTopology
				topology.Cores, topology.Replicas, topology.VoterTimeout = test.cores, test.replicas, catchUpAllowance/2
				mesh, _ := runMesh(t, Scenario{Name: "replacement then loss", Topology: topology, Duration: 90 * monotonic.Second, Rate: 25, FaultInterval: 14 * monotonic.Second, Rules: []int{1, 3, 7, 12},
					InitialFaults: []fault{plannedReplacement, permanentLoss, plannedReplacement, permanentLoss}, Faults: []fault{permanentLoss, applyConfig}}, seed)
				for group, voters := range mesh.voters(t) {
					if expected := max(2*test.replicas-1, test.cores); len(voters) != expected {
						t.Errorf("the voters of group %s are %v, not %d of them", group, voters, expected)
					}
				}
			})
		}
	}
}
