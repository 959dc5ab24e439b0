package scenario

import (
	"slices"

	"snowflow/internal/monotonic"
)

// longPartition is how long a core machine is cut off in the faults below.
const longPartition = 20 * monotonic.Second

// Long partitions of the core.
var (
	longCorePartition = lossFault("cut a core machine off for twenty seconds", longPartition, func(m *Mesh) {
		m.partitionFrom(m.primaryMachineOrRandom(), m.coreMachines, longPartition)
	})
	longFullPartition = lossFault("cut a core machine off from everybody for twenty seconds", longPartition, func(m *Mesh) {
		victim := m.primaryMachineOrRandom()
		m.partitionFrom(victim, slices.Concat(m.coreMachines, m.proxyNames, []string{externalName}), longPartition)
	})
	restartDuringPartition = lossFault("cut a core machine off and restart it meanwhile", longPartition, func(m *Mesh) {
		victim := m.primaryMachineOrRandom()
		m.partitionFrom(victim, m.coreMachines, longPartition)
		m.after(m.randomDuration(monotonic.Second, longPartition), func() { m.restartMachine(victim, 500*monotonic.Millisecond, m.World.Kill) })
	})
	killOthersAfterPartition = lossFault("cut a core machine off, and kill the others' processes as it comes back", longPartition+monotonic.Second, func(m *Mesh) {
		victim := m.primaryMachineOrRandom()
		m.partitionFrom(victim, m.coreMachines, longPartition)
		m.after(longPartition+100*monotonic.Millisecond, func() {
			for _, machine := range othersOf(m.coreMachines, victim) {
				m.restartMachine(machine, monotonic.Second, m.World.Kill)
			}
		})
	})
	// staleMemberAfterPartition cuts a machine off so that it misses changes. Of the machines that did not miss them, one loses its
	// disk, and all are down when the partition ends.
	staleMemberAfterPartition = lossFault("a core machine misses changes, and the others are down as it comes back", 16*monotonic.Second, func(m *Mesh) {
		const outage = 10 * monotonic.Second
		victim := m.primaryMachineOrRandom()
		others := othersOf(m.coreMachines, victim)
		m.partitionFrom(victim, m.coreMachines, outage)
		m.after(outage-monotonic.Second, func() {
			wiped := pick(m, others)
			for _, machine := range others {
				stop := m.World.PowerLoss
				if machine == wiped {
					stop = m.World.LoseDisk
				}
				m.restartMachine(machine, 3*monotonic.Second, stop)
			}
		})
	})
	splitCore = lossFault("split the core into halves", longPartition, func(m *Mesh) {
		half := len(m.coreMachines) / 2
		for _, machine := range m.coreMachines[:half] {
			m.partitionFromAll(machine, m.coreMachines[half:], longPartition)
		}
	})
	slowSingleDisk = lossFault("slow a core disk, alone", 8*monotonic.Second, slowDisk.inject)
)

// Replacements of core machines.
var (
	plannedReplacement = lossFault("replace a core machine as planned", 8*monotonic.Second, func(m *Mesh) { m.replacePlanned() })
	// lossDuringReplacement loses another machine's disk at the moment at which the old machine ends. The successor has caught up by
	// then, so nothing else counts as lost.
	lossDuringReplacement = lossFault("replace a core machine as planned, and lose another's disk as the old one ends", 2*catchUpAllowance+4*monotonic.Second, func(m *Mesh) {
		oldest := m.coreMachines[0]
		m.startNewMachine()
		m.after(catchUpAllowance+500*monotonic.Millisecond, func() {
			m.removePlanned(oldest, func() {
				victim := m.primaryMachineOrRandom()
				m.restartMachine(victim, m.randomDuration(500*monotonic.Millisecond, 2*monotonic.Second), m.World.LoseDisk)
			})
		})
	})
	// permanentLoss removes a core machine permanently. Its successor starts a second later with empty disks.
	permanentLoss = lossFault("lose a core machine for good", monotonic.Second, func(m *Mesh) {
		m.retire(pick(m, m.coreMachines))
		m.after(monotonic.Second, m.startNewMachine)
	})
	loseDiskThenReplace = lossFault("lose a disk, and replace a machine right after its return", 10*monotonic.Second, func(m *Mesh) {
		m.restartMachine(m.primaryMachineOrRandom(), 500*monotonic.Millisecond, m.World.LoseDisk)
		m.after(500*monotonic.Millisecond+catchUpAllowance, func() { m.replacePlanned() })
	})
)

// replacePlanned starts a new core machine and, some seconds later, removes the oldest one by a planned stop.
func (m *Mesh) replacePlanned() {
	oldest := m.coreMachines[0]
	m.startNewMachine()
	m.after(m.randomDuration(monotonic.Second, 5*monotonic.Second), func() { m.removePlanned(oldest, func() {}) })
}

// removePlanned stops a core machine's processes as planned, retires the machine when the last of them has ended, and then calls
// the function then.
func (m *Mesh) removePlanned(machine string, then func()) {
	running := len(m.coreNodes(machine))
	for _, node := range m.coreNodes(machine) {
		m.External.Go(func() {
			_ = m.transactAt(node.Address, 6*monotonic.Second, func() {
				m.replicationMember(node.Name).Leave("planned stop", 3*monotonic.Second)
			})
			running--
			if running == 0 {
				m.runNow(func() {
					m.retire(machine)
					then()
				})
			}
		})
	}
}
