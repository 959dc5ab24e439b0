package round

import (
	"fmt"
	"testing"

	"snowflow/internal/mailround/world"
	"snowflow/internal/postmark"
)

// syncTime is how long after its start a machine that came in place of a lost one may still count as lost.
const syncTime = 4 * postmark.Second

var (
	// plannedExchange has a successor start first and the machine that served longest stop as planned afterwards, for good.
	plannedExchange = fault{"exchange a core machine as planned", func(mesh *Mesh) {
		oldest := mesh.cores[0]
		mesh.come()
		mesh.later(mesh.span(postmark.Second, 5*postmark.Second), func() { mesh.leaveForGood(oldest) })
	}}
	// lossForGood ends a core machine for good; an empty successor starts a second later.
	lossForGood = fault{"lose a core machine for good", func(mesh *Mesh) {
		mesh.retire(pick(mesh, mesh.cores))
		mesh.later(postmark.Second, mesh.come)
	}}
)

// leaveForGood stops a core machine's processes as planned and removes the machine once they have ended.
func (mesh *Mesh) leaveForGood(machine string) {
	running := len(mesh.coreNodes(machine))
	for _, node := range mesh.coreNodes(machine) {
		mesh.Outside.Go(func() {
			_, _ = mesh.Outside.Transact(node.Address, 6*postmark.Second, func(*world.Node) ([]byte, error) {
				mesh.member(node.Name).Leave("planned stop", 3*postmark.Second)
				return nil, nil
			})
			if running--; running == 0 {
				mesh.World.At(mesh.World.Now(), func() { mesh.retire(machine) })
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
