package scenario

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"snowflow/internal/configstore"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry"
)

// replicaNames returns the names of the processes that hold a replica of a group, the primary first, or nil without a primary.
func (m *Mesh) replicaNames(group string) []string {
	primary := m.primary(group)
	if primary == nil {
		return nil
	}
	if group == registry.Group {
		return append([]string{primary.Name}, m.registries[primary.Name].Member.Backups()...)
	}
	return append([]string{primary.Name}, m.configStores[primary.Name].Member.Backups()...)
}

// TestReplicaThatMissedItsRegister guards against the permanent loss of an acknowledged configuration. The last replica has missed every
// register value, which a quorum of others accepted. Then as many disks as are tolerated are lost while all other machines lose power, so
// only that replica may become primary. After its restart it knew no voters, and it asked only a primary for them.
func TestReplicaThatMissedItsRegister(t *testing.T) {
	for _, size := range []struct{ cores, replicas int }{{3, 2}, {4, 2}, {5, 3}} {
		for _, group := range []string{configstore.Group, registry.Group} {
			for _, seed := range seeds(t, 1, 2, 3) {
				t.Run(fmt.Sprintf("%s of %d/%d", group, size.cores, seed), func(t *testing.T) {
					t.Parallel()
					runMissedRegister(t, group, size.cores, size.replicas, seed)
				})
			}
		}
	}
}

// runMissedRegister runs the test with a process that misses all accept requests. It tries the core machines in turn until that process is
// a backup, which becomes the last replica.
func runMissedRegister(t *testing.T, group string, cores, replicas int, seed uint64) {
	t.Helper()
	for number := 1; number <= cores; number++ {
		m := Build(seed, controlPlaneTopology(cores, replicas), Defects{})
		survivor := fmt.Sprintf("%s-%d", group, number)
		m.missesAccepts = func(name string) bool { return name == survivor }
		m.start(Scenario{Rate: 1})
		replicaSet := m.replicaNames(group)
		for step := 0; len(replicaSet) < replicas && step < maxSteps; step++ {
			m.runFor(100 * monotonic.Millisecond)
			replicaSet = m.replicaNames(group)
		}
		isBackup := len(replicaSet) == replicas && slices.Contains(replicaSet[1:], survivor)
		if isBackup {
			m.loseAllReplicasExcept(survivor, group, replicaSet)
			m.missesAccepts = nil
			if took := m.runUntilPrimaries(maxRecovery); took >= maxRecovery {
				t.Errorf("a group has no primary after %d microseconds", maxRecovery)
			}
		}
		m.World.Close()
		if isBackup {
			return
		}
	}
	t.Error("no process that misses the register became a backup")
}

// maxSteps is how many steps of 100 ms the group may take to have all its replicas.
const maxSteps = 100

// maxRecovery is how long the core may take until both groups have a primary again.
const maxRecovery = 15 * monotonic.Second

// loseAllReplicasExcept loses the disks of all replicas of a group except one. All other core machines lose power at the same moment.
func (m *Mesh) loseAllReplicasExcept(survivor, group string, replicas []string) {
	for _, machine := range m.coreMachines {
		stop := m.World.PowerLoss
		if name := strings.Replace(machine, "core", group, 1); name != survivor && slices.Contains(replicas, name) {
			stop = m.World.LoseDisk
		}
		m.restartMachine(machine, m.randomDuration(500*monotonic.Millisecond, 2*monotonic.Second), stop)
	}
}
