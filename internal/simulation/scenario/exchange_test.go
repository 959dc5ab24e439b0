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
			sizes := found
			sizes.Copies, sizes.Gone, sizes.Domains = 2, syncTime/2, []string{"a", "a", "b", "c"}
			mesh := Build(seed, sizes, Breakage{})
			t.Cleanup(mesh.World.Close)
			mesh.World.Run(mesh.World.Now() + 8*monotonic.Second)
			mesh.come()
			mesh.World.Run(mesh.World.Now() + 20*monotonic.Second)
			for group, voters := range mesh.voters(t) {
				stand := map[string]bool{}
				for _, name := range voters {
					stand[sizes.Domains[slices.Index([]string{group + "-1", group + "-2", group + "-3", group + "-4"}, name)]] = true
				}
				if len(voters) != 3 || len(stand) != 3 {
					t.Errorf("the %ss' voters are %v", group, voters)
				}
			}
			tell, _, err := mesh.raise(100, 10*monotonic.Second)
			if err != nil || tell.Version != 100 {
				t.Fatalf("%v %v", tell, err)
			}
			mesh.World.Run(mesh.World.Now() + 3*monotonic.Second)
			mesh.retire("core-1")
			mesh.retire("core-2")
			if tell, _, err = mesh.raise(101, 20*monotonic.Second); err != nil || tell.Version != 101 {
				t.Errorf("after the zone's loss: %v %v", tell, err)
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
				sizes := found
				sizes.Cores, sizes.Copies, sizes.Gone = one.cores, one.copies, syncTime/2
				mesh := rosterRun(t, Course{Name: "exchange then loss", Sizes: sizes, Length: 90 * monotonic.Second, Rate: 25, Every: 14 * monotonic.Second, Rules: []int{1, 3, 7, 12},
					First: []fault{plannedExchange, lossForGood, plannedExchange, lossForGood}, Faults: []fault{lossForGood, applyOne}}, seed)
				for group, voters := range mesh.voters(t) {
					if wanted := max(2*one.copies-1, one.cores); len(voters) != wanted {
						t.Errorf("the %ss' voters are %v, not %d", group, voters, wanted)
					}
				}
			})
		}
	}
}
