package scenario

import (
	"fmt"
	"testing"

	"snowflow/internal/monotonic"
)

// TestEvenSplit: a core of four splits into two halves, while the proxies reach both. The half with the voter whose vote has double
// weight goes on, whichever process led before.
func TestEvenSplit(t *testing.T) {
	for _, ended := range []int{0, 1, 3} { // the machine that is killed before, so that others lead; zero for none
		t.Run(fmt.Sprint(ended), func(t *testing.T) {
			t.Parallel()
			var from, until monotonic.Micros
			lead := fault{"have others lead", func(mesh *Mesh) {
				if ended > 0 {
					mesh.restartAfter(mesh.coreNodes(mesh.coreMachines[ended-1]), 2*monotonic.Second, mesh.World.Kill)
				}
			}}
			split := fault{"split the core in halves", func(mesh *Mesh) {
				from, until = mesh.World.Now()+5*monotonic.Second, mesh.World.Now()+20*monotonic.Second
				for _, machine := range mesh.coreMachines[:2] {
					mesh.partitionFromAll(machine, mesh.coreMachines[2:], 20*monotonic.Second)
				}
			}}
			mesh, _ := runMesh(t, Scenario{Name: "halves", Topology: fourZoneTopology, Duration: 60 * monotonic.Second, Rate: 40, FaultInterval: 12 * monotonic.Second,
				InitialFaults: []fault{lead, split}, Faults: []fault{noFault}}, 1)
			sent, servedCount := 0, 0
			for _, attempt := range mesh.History.Attempts {
				if attempt.Sent >= from && attempt.Sent < until {
					sent++
					if served(attempt) {
						servedCount++
					}
				}
			}
			t.Logf("%d of %d served from 5 s after the split on", servedCount, sent)
			if servedCount*10 < sent*9 || sent == 0 {
				t.Errorf("%d of %d served from 5 s after the split on", servedCount, sent)
			}
		})
	}
}
