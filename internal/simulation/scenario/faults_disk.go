package scenario

import (
	"strings"

	"snowflow/internal/configstore"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// lossInterval is the minimum time between two losses of disks. Within it both groups restore all their replicas.
const lossInterval = 20 * monotonic.Second

// Faults of disks.
var (
	slowDisk = fault{"slow a core disk", func(m *Mesh) {
		disk := pick(m, m.allCoreNodes()).Disk
		disk.SyncDelay = m.randomDuration(100*monotonic.Millisecond, monotonic.Second)
		m.after(m.randomDuration(monotonic.Second, 8*monotonic.Second), func() { disk.SyncDelay = m.syncDuration })
	}}
	fillDisk = fault{"fill a core disk", func(m *Mesh) {
		disk := pick(m, m.allCoreNodes()).Disk
		disk.Capacity = disk.Used() + m.World.Rand().IntN(4000)
		m.after(m.randomDuration(monotonic.Second, 8*monotonic.Second), func() { disk.Capacity = 0 })
	}}
	failSync = fault{"fail a sync", func(m *Mesh) { pick(m, m.allCoreNodes()).Disk.FailSyncs = 1 }}
	loseDisk = fault{"lose a core machine's disk", func(m *Mesh) {
		if !m.lossAllowedWithPrimaries() {
			return
		}
		m.nextLossAt = m.World.Now() + lossInterval
		m.restartMachine(pick(m, m.coreMachines), m.randomDuration(200*monotonic.Millisecond, 5*monotonic.Second), m.World.LoseDisk)
	}}
	damageDisk = fault{"corrupt a journal of a core machine", func(m *Mesh) {
		if !m.lossAllowedWithPrimaries() {
			return
		}
		m.nextLossAt = m.World.Now() + lossInterval
		node := pick(m, m.allCoreNodes())
		m.restartAfter([]*world.Node{node}, monotonic.Second, m.World.Kill)
		group := strings.SplitN(node.Name, "-", 2)[0]
		node.Disk.Corrupt(group+".journal", m.World.Rand().IntN(40))
	}}
)

// Losses of disks at the moment at which an operator receives the acknowledgement of a change.
var (
	loseDiskAtAcknowledgement = fault{"lose the disk of the configuration store's primary at an acknowledgement", func(m *Mesh) {
		m.atAcknowledgement(func() {
			node := m.primary(configstore.Group)
			if node == nil || !m.lossAllowedWithPrimaries() {
				return
			}
			m.nextLossAt = m.World.Now() + lossInterval
			m.restartMachine(node.Machine, m.randomDuration(200*monotonic.Millisecond, 5*monotonic.Second), m.World.LoseDisk)
		})
	}}
	// loseTwoDisksAtAcknowledgement does nothing unless both groups have three replicas.
	loseTwoDisksAtAcknowledgement = fault{"lose the disks of the configuration store's primary and of a backup at an acknowledgement", func(m *Mesh) {
		m.atAcknowledgement(func() {
			configPrimary, registryPrimary := m.primary(configstore.Group), m.primary(registry.Group)
			if configPrimary == nil || registryPrimary == nil || !m.lossAllowed() {
				return
			}
			backups := m.configStores[configPrimary.Name].Member.Backups()
			if len(backups) < 2 || len(m.registries[registryPrimary.Name].Member.Backups()) < 2 {
				return
			}
			m.nextLossAt = m.World.Now() + lossInterval
			for _, machine := range []string{configPrimary.Machine, m.World.Node(pick(m, backups)).Machine} {
				m.restartMachine(machine, m.randomDuration(200*monotonic.Millisecond, 5*monotonic.Second), m.World.LoseDisk)
			}
			m.History.RecordMarker("two disks lost", m.World.Now())
		})
	}}
)

// faultAfterWrites makes the machine of a registry process that has just acknowledged a write lose its power or its disk, or the
// whole core lose power, within the milliseconds in which the response is in transit. The kinds of writes take turns.
func faultAfterWrites(m *Mesh) {
	kinds := []wire.Kind{wire.Kind_claim, wire.Kind_breaker_write, wire.Kind_claim, wire.Kind_probe_lease, wire.Kind_void_claim}
	turn := 0
	m.afterWrite = func(node *world.Node, kind wire.Kind) {
		if !m.lossAllowed() || !m.serving || kind != kinds[turn%len(kinds)] || !m.oneIn(3) {
			return
		}
		turn++
		m.nextLossAt = m.World.Now() + 12*monotonic.Second
		stop := pick(m, []func(*world.Node){m.World.PowerLoss, m.World.LoseDisk, nil})
		m.logf("%s fails after a %s", node.Name, kind)
		m.after(m.randomDuration(0, 3*monotonic.Millisecond), func() {
			if stop == nil {
				powerOffCore.inject(m)
				return
			}
			m.restartMachine(node.Machine, m.randomDuration(200*monotonic.Millisecond, 4*monotonic.Second), stop)
		})
	}
}

// Changes of the core's membership.
var (
	addCoreMachine = fault{"add a core machine", func(m *Mesh) { m.startNewMachine() }}
	// replaceCoreMachine removes a core machine permanently. An empty one with another name and address starts earlier or later.
	replaceCoreMachine = func(retireAfter, startAfter monotonic.Micros) fault {
		return fault{"replace a core machine", func(m *Mesh) {
			oldest := m.coreMachines[0]
			m.after(retireAfter, func() { m.retire(oldest) })
			m.after(startAfter, func() { m.startNewMachine() })
		}}
	}
)
