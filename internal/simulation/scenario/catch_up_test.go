package scenario

import (
	"fmt"
	"strings"
	"testing"

	"snowflow/internal/configstore"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
)

// TestCatchUp: a backup that was away is sent only the entries that it missed, and one whose disk was lost a snapshot. Both hold
// everything that was acknowledged once they lead.
func TestCatchUp(t *testing.T) {
	for _, seed := range seeds(t, 1, 2, 3, 4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			mesh := newServingMeshWithSeed(t, seed, servingOn)
			version := uint64(100)
			change := func(times int) {
				for range times {
					version++
					if response, _, err := mesh.applyVersion(version, 10*monotonic.Second); err != nil || response.Version != version {
						t.Fatalf("version %d: %v %v", version, response, err)
					}
				}
			}
			seen := func(number int, name string) int {
				return strings.Count(strings.Join(mesh.log, "\n"), fmt.Sprintf(" %s %d {", name, number))
			}
			calm := func() { mesh.World.Run(mesh.World.Now() + 6*monotonic.Second) }
			change(10)
			for turn := range 6 {
				primary := mesh.primary(configstore.Group)
				backup := mesh.World.Node(mesh.configStores[primary.Name].Member.Backups()[0])
				lost := turn == 3
				if lost {
					mesh.World.LoseDisk(backup)
				} else {
					mesh.World.Kill(backup)
				}
				change(5)
				mesh.World.Start(backup)
				calm()
				// The backup that took its place is killed too, so that it is needed again.
				second := mesh.World.Node(mesh.configStores[primary.Name].Member.Backups()[0])
				entries, complete := seen(eventlog.ReplicaCaughtUp, backup.Name), seen(eventlog.SnapshotInstalled, backup.Name)
				mesh.World.Kill(second)
				calm()
				change(3)
				caughtUp, installed := seen(eventlog.ReplicaCaughtUp, backup.Name)-entries, seen(eventlog.SnapshotInstalled, backup.Name)-complete
				if lost && installed != 1 || !lost && (caughtUp != 1 || installed != 0) {
					t.Errorf("turn %d: %s caught up %d times and was given everything %d times", turn, backup.Name, caughtUp, installed)
				}
				mesh.World.Start(second)
				calm()
				mesh.World.Kill(primary)
				calm()
				change(1)
				mesh.World.Start(primary)
				calm()
			}
		})
	}
}
