package round

import (
	"fmt"
	"testing"

	"snowflow/internal/postmark"
)

// TestLossAfterPlannedExchange: a core machine is exchanged as planned, and soon after it another is lost for good, again and again. The core
// answers to the end, and nothing acknowledged is missing.
func TestLossAfterPlannedExchange(t *testing.T) {
	for _, one := range []struct{ cores, copies int }{{3, 2}, {4, 2}, {5, 3}} {
		for _, seed := range seeds(t, 1, 2, 3) {
			t.Run(fmt.Sprintf("%d/%d", one.cores, seed), func(t *testing.T) {
				t.Parallel()
				sizes := found
				sizes.Cores, sizes.Copies, sizes.Gone = one.cores, one.copies, syncTime/2
				mesh := rosterRun(t, Course{Name: "exchange then loss", Sizes: sizes, Length: 90 * postmark.Second, Rate: 25, Every: 14 * postmark.Second, Rules: []int{1, 3, 7, 12},
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
