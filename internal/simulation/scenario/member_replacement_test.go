package scenario

import (
	"fmt"
	"slices"
	"testing"

	"snowflow/internal/monotonic"
)

// TestVotersApart: two of three core machines stand in one zone; once a fourth comes in another, the voters and the copies stand in three, and the loss
// of the zone with two machines leaves the core answering with all that was acknowledged.
func TestVotersApart(t *testing.T) {
	for _, seed := range seeds(t, 1, 2, 3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			topology := discoveredTopology
			topology.Replicas, topology.RemoveAfter, topology.Domains = 2, catchUpAllowance/2, []string{"a", "a", "b", "c"}
			mesh := Build(seed, topology, Defects{})
			t.Cleanup(mesh.World.Close)
			mesh.World.Run(mesh.World.Now() + 8*monotonic.Second)
			mesh.startNewMachine()
			mesh.World.Run(mesh.World.Now() + 20*monotonic.Second)
			for group, voters := range mesh.voters(t) {
				stand := map[string]bool{}
				for _, name := range voters {
					stand[topology.Domains[slices.Index([]string{group + "-1", group + "-2", group + "-3", group + "-4"}, name)]] = true
				}
				if len(voters) != 3 || len(stand) != 3 {
					t.Errorf("the %ss' voters are %v", group, voters)
				}
			}
			response, _, err := mesh.applyVersion(100, 10*monotonic.Second)
			if err != nil || response.Version != 100 {
				t.Fatalf("%v %v", response, err)
			}
			mesh.World.Run(mesh.World.Now() + 3*monotonic.Second)
			mesh.retire("core-1")
			mesh.retire("core-2")
			if response, _, err = mesh.applyVersion(101, 20*monotonic.Second); err != nil || response.Version != 101 {
				t.Errorf("after the zone's loss: %v %v", response, err)
			}
		})
	}
}

// TestLossAfterPlannedExchange: a core machine is exchanged as planned, and soon after it another is lost for good, again and again. The core
// answers to the end, and nothing acknowledged is missing.
func TestLossAfterPlannedExchange(t *testing.T) {
	for _, one := range []struct{ cores, copies int }{{3, 2}, {4, 2}, {5, 3}} {
		for _, seed := range seeds(t, 1, 2, 3) {
			t.Run(fmt.Sprintf("%d/%d", one.cores, seed), func(t *testing.T) {
				t.Parallel()
				topology := discoveredTopology
				topology.Cores, topology.Replicas, topology.RemoveAfter = one.cores, one.copies, catchUpAllowance/2
				mesh := membershipRun(t, Scenario{Name: "exchange then loss", Sizes: topology, Duration: 90 * monotonic.Second, Rate: 25, FaultInterval: 14 * monotonic.Second, Rules: []int{1, 3, 7, 12},
					InitialFaults: []fault{plannedReplacement, permanentLoss, plannedReplacement, permanentLoss}, Faults: []fault{permanentLoss, applyConfig}}, seed)
				for group, voters := range mesh.voters(t) {
					if wanted := max(2*one.copies-1, one.cores); len(voters) != wanted {
						t.Errorf("the %ss' voters are %v, not %d", group, voters, wanted)
					}
				}
			})
		}
	}
}
