package scenario

import (
	"fmt"
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/registry"
	"snowflow/internal/simulation/world"
)

const (
	// departureLimit is how long after the acknowledgement other proxies may still list a departed backend. The users' platform allows 2 s.
	departureLimit = 2 * monotonic.Second
	// departureWatch is how long the directories are observed: longer than a heartbeat keeps a backend listed.
	departureWatch = 12 * monotonic.Second
	// departureAttempts is how many times a backend may announce its departure until that is acknowledged.
	departureAttempts = 10
)

// TestDepartureOutlivesProxy guards against a departed backend that receives requests again. A proxy acknowledged the departure and was
// killed; after its restart it accepted a delayed heartbeat from before the departure, so all proxies listed the backend again.
func TestDepartureOutlivesProxy(t *testing.T) {
	for _, test := range []struct {
		name string
		// killPrimary also kills the registry's primary, after it has had time to exchange its sessions with the other registries.
		killPrimary bool
		drains      bool // the backend reports that it is draining instead of deregistering
		partitioned bool // the proxy can't reach the core when the backend departs
	}{
		{name: "deregisters"},
		{name: "drains", drains: true},
		{name: "and the registry's primary ends", killPrimary: true},
		{name: "while the core can't be reached", partitioned: true},
	} {
		for _, seed := range seeds(t, 1, 2, 3, 4, 5, 6, 7, 8) {
			t.Run(fmt.Sprintf("%s/%d", test.name, seed), func(t *testing.T) {
				t.Parallel()
				topology := smallTopology
				topology.Slots = 6
				mesh := Build(seed, topology, Defects{})
				t.Cleanup(mesh.World.Close)
				mesh.runFor(10 * monotonic.Second)
				departing := mesh.backends[mesh.World.Rand().IntN(len(mesh.backends))]
				delayed := mesh.nextReport(departing, localbackends.Working)
				departing.up = false // it sends no further heartbeats
				if test.partitioned {
					mesh.partitionFrom(departing.proxy, mesh.coreMachines, monotonic.Second)
				}
				for attempts := 0; !mesh.acknowledgeDeparture(departing, test.drains); attempts++ {
					if attempts == departureAttempts {
						t.Fatalf("seed %d: the departure was not acknowledged", seed)
					}
				}
				acknowledged := mesh.World.Now()
				node := mesh.World.Node(departing.proxy)
				mesh.World.Kill(node)
				mesh.runFor(300 * monotonic.Millisecond)
				mesh.World.Start(node)
				mesh.runFor(mesh.randomDuration(500*monotonic.Millisecond, 2*monotonic.Second))
				if primary := mesh.primary(registry.Group); test.killPrimary && primary != nil {
					mesh.World.Kill(primary)
					mesh.after(monotonic.Second, func() { mesh.World.Start(primary) })
				}
				mesh.deliverReport(departing, delayed)
				for mesh.World.Now() < acknowledged+departureWatch {
					mesh.runFor(50 * monotonic.Millisecond)
					if name := mesh.proxyThatLists(departing); name != "" && mesh.World.Now() > acknowledged+departureLimit {
						t.Fatalf("seed %d: %s lists %s %d ms after its departure was acknowledged", seed, name, departing.instance, (mesh.World.Now()-acknowledged)/monotonic.Millisecond)
					}
				}
			})
		}
	}
}

// nextReport returns the next report of a backend, with a new sequence number.
func (m *Mesh) nextReport(backend *simulatedBackend, condition string) localbackends.Report {
	backend.reportCount++
	return localbackends.Report{Backend: backend.identity(), Slots: m.topology.Slots, Condition: condition, Sequence: backend.reportCount}
}

// acknowledgeDeparture has a backend announce its departure, and reports whether its local proxy acknowledged that within a second.
func (m *Mesh) acknowledgeDeparture(backend *simulatedBackend, drains bool) bool {
	departure := m.nextReport(backend, localbackends.Leaving)
	return m.callProxy(backend.proxy, func() error {
		if drains {
			return m.proxies[backend.proxy].ApplyReport(departure)
		}
		return m.proxies[backend.proxy].Deregister(backend.instance)
	})
}

// deliverReport delivers a report to a backend's local proxy.
func (m *Mesh) deliverReport(backend *simulatedBackend, report localbackends.Report) {
	m.callProxy(backend.proxy, func() error { return m.proxies[backend.proxy].ApplyReport(report) })
}

// callProxy runs work in a proxy's process, like the handler of a request, and reports whether it succeeded within a second.
func (m *Mesh) callProxy(name string, work func() error) (succeeded bool) {
	ended := false
	m.External.Go(func() {
		_, err := m.External.CallFunc(m.World.Node(name).Address, monotonic.Second, func(*world.Node) ([]byte, error) { return nil, work() })
		succeeded, ended = err == nil, true
	})
	for !ended {
		m.runFor(monotonic.Millisecond)
	}
	return succeeded
}

// proxyThatLists returns the name of a proxy whose directory lists a backend as a candidate for requests, or an empty string.
func (m *Mesh) proxyThatLists(backend *simulatedBackend) string {
	for _, name := range m.proxyNames {
		if !m.World.Node(name).Up() {
			continue
		}
		for _, candidate := range m.proxies[name].Session.Directory().Candidates[backend.service] {
			if candidate.Instance == backend.instance {
				return name
			}
		}
	}
	return ""
}
