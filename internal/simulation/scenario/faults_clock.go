package scenario

import (
	"snowflow/internal/configstore"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
)

// clockSteps are the amounts by which a clock may be stepped, forward or back.
var clockSteps = []monotonic.Micros{1500 * monotonic.Millisecond, 5 * monotonic.Second, 30 * monotonic.Second, 10 * monotonic.Minute, 60 * monotonic.Minute}

func (m *Mesh) stepClock(node *world.Node) {
	step := pick(m, clockSteps)
	if m.oneIn(2) {
		step = -step
	}
	m.logf("%s: clock stepped by %d", node.Name, step)
	m.World.StepClock(node, step)
}

// Faults of clocks.
var (
	stepCoreClock    = fault{"step a core process's clock", func(m *Mesh) { m.stepClock(pick(m, m.allCoreNodes())) }}
	stepPrimaryClock = fault{"step a primary's clock", func(m *Mesh) {
		if node := m.randomPrimary(); node != nil {
			m.stepClock(node)
		}
	}}
	stepProxyClock = fault{"step a proxy's clock", func(m *Mesh) { m.stepClock(m.World.Node(pick(m, m.proxyNames))) }}
	// stepPrimaryClockDuringPartition steps the clock of the configuration store's primary ahead while a proxy that holds a lease is
	// unreachable, and then applies a desired state.
	stepPrimaryClockDuringPartition = fault{"step the configuration store primary's clock while a proxy is cut off", func(m *Mesh) {
		isolateProxyFromCore.inject(m)
		if node := m.primary(configstore.Group); node != nil {
			m.after(300*monotonic.Millisecond, func() {
				m.World.StepClock(node, 10*monotonic.Second)
				applyConfig.inject(m)
			})
		}
	}}
)
