package scenario

import (
	"fmt"
	"strings"
	"testing"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// reports counts an event of a group's processes in the log from some line on.
func (m *Mesh) countEvents(from int, group string, number int) (count int) {
	for _, line := range m.log[from:] {
		if fields := strings.SplitN(line, " ", 4); strings.HasPrefix(fields[1], group) && fields[2] == fmt.Sprint(number) {
			count++
		}
	}
	return count
}

// idleCore is a core with the platform's lease that has been quiet for a while, and a carrier.
func idleCore(seed uint64, cores int) *Mesh {
	mesh := Build(seed, Topology{Cores: cores, Proxies: 1, Zones: 1, Backends: 1}, Defects{})
	mesh.World.Run(mesh.World.Now() + 5*monotonic.Second)
	mesh.adjustReplication = func(env *replication.Config) { env.LeaseDuration = 600 * monotonic.Millisecond }
	for _, node := range mesh.allCoreNodes() {
		mesh.World.Kill(node)
		mesh.World.Start(node)
	}
	mesh.World.Run(mesh.World.Now() + 15*monotonic.Second)
	return mesh
}

// TestQuietPrimaryTakesAnotherBackup: a primary that had nothing to write for long loses its backup, and then has another for good.
// Its view once had the holder time of its last write, so each new backup turned down what came next, again and again.
func TestQuietPrimaryTakesAnotherBackup(t *testing.T) {
	for _, seed := range seeds(t, 1, 2, 3) {
		mesh := idleCore(seed, 4)
		primary := mesh.primary("postmaster")
		backup := mesh.World.Node(mesh.configStores[primary.Name].Member.Backups()[0])
		for _, node := range mesh.coreNodes(backup.Machine) {
			mesh.World.PowerLoss(node)
		}
		from := len(mesh.log)
		mesh.World.Run(mesh.World.Now() + 10*monotonic.Second)
		if newEpochs := mesh.countEvents(from, "postmaster", eventlog.PrimaryReady); newEpochs != 1 {
			t.Errorf("seed %d: %d epochs with another backup, not one", seed, newEpochs)
		}
		mesh.World.Close()
	}
}

// answers runs the world until a primary of each group answers, and tells how long that took.
func (m *Mesh) runUntilPrimaries(most monotonic.Micros) monotonic.Micros {
	began := m.World.Now()
	m.World.Run(began + 5*monotonic.Millisecond) // until then, who started is still shown as it was
	for (m.primary("sorter") == nil || m.primary("postmaster") == nil) && m.World.Now()-began < most {
		m.World.Run(m.World.Now() + 5*monotonic.Millisecond)
	}
	return m.World.Now() - began
}

// TestCoreRecovery: all of the core is down at once, or comes back with one disk lost; both groups answer soon after, since every life
// that may have held a lease is over. Where a machine stays away, its lease is waited out.
func TestCoreRecovery(t *testing.T) {
	lease := 600 * monotonic.Millisecond
	for _, one := range []struct {
		name        string
		lostMachine string // whose disk is lost, or who stays away
		away        bool
		most        monotonic.Micros
	}{
		{"all are back", "", false, lease / 2},
		{"the primary's disk is lost", "primary", false, lease / 2},
		{"the backup's disk is lost", "backup", false, lease / 2},
		{"the primary stays away", "primary", true, 3 * lease / 2},
	} {
		for _, cores := range []int{3, 4} {
			t.Run(fmt.Sprintf("%s/%d", one.name, cores), func(t *testing.T) {
				t.Parallel()
				var longest, sum, count monotonic.Micros
				for _, seed := range seeds(t, 1, 2, 3, 4, 5, 6) {
					mesh := idleCore(seed, cores)
					primary := mesh.primary("sorter")
					lost := map[string]string{"primary": primary.Machine, "backup": mesh.World.Node(mesh.registries[primary.Name].Member.Backups()[0]).Machine}[one.lostMachine]
					mesh.World.Run(mesh.World.Now() + mesh.randomDuration(0, lease))
					for _, node := range mesh.allCoreNodes() {
						mesh.World.PowerLoss(node)
						if node.Machine == lost && !one.away {
							mesh.World.LoseDisk(node)
						}
					}
					mesh.World.Run(mesh.World.Now() + mesh.randomDuration(10*monotonic.Millisecond, monotonic.Second))
					for _, node := range mesh.allCoreNodes() {
						if node.Machine != lost || !one.away {
							mesh.World.Start(node)
						}
					}
					took := mesh.runUntilPrimaries(10 * monotonic.Second)
					longest, sum, count = max(longest, took), sum+took, count+1
					mesh.World.Close()
				}
				t.Logf("mean %d ms, longest %d ms", sum/count/monotonic.Millisecond, longest/monotonic.Millisecond)
				if longest > one.most {
					t.Errorf("the longest return took %d microseconds", longest)
				}
			})
		}
	}
}

// TestLossOfPrimaryMachine: the machine that leads a group is gone without a word; the other one leads soon after its lease.
func TestLossOfPrimaryMachine(t *testing.T) {
	lease := 600 * monotonic.Millisecond
	for _, cores := range []int{3, 4} {
		t.Run(fmt.Sprint(cores), func(t *testing.T) {
			t.Parallel()
			var longest, sum, count monotonic.Micros
			for _, seed := range seeds(t, 1, 2, 3, 4, 5, 6) {
				mesh := idleCore(seed, cores)
				for range 4 {
					mesh.World.Run(mesh.World.Now() + mesh.randomDuration(5*monotonic.Second, 6*monotonic.Second))
					machine := mesh.primary("sorter").Machine
					for _, node := range mesh.coreNodes(machine) {
						mesh.World.PowerLoss(node)
					}
					took := mesh.runUntilPrimaries(10 * monotonic.Second)
					longest, sum, count = max(longest, took), sum+took, count+1
					for _, node := range mesh.coreNodes(machine) {
						mesh.World.Start(node)
					}
				}
				mesh.World.Close()
			}
			t.Logf("mean %d ms, longest %d ms", sum/count/monotonic.Millisecond, longest/monotonic.Millisecond)
			if longest > 3*lease/2 {
				t.Errorf("the longest failover took %d microseconds", longest)
			}
		})
	}
}

// TestLostBackupDelaysWritesBriefly: the machine with the backup is gone without a word. Writes are answered again once it has
// said nothing to two asks, with another backup; a backup that is only slow is waited for.
func TestLostBackupDelaysWritesBriefly(t *testing.T) {
	for _, one := range []struct {
		name      string
		harm      func(mesh *Mesh, node *world.Node)
		least     monotonic.Micros
		most      monotonic.Micros
		newEpochs int
	}{
		{"gone", func(mesh *Mesh, node *world.Node) { mesh.World.Freeze(node, monotonic.Minute) }, 0, 350 * monotonic.Millisecond, 1},
		{"slow", func(mesh *Mesh, node *world.Node) { node.Disk.SyncDelay = 280 * monotonic.Millisecond }, 280 * monotonic.Millisecond, 350 * monotonic.Millisecond, 0},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds(t, 1, 2, 3, 4) {
				mesh := idleCore(seed, 4)
				leader := mesh.primary("sorter").Name
				backup := mesh.World.Node(mesh.registries[leader].Member.Backups()[0])
				for _, node := range mesh.coreNodes(backup.Machine) {
					one.harm(mesh, node)
				}
				from, took := len(mesh.log), monotonic.Minute
				mesh.External.Go(func() {
					began, response := mesh.External.Now(), &wire.ClaimResponse{}
					err := mesh.resolver.Call(leader, wire.Kind_claim, &wire.ClaimRequest{Scope: "path\nkey", Digest: []byte("d"), Attempt: "1", Proxy: "carrier-1"}, response, 5*monotonic.Second)
					if took = mesh.External.Now() - began; err != nil || response.Outcome != "granted" {
						t.Errorf("seed %d: %q, %v", seed, response.Outcome, err)
					}
				})
				mesh.World.Run(mesh.World.Now() + 2*monotonic.Second)
				if took < one.least || took > one.most {
					t.Errorf("seed %d: a write took %d microseconds", seed, took)
				}
				if newEpochs := mesh.countEvents(from, "sorter", eventlog.PrimaryReady); newEpochs != one.newEpochs {
					t.Errorf("seed %d: %d epochs with another backup, not %d", seed, newEpochs, one.newEpochs)
				}
				mesh.World.Close()
			}
		})
	}
}
