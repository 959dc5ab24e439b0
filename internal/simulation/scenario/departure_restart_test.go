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
	// departureLimit is how long after its acknowledgement a departure may be unknown elsewhere: the users' platform allows 2 s.
	departureLimit = 2 * monotonic.Second
	// departureWatch is how long the directories are watched: longer than a heartbeat keeps a backend in service.
	departureWatch = 12 * monotonic.Second
	// departureTries bounds how often a backend says that it leaves, until that is acknowledged.
	departureTries = 10
)

// TestDepartureOutlivesProxy guards against the fault by which a proxy that was killed after it had acknowledged a departure took a late
// heartbeat from before it as that of a backend in service: all proxies then sent requests to it again.
func TestDepartureOutlivesProxy(t *testing.T) {
	for _, test := range []struct {
		name string
		// killPrimary also ends the registry's primary, once it has exchanged its sessions with the others.
		killPrimary bool
		drains      bool // the backend reports that it drains, and doesn't deregister
		partitioned bool // the proxy can't reach the core at that moment
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
				leaving := mesh.backends[mesh.World.Rand().IntN(len(mesh.backends))]
				late := mesh.nextReport(leaving, localbackends.Working)
				leaving.up = false // it sends no further heartbeats
				if test.partitioned {
					mesh.partitionFrom(leaving.proxy, mesh.coreMachines, monotonic.Second)
				}
				for tries := 0; !mesh.acknowledgeDeparture(leaving, test.drains); tries++ {
					if tries == departureTries {
						t.Fatalf("seed %d: the departure is never acknowledged", seed)
					}
				}
				acknowledged := mesh.World.Now()
				node := mesh.World.Node(leaving.proxy)
				mesh.World.Kill(node)
				mesh.runFor(300 * monotonic.Millisecond)
				mesh.World.Start(node)
				mesh.runFor(mesh.randomDuration(500*monotonic.Millisecond, 2*monotonic.Second))
				if primary := mesh.primary(registry.Group); test.killPrimary && primary != nil {
					mesh.World.Kill(primary)
					mesh.after(monotonic.Second, func() { mesh.World.Start(primary) })
				}
				mesh.deliverReport(leaving, late)
				for mesh.World.Now() < acknowledged+departureWatch {
					mesh.runFor(50 * monotonic.Millisecond)
					if name := mesh.proxyThatLists(leaving); name != "" && mesh.World.Now() > acknowledged+departureLimit {
						t.Fatalf("seed %d: %s lists %s %d ms after its departure was acknowledged", seed, name, leaving.instance, (mesh.World.Now()-acknowledged)/monotonic.Millisecond)
					}
				}
			})
		}
	}
}

// nextReport returns the next report of a backend.
func (m *Mesh) nextReport(backend *simulatedBackend, condition string) localbackends.Report {
	backend.reportCount++
	return localbackends.Report{Backend: backend.identity(), Slots: m.topology.Slots, Condition: condition, Sequence: backend.reportCount}
}

// acknowledgeDeparture has a backend leave, and reports whether the proxy beside it acknowledged that within a second.
func (m *Mesh) acknowledgeDeparture(backend *simulatedBackend, drains bool) bool {
	departure := m.nextReport(backend, localbackends.Leaving)
	return m.callProxy(backend.proxy, func() error {
		if drains {
			return m.proxies[backend.proxy].ApplyReport(departure)
		}
		return m.proxies[backend.proxy].Deregister(backend.instance)
	})
}

// deliverReport delivers a report to the proxy beside a backend.
func (m *Mesh) deliverReport(backend *simulatedBackend, report localbackends.Report) {
	m.callProxy(backend.proxy, func() error { return m.proxies[backend.proxy].ApplyReport(report) })
}

// callProxy runs work in a proxy's process, as a request to it would, and reports whether it succeeded within a second.
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

// proxyThatLists returns a proxy whose directory has a backend among those that requests are sent to, or an empty string.
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
