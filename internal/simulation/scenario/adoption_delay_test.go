package scenario

import (
	"fmt"
	"slices"
	"testing"

	"snowflow/internal/configstore"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

// maxAdoptionDelay is the maximum time from the acknowledgement of a version until every connected proxy has adopted it.
const maxAdoptionDelay = 2 * monotonic.Second

// acknowledgedVersion is a configuration version and the time of its acknowledgement.
type acknowledgedVersion struct {
	version uint64
	at      monotonic.Micros
}

// applyContinuously applies one configuration version after another, each at a random core machine, until the mesh stops serving. The
// list that it returns grows with each acknowledged version.
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

// runAndMeasureAdoption runs the mesh for a duration and returns the longest time that a proxy still lacked a version after its
// acknowledgement.
func (m *Mesh) runAndMeasureAdoption(duration monotonic.Micros, acknowledged *[]acknowledgedVersion) (slowest monotonic.Micros) {
	end, nextIndex := m.World.Now()+duration, map[string]int{} // nextIndex: the first version that each proxy hasn't adopted yet
	for m.World.Now() < end {
		m.runFor(10 * monotonic.Millisecond)
		for _, name := range m.proxyNames {
			version, _ := m.proxies[name].ConfigClient.Version()
			for index := nextIndex[name]; index < len(*acknowledged); index++ {
				expected := (*acknowledged)[index]
				if version < expected.version {
					slowest = max(slowest, m.World.Now()-expected.at)
					break
				}
				nextIndex[name] = index + 1
			}
		}
	}
	return slowest
}

// TestAdoptionAfterLostPrimary guards against connected proxies that adopt a version seconds late because the poll that they sent to a
// partitioned primary hangs.
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
					t.Errorf("only %d versions were acknowledged", len(*acknowledged))
				}
				m.serving = false
			})
		}
	}
}
