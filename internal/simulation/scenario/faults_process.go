package scenario

import (
	"fmt"

	"snowflow/internal/configstore"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
)

// Faults that end processes.
var (
	killProxy = fault{"kill a proxy", func(m *Mesh) {
		node := m.World.Node(pick(m, m.proxyNames))
		m.restartAfter([]*world.Node{node}, m.randomDuration(100*monotonic.Millisecond, 5*monotonic.Second), m.World.Kill)
	}}
	// killProxyWithMarker marks the kill for the check that no idempotency key is lost: a kill in mid-request excuses a loss.
	killProxyWithMarker = fault{"kill a proxy, with a marker", func(m *Mesh) {
		name := pick(m, m.proxyNames)
		m.History.RecordMarker(invariants.MarkerProxyKilled+name, m.World.Now())
		m.restartAfter([]*world.Node{m.World.Node(name)}, m.randomDuration(100*monotonic.Millisecond, 2*monotonic.Second), m.World.Kill)
	}}
	killCoreProcess = fault{"kill a core process", func(m *Mesh) {
		m.restartAfter([]*world.Node{pick(m, m.allCoreNodes())}, m.randomDuration(100*monotonic.Millisecond, 5*monotonic.Second), m.World.Kill)
	}}
	killPrimary = fault{"kill a primary", func(m *Mesh) {
		if node := m.randomPrimary(); node != nil {
			m.restartAfter([]*world.Node{node}, m.randomDuration(100*monotonic.Millisecond, 5*monotonic.Second), m.World.Kill)
		}
	}}
	powerOffCore = fault{"power off the whole core", func(m *Mesh) {
		m.restartAfter(m.allCoreNodes(), m.randomDuration(500*monotonic.Millisecond, 3*monotonic.Second), m.World.PowerLoss)
	}}
	powerOffCoreMachine = fault{"power off a core machine", func(m *Mesh) {
		m.restartMachine(pick(m, m.coreMachines), m.randomDuration(200*monotonic.Millisecond, 5*monotonic.Second), m.World.PowerLoss)
	}}
	powerOffEverything = fault{"power off everything", func(m *Mesh) {
		nodes := m.allCoreNodes()
		for _, name := range m.proxyNames {
			nodes = append(nodes, m.World.Node(name))
		}
		for _, node := range nodes {
			m.restartAfter([]*world.Node{node}, m.randomDuration(500*monotonic.Millisecond, 3*monotonic.Second), m.World.PowerLoss)
		}
	}}
	powerOffAtAcknowledgement = fault{"power off the whole core at an acknowledgement", func(m *Mesh) {
		m.atAcknowledgement(func() { powerOffCore.inject(m) })
	}}
)

// Faults that freeze processes.
var (
	freezeCore = fault{"freeze a core process", func(m *Mesh) {
		m.freezeNode(pick(m, m.allCoreNodes()), m.randomDuration(300*monotonic.Millisecond, 6*monotonic.Second))
	}}
	freezePrimary = fault{"freeze a primary", func(m *Mesh) {
		if node := m.randomPrimary(); node != nil {
			m.freezeNode(node, m.randomDuration(300*monotonic.Millisecond, 6*monotonic.Second))
		}
	}}
	freezeProxy = fault{"freeze a proxy", func(m *Mesh) {
		m.freezeNode(m.World.Node(pick(m, m.proxyNames)), m.randomDuration(300*monotonic.Millisecond, 8*monotonic.Second))
	}}
	// freezeAndApply applies a desired state during a long freeze. After it the proxy continues with the requests that were in flight,
	// although its configuration lease has long expired.
	freezeAndApply = fault{"freeze a proxy for long and apply a desired state", func(m *Mesh) {
		m.freezeNode(m.World.Node(pick(m, m.proxyNames)), 8*monotonic.Second)
		m.after(500*monotonic.Millisecond, func() { applyConfig.inject(m) })
	}}
)

// platformGracePeriods are the times, in seconds, after which the platform kills a process that it has asked to stop.
var platformGracePeriods = []monotonic.Micros{3, 4, 5}

// Planned stops.
var (
	drainProxy = fault{"stop a proxy as planned", func(m *Mesh) {
		name := pick(m, m.proxyNames)
		node := m.World.Node(name)
		if !node.Up() || m.draining[name] {
			return
		}
		m.draining[name] = true
		end := m.endPlannedStop(name)
		m.after(pick(m, platformGracePeriods)*monotonic.Second, end)
		instance := m.proxies[name]
		m.External.Go(func() {
			_ = m.transactAt(node.Address, 20*monotonic.Second, func() {
				if !m.defects.NoDrain {
					instance.Drain(m.drainTimeout, func() { m.refusingCallers[name] = true })
				}
			})
			m.runNow(end)
		})
	}}
	stopPrimary = fault{"stop a primary as planned", func(m *Mesh) {
		node := m.randomPrimary()
		if node == nil {
			return
		}
		end := m.History.BeginPlannedChange("planned stop of "+node.Name, m.World.Now())
		m.External.Go(func() {
			_ = m.transactAt(node.Address, 5*monotonic.Second, func() { m.replicationMember(node.Name).TransferLeadership("planned") })
			m.runNow(func() {
				m.World.Kill(node)
				end(m.World.Now())
				m.after(300*monotonic.Millisecond, func() { m.World.Start(node) })
			})
		})
	}}
)

// endPlannedStop records the start of a proxy's planned stop. It returns a function that ends the proxy and starts it again. Only
// the function's first call has an effect.
func (m *Mesh) endPlannedStop(name string) func() {
	node, end := m.World.Node(name), m.History.BeginPlannedChange("planned stop of "+name, m.World.Now())
	ended := false
	return func() {
		if ended {
			return
		}
		ended = true
		m.World.Kill(node)
		end(m.World.Now())
		m.after(200*monotonic.Millisecond, func() {
			m.draining[name], m.refusingCallers[name] = false, false
			m.World.Start(node)
		})
	}
}

// moveCoreMachine gives the first or second core machine other addresses. The third keeps its own, so that one of the three seed
// addresses is always correct.
var moveCoreMachine = fault{"move a core machine to other addresses", func(m *Mesh) {
	for _, node := range m.coreNodes(pick(m, m.coreMachines[:2])) {
		if !node.Up() {
			continue
		}
		m.World.Kill(node)
		node.Address = fmt.Sprintf("%s:%s:%d", node.Machine, node.Name, m.World.Now())
		m.after(m.randomDuration(200*monotonic.Millisecond, 2*monotonic.Second), func() { m.World.Start(node) })
	}
}}

// killConfigPrimaryDuringBurst kills the configuration store's primary during a burst of route changes.
var killConfigPrimaryDuringBurst = fault{"kill the configuration store's primary in a burst of route changes", func(m *Mesh) {
	changeRoutesInBurst.inject(m)
	if !m.routeWorkload.tryReserve(m.World.Now(), 8*monotonic.Second) {
		return
	}
	m.after(m.randomDuration(0, 400*monotonic.Millisecond), func() {
		if node := m.primary(configstore.Group); node != nil {
			m.restartAfter([]*world.Node{node}, m.randomDuration(500*monotonic.Millisecond, 4*monotonic.Second), m.World.Kill)
		}
	})
}}
