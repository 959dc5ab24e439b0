package scenario

import (
	"fmt"
	"testing"

	"snowflow/internal/monotonic"
)

// TestEvenSplit partitions a core of four into two halves while the proxies can reach both. The half with the voter whose vote counts
// twice must continue to serve, whichever process was the primary before.
func TestEvenSplit(t *testing.T) {
	for _, killed := range []int{0, 1, 3} { // the machine that is killed first, so that others become primaries; zero for none
		t.Run(fmt.Sprint(killed), func(t *testing.T) {
			t.Parallel()
			var from, until monotonic.Micros
			changePrimary := fault{"restart a core machine", func(mesh *Mesh) {
				if killed > 0 {
					mesh.restartAfter(mesh.coreNodes(mesh.coreMachines[killed-1]), 2*monotonic.Second, mesh.World.Kill)
				}
			}}
			split := fault{"split the core into halves", func(mesh *Mesh) {
				from, until = mesh.World.Now()+5*monotonic.Second, mesh.World.Now()+20*monotonic.Second
				for _, machine := range mesh.coreMachines[:2] {
					mesh.partitionFromAll(machine, mesh.coreMachines[2:], 20*monotonic.Second)
				}
			}}
			mesh, _ := runMesh(t, Scenario{Name: "halves", Topology: fourZoneTopology, Duration: 60 * monotonic.Second, Rate: 40, FaultInterval: 12 * monotonic.Second,
				InitialFaults: []fault{changePrimary, split}, Faults: []fault{noFault}}, 1)
			sent, servedCount := 0, 0
			for _, attempt := range mesh.History.Attempts {
				if attempt.Sent >= from && attempt.Sent < until {
					sent++
					if served(attempt) {
						servedCount++
					}
				}
			}
			t.Logf("%d of %d requests served from 5 s to 20 s after the split", servedCount, sent)
			if servedCount*10 < sent*9 || sent == 0 {
				t.Errorf("%d of %d requests served from 5 s to 20 s after the split", servedCount, sent)
			}
		})
	}
}
