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

// countEvents counts how often the processes of a group reported an event, from the line of the log with the index firstLine on.
func (m *Mesh) countEvents(firstLine int, group string, number int) (count int) {
	for _, line := range m.log[firstLine:] {
		if fields := strings.SplitN(line, " ", 4); strings.HasPrefix(fields[1], group) && fields[2] == fmt.Sprint(number) {
			count++
		}
	}
	return count
}

// idleCore returns a mesh whose core has the lease duration of the users' platform and has been idle for 15 s.
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

// TestQuietPrimaryTakesAnotherBackup guards against an idle primary that replaces a lost backup over and over instead of once: its snapshot
// carried the leader's clock of the last write, so each new backup rejected the next entries.
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
			t.Errorf("seed %d: %d new epochs after the loss of the backup, not one", seed, newEpochs)
		}
		mesh.World.Close()
	}
}

// runUntilPrimaries runs the mesh until both groups have a primary, at most for a limit, and returns how long that took.
func (m *Mesh) runUntilPrimaries(limit monotonic.Micros) monotonic.Micros {
	began := m.World.Now()
	m.World.Run(began + 5*monotonic.Millisecond) // before that, a restarted process still shows the state of its former incarnation
	for (m.primary(registry.Group) == nil || m.primary(configstore.Group) == nil) && m.World.Now()-began < limit {
		m.runFor(5 * monotonic.Millisecond)
	}
	return m.World.Now() - began
}

// TestCoreRecovery checks how soon both groups serve after the whole core was down, also if one disk was lost. They don't wait for a lease,
// since every incarnation that may have held one has ended. If a machine stays down, its lease must expire first.
func TestCoreRecovery(t *testing.T) {
	lease := 600 * monotonic.Millisecond
	for _, test := range []struct {
		name      string
		lostRole  string // the role of the process whose machine loses its disk or stays down
		staysDown bool
		limit     monotonic.Micros
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
					lost := map[string]string{"primary": primary.Machine, "backup": mesh.World.Node(mesh.registries[primary.Name].Member.Backups()[0]).Machine}[test.lostRole]
					mesh.runFor(mesh.randomDuration(0, lease))
					for _, node := range mesh.allCoreNodes() {
						mesh.World.PowerLoss(node)
						if node.Machine == lost && !test.staysDown {
							mesh.World.LoseDisk(node)
						}
					}
					mesh.runFor(mesh.randomDuration(10*monotonic.Millisecond, monotonic.Second))
					for _, node := range mesh.allCoreNodes() {
						if node.Machine != lost || !test.staysDown {
							mesh.World.Start(node)
						}
					}
					took := mesh.runUntilPrimaries(10 * monotonic.Second)
					longest, sum, count = max(longest, took), sum+took, count+1
					mesh.World.Close()
				}
				t.Logf("mean %d ms, longest %d ms", sum/count/monotonic.Millisecond, longest/monotonic.Millisecond)
				if longest > test.limit {
					t.Errorf("the longest recovery took %d microseconds", longest)
				}
			})
		}
	}
}

// TestLossOfPrimaryMachine checks that once the machine of a primary has failed without notice, another process becomes primary soon after
// the lease has expired.
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

// TestLostBackupDelaysWritesBriefly checks that once the machine of a backup has failed without notice, the backup is replaced after it has
// not responded to two requests, and writes are acknowledged again. A backup that is only slow is not replaced.
func TestLostBackupDelaysWritesBriefly(t *testing.T) {
	for _, test := range []struct {
		name      string
		inject    func(mesh *Mesh, node *world.Node)
		minimum   monotonic.Micros // of the time that a write takes
		maximum   monotonic.Micros
		newEpochs int
	}{
		{"gone", func(mesh *Mesh, node *world.Node) { mesh.World.Freeze(node, monotonic.Minute) }, 0, 350 * monotonic.Millisecond, 1},
		{"slow", func(mesh *Mesh, node *world.Node) { node.Disk.SyncDelay = 280 * monotonic.Millisecond }, 280 * monotonic.Millisecond, 350 * monotonic.Millisecond, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds(t, 1, 2, 3, 4) {
				mesh := idleCore(seed, 4)
				primary := mesh.primary(registry.Group).Name
				backup := mesh.World.Node(mesh.registries[primary].Member.Backups()[0])
				for _, node := range mesh.coreNodes(backup.Machine) {
					test.inject(mesh, node)
				}
				from, took := len(mesh.log), monotonic.Minute
				mesh.External.Go(func() {
					began, response := mesh.External.Now(), &wire.ClaimResponse{}
					err := mesh.resolver.Call(primary, wire.Kind_claim, &wire.ClaimRequest{Scope: "path\nkey", Digest: []byte("d"), Attempt: "1", Proxy: "carrier-1"}, response, 5*monotonic.Second)
					if took = mesh.External.Now() - began; err != nil || response.Outcome != "granted" {
						t.Errorf("seed %d: the claim ended with %q, %v", seed, response.Outcome, err)
					}
				})
				mesh.runFor(2 * monotonic.Second)
				if took < test.minimum || took > test.maximum {
					t.Errorf("seed %d: the write took %d microseconds", seed, took)
				}
				if newEpochs := mesh.countEvents(from, registry.Group, eventlog.PrimaryReady); newEpochs != test.newEpochs {
					t.Errorf("seed %d: %d new epochs with another backup, not %d", seed, newEpochs, test.newEpochs)
				}
				mesh.World.Close()
			}
		})
	}
}
