package scenario

import (
	"slices"

	"snowflow/internal/configstore"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry"
	"snowflow/internal/simulation/world"
)

// fault is a kind of failure or change that a scenario may inject. inject draws the details and schedules the end of the fault.
// Mesh.heal ends the faults that are still in effect when the injection phase is over.
type fault struct {
	name   string
	inject func(m *Mesh)
}

// noFault does nothing, so that a scenario continues without another fault.
var noFault = fault{"no further fault", func(*Mesh) {}}

// catchUpAllowance is how long a core machine still counts as lost after its return or start, since it has to catch up.
const catchUpAllowance = 4 * monotonic.Second

// restartAfter calls stop for each node that is up, and starts these nodes again after a downtime.
func (m *Mesh) restartAfter(nodes []*world.Node, downtime monotonic.Micros, stop func(*world.Node)) {
	for _, node := range nodes {
		if !node.Up() {
			continue
		}
		stop(node)
		m.after(downtime, func() { m.World.Start(node) })
	}
}

// restartMachine stops the processes of a core machine and starts them again after a downtime, see restartAfter.
func (m *Mesh) restartMachine(machine string, downtime monotonic.Micros, stop func(*world.Node)) {
	m.restartAfter(m.coreNodes(machine), downtime, stop)
}

// freezeNode freezes a node for a duration. The defect ClockStopsWhileFrozen freezes its clock too.
func (m *Mesh) freezeNode(node *world.Node, duration monotonic.Micros) {
	if m.defects.ClockStopsWhileFrozen {
		m.World.Suspend(node, duration)
		return
	}
	m.World.Freeze(node, duration)
}

// partitionFor partitions two machines for a duration, either from the first to the second only or in both directions.
func (m *Mesh) partitionFor(from, to string, bothWays bool, duration monotonic.Micros) {
	if from == to {
		return
	}
	m.World.Partition(from, to)
	if bothWays {
		m.World.Partition(to, from)
	}
	m.after(duration, func() { m.World.HealPartition(from, to) })
}

// partitionFromAll partitions a machine from others in both directions for a duration.
func (m *Mesh) partitionFromAll(machine string, others []string, duration monotonic.Micros) {
	for _, other := range others {
		m.partitionFor(machine, other, true, duration)
	}
}

// partitionFrom partitions a core machine from others for a duration. The direction (to them, from them or both) is drawn once
// for all of them.
func (m *Mesh) partitionFrom(machine string, others []string, duration monotonic.Micros) {
	direction := m.World.Rand().IntN(3)
	for _, other := range others {
		switch direction {
		case 0:
			m.partitionFor(machine, other, false, duration)
		case 1:
			m.partitionFor(other, machine, false, duration)
		default:
			m.partitionFor(machine, other, true, duration)
		}
	}
}

// lossAllowed reports whether another disk may be lost now.
func (m *Mesh) lossAllowed() bool { return m.World.Now() >= m.nextLossAt }

// lossAllowedWithPrimaries reports whether another disk may be lost now and both groups have a primary.
func (m *Mesh) lossAllowedWithPrimaries() bool {
	return m.primary(registry.Group) != nil && m.primary(configstore.Group) != nil && m.lossAllowed()
}

// delayNextLoss forbids further losses until a loss of the given duration, and the catch-up after it, are over.
func (m *Mesh) delayNextLoss(duration monotonic.Micros) {
	m.nextLossAt = max(m.nextLossAt, m.World.Now()+duration+catchUpAllowance)
}

// lossFault returns a fault that is injected only while a loss is allowed, and that counts as a loss for a duration.
func lossFault(name string, duration monotonic.Micros, inject func(m *Mesh)) fault {
	return fault{name, func(m *Mesh) {
		if !m.lossAllowed() {
			return
		}
		m.delayNextLoss(duration)
		inject(m)
	}}
}

// powerOffEverythingWith returns a fault that injects other faults at the moment at which all machines lose power.
func powerOffEverythingWith(others ...fault) fault {
	name := powerOffEverything.name
	for _, other := range others {
		name += ", and " + other.name
	}
	return fault{name, func(m *Mesh) {
		for _, other := range others {
			other.inject(m)
		}
		powerOffEverything.inject(m)
	}}
}

// othersOf returns the names without the given one.
func othersOf(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
}
