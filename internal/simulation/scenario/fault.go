package scenario

import (
	"slices"

	"snowflow/internal/configstore"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry"
	"snowflow/internal/simulation/world"
)

// fault is one kind of failure, or of change, that a scenario may inject. inject draws the details and arranges for the end of
// the fault; whatever has not ended by then ends with Mesh.heal.
type fault struct {
	name   string
	inject func(m *Mesh)
}

// noFault lets a scenario go on without another fault.
var noFault = fault{"no further fault", func(*Mesh) {}}

// catchUpAllowance is how long after its return or start a core machine still counts as lost, since it has to catch up.
const catchUpAllowance = 4 * monotonic.Second

// restartAfter ends the nodes that are up, each by the function stop, and starts them again after a downtime.
func (m *Mesh) restartAfter(nodes []*world.Node, downtime monotonic.Micros, stop func(*world.Node)) {
	for _, node := range nodes {
		if !node.Up() {
			continue
		}
		stop(node)
		m.after(downtime, func() { m.World.Start(node) })
	}
}

// restartMachine does the same with the processes of a core machine.
func (m *Mesh) restartMachine(machine string, downtime monotonic.Micros, stop func(*world.Node)) {
	m.restartAfter(m.coreNodes(machine), downtime, stop)
}

// freezeNode freezes a node for a duration, its clock too if the defects say so.
func (m *Mesh) freezeNode(node *world.Node, duration monotonic.Micros) {
	if m.defects.ClockStopsWhileFrozen {
		m.World.Suspend(node, duration)
		return
	}
	m.World.Freeze(node, duration)
}

// partitionFor partitions two machines for a duration, from the first to the second or in both directions.
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

// partitionFromAll partitions a machine from others in both directions.
func (m *Mesh) partitionFromAll(machine string, others []string, duration monotonic.Micros) {
	for _, other := range others {
		m.partitionFor(machine, other, true, duration)
	}
}

// partitionFrom partitions a core machine from others, to them, from them or both ways as is drawn once.
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

// delayNextLoss forbids further losses until one that lasts for a duration no longer counts.
func (m *Mesh) delayNextLoss(duration monotonic.Micros) {
	m.nextLossAt = max(m.nextLossAt, m.World.Now()+duration+catchUpAllowance)
}

// lossFault is a fault that is injected only while a loss is allowed, and counts as one for a duration.
func lossFault(name string, duration monotonic.Micros, inject func(m *Mesh)) fault {
	return fault{name, func(m *Mesh) {
		if !m.lossAllowed() {
			return
		}
		m.delayNextLoss(duration)
		inject(m)
	}}
}

// powerOffEverythingWith injects other faults at the moment in which all machines lose power.
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

// others returns the names without one.
func othersOf(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
}
