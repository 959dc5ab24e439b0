package scenario

import (
	"fmt"
	"strings"
	"testing"

	"snowflow/internal/configstore"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry"
	"snowflow/internal/replication"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// countEvents counts an event of a group's processes in the log from a line on.
func (m *Mesh) countEvents(from int, group string, number int) (count int) {
	for _, line := range m.log[from:] {
		if fields := strings.SplitN(line, " ", 4); strings.HasPrefix(fields[1], group) && fields[2] == fmt.Sprint(number) {
			count++
		}
	}
	return count
}

// idleCore returns a mesh whose core has the platform's lease and has been idle for a while.
func idleCore(seed uint64, cores int) *Mesh {
	mesh := Build(seed, Topology{Cores: cores, Proxies: 1, Zones: 1, Backends: 1}, Defects{})
	mesh.runFor(5 * monotonic.Second)
	mesh.adjustReplication = func(env *replication.Config) { env.LeaseDuration = 600 * monotonic.Millisecond }
	for _, node := range mesh.allCoreNodes() {
		mesh.World.Kill(node)
		mesh.World.Start(node)
	}
	mesh.runFor(15 * monotonic.Second)
	return mesh
}

// TestQuietPrimaryTakesAnotherBackup: a primary that has written nothing for long loses its backup, and adopts another one once. Its
// snapshot once had the leader's clock of its last write, so each new backup rejected the next entries, again and again.
func TestQuietPrimaryTakesAnotherBackup(t *testing.T) {
	for _, seed := range seeds(t, 1, 2, 3) {
		mesh := idleCore(seed, 4)
		primary := mesh.primary(configstore.Group)
		backup := mesh.World.Node(mesh.configStores[primary.Name].Member.Backups()[0])
		for _, node := range mesh.coreNodes(backup.Machine) {
			mesh.World.PowerLoss(node)
		}
		from := len(mesh.log)
		mesh.runFor(10 * monotonic.Second)
		if newEpochs := mesh.countEvents(from, configstore.Group, eventlog.PrimaryReady); newEpochs != 1 {
			t.Errorf("seed %d: %d epochs with another backup, not one", seed, newEpochs)
		}
		mesh.World.Close()
	}
}

// runUntilPrimaries runs the mesh until both groups have a primary, or for a time at the most, and returns how long that took.
func (m *Mesh) runUntilPrimaries(most monotonic.Micros) monotonic.Micros {
	began := m.World.Now()
	m.World.Run(began + 5*monotonic.Millisecond) // until then a restarted process still has its former state
	for (m.primary(registry.Group) == nil || m.primary(configstore.Group) == nil) && m.World.Now()-began < most {
		m.runFor(5 * monotonic.Millisecond)
	}
	return m.World.Now() - began
}

// TestCoreRecovery: the whole core is down at once and comes back, also with one disk lost. Both groups serve soon afterwards, since
// every incarnation that may have held a lease has ended. If a machine stays away, its lease must expire first.
func TestCoreRecovery(t *testing.T) {
	lease := 600 * monotonic.Millisecond
	for _, test := range []struct {
		name        string
		lostMachine string // whose machine loses its disk or stays away
		away        bool
		most        monotonic.Micros
	}{
		{"all are back", "", false, lease / 2},
		{"the primary's disk is lost", "primary", false, lease / 2},
		{"the backup's disk is lost", "backup", false, lease / 2},
		{"the primary stays away", "primary", true, 3 * lease / 2},
	} {
		for _, cores := range []int{3, 4} {
			t.Run(fmt.Sprintf("%s/%d", test.name, cores), func(t *testing.T) {
				t.Parallel()
				var longest, sum, count monotonic.Micros
				for _, seed := range seeds(t, 1, 2, 3, 4, 5, 6) {
					mesh := idleCore(seed, cores)
					primary := mesh.primary(registry.Group)
					lost := map[string]string{"primary": primary.Machine, "backup": mesh.World.Node(mesh.registries[primary.Name].Member.Backups()[0]).Machine}[test.lostMachine]
					mesh.runFor(mesh.randomDuration(0, lease))
					for _, node := range mesh.allCoreNodes() {
						mesh.World.PowerLoss(node)
						if node.Machine == lost && !test.away {
							mesh.World.LoseDisk(node)
						}
					}
					mesh.runFor(mesh.randomDuration(10*monotonic.Millisecond, monotonic.Second))
					for _, node := range mesh.allCoreNodes() {
						if node.Machine != lost || !test.away {
							mesh.World.Start(node)
						}
					}
					took := mesh.runUntilPrimaries(10 * monotonic.Second)
					longest, sum, count = max(longest, took), sum+took, count+1
					mesh.World.Close()
				}
				t.Logf("mean %d ms, longest %d ms", sum/count/monotonic.Millisecond, longest/monotonic.Millisecond)
				if longest > test.most {
					t.Errorf("the longest return took %d microseconds", longest)
				}
			})
		}
	}
}

// TestLossOfPrimaryMachine: the machine of a primary fails without notice; another leads soon after its lease has expired.
func TestLossOfPrimaryMachine(t *testing.T) {
	lease := 600 * monotonic.Millisecond
	for _, cores := range []int{3, 4} {
		t.Run(fmt.Sprint(cores), func(t *testing.T) {
			t.Parallel()
			var longest, sum, count monotonic.Micros
			for _, seed := range seeds(t, 1, 2, 3, 4, 5, 6) {
				mesh := idleCore(seed, cores)
				for range 4 {
					mesh.runFor(mesh.randomDuration(5*monotonic.Second, 6*monotonic.Second))
					machine := mesh.primary(registry.Group).Machine
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

// TestLostBackupDelaysWritesBriefly: the machine of a backup fails without notice. Writes are acknowledged again, with another backup,
// once it has not responded to two requests. A backup that is only slow is not replaced.
func TestLostBackupDelaysWritesBriefly(t *testing.T) {
	for _, test := range []struct {
		name      string
		harm      func(mesh *Mesh, node *world.Node)
		least     monotonic.Micros
		most      monotonic.Micros
		newEpochs int
	}{
		{"gone", func(mesh *Mesh, node *world.Node) { mesh.World.Freeze(node, monotonic.Minute) }, 0, 350 * monotonic.Millisecond, 1},
		{"slow", func(mesh *Mesh, node *world.Node) { node.Disk.SyncDelay = 280 * monotonic.Millisecond }, 280 * monotonic.Millisecond, 350 * monotonic.Millisecond, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds(t, 1, 2, 3, 4) {
				mesh := idleCore(seed, 4)
				leader := mesh.primary(registry.Group).Name
				backup := mesh.World.Node(mesh.registries[leader].Member.Backups()[0])
				for _, node := range mesh.coreNodes(backup.Machine) {
					test.harm(mesh, node)
				}
				from, took := len(mesh.log), monotonic.Minute
				mesh.External.Go(func() {
					began, response := mesh.External.Now(), &wire.ClaimResponse{}
					err := mesh.resolver.Call(leader, wire.Kind_claim, &wire.ClaimRequest{Scope: "path\nkey", Digest: []byte("d"), Attempt: "1", Proxy: "carrier-1"}, response, 5*monotonic.Second)
					if took = mesh.External.Now() - began; err != nil || response.Outcome != "granted" {
						t.Errorf("seed %d: %q, %v", seed, response.Outcome, err)
					}
				})
				mesh.runFor(2 * monotonic.Second)
				if took < test.least || took > test.most {
					t.Errorf("seed %d: a write took %d microseconds", seed, took)
				}
				if newEpochs := mesh.countEvents(from, registry.Group, eventlog.PrimaryReady); newEpochs != test.newEpochs {
					t.Errorf("seed %d: %d epochs with another backup, not %d", seed, newEpochs, test.newEpochs)
				}
				mesh.World.Close()
			}
		})
	}
}
