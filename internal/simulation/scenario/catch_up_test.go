package scenario

import (
	"fmt"
	"strings"
	"testing"

	"snowflow/internal/configstore"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
)

// TestCatchUp checks that a backup that was down receives only the entries that it missed, and a backup that lost its disk receives a
// snapshot. Both have everything that was acknowledged when they become primary.
func TestCatchUp(t *testing.T) {
	for _, seed := range seeds(t, 1, 2, 3, 4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			mesh := newServingMeshWithSeed(t, seed, serveStaleTimeouts)
			version := uint64(100)
			change := func(times int) {
				for range times {
					version++
					if response, _, err := mesh.applyVersion(version, 10*monotonic.Second); err != nil || response.Version != version {
						t.Fatalf("applying version %d: %v %v", version, response, err)
					}
				}
			}
			countLogged := func(number int, name string) int {
				return strings.Count(strings.Join(mesh.log, "\n"), fmt.Sprintf(" %s %d {", name, number))
			}
			stabilize := func() { mesh.World.Run(mesh.World.Now() + 6*monotonic.Second) }
			change(10)
			for turn := range 6 {
				primary := mesh.primary(configstore.Group)
				backup := mesh.World.Node(mesh.configStores[primary.Name].Member.Backups()[0])
				diskLost := turn == 3
				if diskLost {
					mesh.World.LoseDisk(backup)
				} else {
					mesh.World.Kill(backup)
				}
				change(5)
				mesh.World.Start(backup)
				stabilize()
				// The backup that replaced it is killed too, so that the first one becomes a backup again.
				replacement := mesh.World.Node(mesh.configStores[primary.Name].Member.Backups()[0])
				caughtUpBefore, installedBefore := countLogged(eventlog.ReplicaCaughtUp, backup.Name), countLogged(eventlog.SnapshotInstalled, backup.Name)
				mesh.World.Kill(replacement)
				stabilize()
				change(3)
				caughtUp, installed := countLogged(eventlog.ReplicaCaughtUp, backup.Name)-caughtUpBefore, countLogged(eventlog.SnapshotInstalled, backup.Name)-installedBefore
				if diskLost && installed != 1 || !diskLost && (caughtUp != 1 || installed != 0) {
					t.Errorf("turn %d: %s caught up with the entries %d times and installed a snapshot %d times", turn, backup.Name, caughtUp, installed)
				}
				mesh.World.Start(replacement)
				stabilize()
				mesh.World.Kill(primary)
				stabilize()
				change(1)
				mesh.World.Start(primary)
				stabilize()
			}
		})
	}
}
