package scenario

import (
	"slices"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

// Faults of the network.
var (
	partitionCore = fault{"partition two core machines, one way or both", func(m *Mesh) {
		from, to := pick(m, m.coreMachines), pick(m, m.coreMachines)
		m.partitionFor(from, to, m.oneIn(2), m.randomDuration(500*monotonic.Millisecond, 6*monotonic.Second))
	}}
	isolateMachine = fault{"isolate a machine", func(m *Mesh) {
		machines := slices.Concat(m.coreMachines, m.proxyNames)
		isolated := pick(m, machines)
		duration := m.randomDuration(500*monotonic.Millisecond, 8*monotonic.Second)
		m.partitionFromAll(isolated, append(machines, externalName), duration)
	}}
	partitionProxyFromCore = fault{"partition a proxy from a core machine", func(m *Mesh) {
		m.partitionFor(pick(m, m.proxyNames), pick(m, m.coreMachines), m.oneIn(2), m.randomDuration(500*monotonic.Millisecond, 8*monotonic.Second))
	}}
	partitionProxies = fault{"partition two proxies", func(m *Mesh) {
		m.partitionFor(pick(m, m.proxyNames), pick(m, m.proxyNames), m.oneIn(2), m.randomDuration(500*monotonic.Millisecond, 8*monotonic.Second))
	}}
	isolateProxyFromCore = fault{"partition a proxy from the whole core", func(m *Mesh) {
		victim, duration := pick(m, m.proxyNames), m.randomDuration(3*monotonic.Second, 9*monotonic.Second)
		m.partitionFromAll(victim, m.coreMachines, duration)
	}}
	// partitionDegradedProxy partitions the first proxy, whose network degradeNetworks(0, ...) has degraded.
	partitionDegradedProxy = fault{"partition the degraded proxy from another, one way or both", func(m *Mesh) {
		m.partitionFor(m.proxyNames[0], pick(m, m.proxyNames), m.oneIn(2), m.randomDuration(500*monotonic.Millisecond, 6*monotonic.Second))
	}}
)

// slowNetworkDelay is added to the latency of each message between a proxy with a slow network and another proxy.
const slowNetworkDelay = 500 * monotonic.Millisecond

// degradeNetworks returns a function that degrades the networks of consecutive proxies, from the one with the index first on. Each
// gets one of the problems.
func degradeNetworks(first int, problems ...networkProblem) func(m *Mesh) {
	return func(m *Mesh) {
		for index, problem := range problems {
			name := m.proxyNames[first+index]
			m.degraded[name] = problem
			if problem == slowNetwork {
				for _, other := range othersOf(m.proxyNames, name) {
					m.World.Delay(name, other, slowNetworkDelay)
					m.World.Delay(other, name, slowNetworkDelay)
				}
			}
			m.History.RecordMarker(invariants.MarkerNetworkDegraded+name, m.World.Now())
		}
	}
}
