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

// replicaNames returns the names of the processes with a replica of a group, its primary's first.
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

// TestReplicaThatMissedItsRegister guards against an acknowledged configuration that is gone for good: the last replica has missed each
// register value, which a quorum of others accepted, as many disks as are tolerated are lost while all else loses power, and nobody but
// that replica may become primary. It knew no voters after its start, and asked nobody but a primary.
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

// runMissedRegister tries the core machines until one whose process misses the register is a backup, and has it be the last replica.
func runMissedRegister(t *testing.T, group string, cores, replicas int, seed uint64) {
	t.Helper()
	for number := 1; number <= cores; number++ {
		m := Build(seed, controlPlaneTopology(cores, replicas), Defects{})
		survivor := fmt.Sprintf("%s-%d", group, number)
		m.missesAccepts = func(name string) bool { return name == survivor }
		m.start(Scenario{Rate: 1})
		present := m.replicaNames(group)
		for step := 0; len(present) < replicas && step < maxSteps; step++ {
			m.runFor(100 * monotonic.Millisecond)
			present = m.replicaNames(group)
		}
		isBackup := len(present) == replicas && slices.Contains(present[1:], survivor)
		if isBackup {
			m.loseAllReplicasExcept(survivor, group, present)
			m.missesAccepts = nil
			if took := m.runUntilPrimaries(maxRecovery); took >= maxRecovery {
				t.Errorf("no primary of each group within %d us", maxRecovery)
			}
		}
		m.World.Close()
		if isBackup {
			return
		}
	}
	t.Error("no process that misses the register is a backup")
}

// maxSteps is how often it is looked whether the group has all its replicas.
const maxSteps = 100

// maxRecovery is how long the core may take to serve again.
const maxRecovery = 15 * monotonic.Second

// loseAllReplicasExcept loses the disks of a group's replicas but one, and the power of all other core machines at the same moment.
func (m *Mesh) loseAllReplicasExcept(survivor, group string, replicas []string) {
	for _, machine := range m.coreMachines {
		stop := m.World.PowerLoss
		if name := strings.Replace(machine, "core", group, 1); name != survivor && slices.Contains(replicas, name) {
			stop = m.World.LoseDisk
		}
		m.restartMachine(machine, m.randomDuration(500*monotonic.Millisecond, 2*monotonic.Second), stop)
	}
}
