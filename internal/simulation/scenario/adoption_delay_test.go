package scenario

import (
	"fmt"
	"slices"
	"testing"

	"snowflow/internal/configstore"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

// maxAdoptionDelay is how long after its acknowledgement a version may take until each proxy in contact has adopted it.
const maxAdoptionDelay = 2 * monotonic.Second

// acknowledgedVersion is a version with the time of its acknowledgement.
type acknowledgedVersion struct {
	version uint64
	at      monotonic.Micros
}

// applyContinuously applies one version after another on any core machine, until the mesh no longer serves, and returns the acknowledged
// ones.
func (m *Mesh) applyContinuously(pause monotonic.Micros) *[]acknowledgedVersion {
	acknowledged := &[]acknowledgedVersion{}
	m.External.Go(func() {
		for version := uint64(firstOperatorVersion); m.serving; version++ {
			write := configWrite{version: version, content: Desired(int(version))}
			for m.serving && m.writeAt(pick(m, m.coreMachines), write) != invariants.Confirmed {
				m.External.Sleep(applyRetryInterval)
			}
			if m.serving {
				*acknowledged = append(*acknowledged, acknowledgedVersion{version, m.World.Now()})
			}
			m.External.Sleep(pause)
		}
	})
	return acknowledged
}

// runAndMeasureAdoption runs the mesh, and returns how long after its acknowledgement the slowest proxy adopted a version.
func (m *Mesh) runAndMeasureAdoption(duration monotonic.Micros, acknowledged *[]acknowledgedVersion) (slowest monotonic.Micros) {
	end, pending := m.World.Now()+duration, map[string]int{}
	for m.World.Now() < end {
		m.runFor(10 * monotonic.Millisecond)
		for _, name := range m.proxyNames {
			version, _ := m.proxies[name].ConfigClient.Version()
			for next := pending[name]; next < len(*acknowledged); next++ {
				waiting := (*acknowledged)[next]
				if version < waiting.version {
					slowest = max(slowest, m.World.Now()-waiting.at)
					break
				}
				pending[name] = next + 1
			}
		}
	}
	return slowest
}

// TestAdoptionAfterLostPrimary guards against proxies in contact that adopt a version seconds late, because the poll that they sent to a
// primary that was cut off hangs.
func TestAdoptionAfterLostPrimary(t *testing.T) {
	for _, size := range []struct{ cores, replicas int }{{3, 2}, {5, 3}} {
		for _, seed := range seeds(t, 1, 2, 3, 4) {
			t.Run(fmt.Sprintf("%d/%d", size.cores, seed), func(t *testing.T) {
				t.Parallel()
				topology := controlPlaneTopology(size.cores, size.replicas)
				topology.Proxies, topology.Backends = 8, 0
				m := Build(seed, topology, Defects{})
				defer m.World.Close()
				m.start(Scenario{Rate: 1})
				acknowledged := m.applyContinuously(m.randomDuration(100*monotonic.Millisecond, 900*monotonic.Millisecond))
				slowest := monotonic.Micros(0)
				for range 4 {
					m.after(m.randomDuration(0, 2*monotonic.Second), func() {
						if node := m.primary(configstore.Group); node != nil {
							m.partitionFromAll(node.Machine, slices.Concat(m.coreMachines, m.proxyNames, []string{externalName}), 6*monotonic.Second)
						}
					})
					slowest = max(slowest, m.runAndMeasureAdoption(16*monotonic.Second, acknowledged))
				}
				if slowest > maxAdoptionDelay {
					t.Errorf("a proxy adopted a version %d us after its acknowledgement", slowest)
				}
				if len(*acknowledged) < 20 {
					t.Errorf("%d versions were acknowledged", len(*acknowledged))
				}
				m.serving = false
			})
		}
	}
}
