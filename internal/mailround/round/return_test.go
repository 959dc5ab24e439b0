package round

import (
	"fmt"
	"strings"
	"testing"

	"snowflow/internal/bulletin"
	"snowflow/internal/countersign"
	"snowflow/internal/postmark"
)

// reports counts an event of a group's processes in the log from some line on.
func (mesh *Mesh) reports(from int, group string, number int) (count int) {
	for _, line := range mesh.log[from:] {
		if fields := strings.SplitN(line, " ", 4); strings.HasPrefix(fields[1], group) && fields[2] == fmt.Sprint(number) {
			count++
		}
	}
	return count
}

// quickCore is a core with the platform's lease that has been quiet for a while, and a carrier.
func quickCore(seed uint64, cores int) *Mesh {
	mesh := Build(seed, Sizes{Cores: cores, Carriers: 1, Zones: 1, Backends: 1}, Breakage{})
	mesh.World.Run(mesh.World.Now() + 5*postmark.Second)
	mesh.adjust = func(env *countersign.Env) { env.Tenure = 600 * postmark.Millisecond }
	for _, node := range mesh.allCore() {
		mesh.World.Kill(node)
		mesh.World.Start(node)
	}
	mesh.World.Run(mesh.World.Now() + 15*postmark.Second)
	return mesh
}

// TestQuietPrimaryTakesAnotherBackup: a primary that had nothing to write for long loses its backup, and then has another for good.
// Its view once had the holder time of its last write, so each new backup turned down what came next, again and again.
func TestQuietPrimaryTakesAnotherBackup(t *testing.T) {
	for _, seed := range seeds(t, 1, 2, 3) {
		mesh := quickCore(seed, 4)
		primary := mesh.leader("postmaster")
		backup := mesh.World.Node(mesh.masters[primary.Name].Member.Backups()[0])
		for _, node := range mesh.coreNodes(backup.Machine) {
			mesh.World.PowerLoss(node)
		}
		from := len(mesh.log)
		mesh.World.Run(mesh.World.Now() + 10*postmark.Second)
		if settled := mesh.reports(from, "postmaster", bulletin.Settled); settled != 1 {
			t.Errorf("seed %d: %d epochs with another backup, not one", seed, settled)
		}
		mesh.World.Close()
	}
}
