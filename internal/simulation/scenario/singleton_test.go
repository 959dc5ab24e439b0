package scenario

import (
	"encoding/json"
	"fmt"
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/singleton"
	"snowflow/internal/simulation/world"
)

// belief is a span in which a doer thinks that a duty is its own.
type ownershipBelief struct {
	holder      string
	from, until monotonic.Micros
}

// work has a backend ask for a duty again and again, and note what it believes, counted as docs/interfaces.md says: from
// before it asked.
func (m *Mesh) requestDuty(one *simulatedBackend, note func(ownershipBelief)) {
	for m.serving && one.up {
		m.External.Sleep(500*monotonic.Millisecond + monotonic.Micros(m.World.Rand().Uint64N(uint64(monotonic.Second))))
		requestedAt := m.World.Now()
		content, err := m.External.Transact(m.World.Node(one.proxy).Address, 5*monotonic.Second, func(*world.Node) ([]byte, error) {
			grant, err := m.proxies[one.proxy].Singleton.Acquire("tally", one.instance, 3*monotonic.Second)
			if err != nil {
				return nil, err
			}
			return json.Marshal(grant)
		})
		var grant singleton.Grant
		if err != nil || json.Unmarshal(content, &grant) != nil || !grant.Granted || m.World.Now() >= requestedAt+grant.Remaining {
			continue
		}
		note(ownershipBelief{holder: one.instance, from: m.World.Now(), until: requestedAt + grant.Remaining})
		if m.World.Rand().IntN(6) == 0 {
			// Now and then a doer hangs without a word, and others want its duty.
			m.External.Sleep(4*monotonic.Second + monotonic.Micros(m.World.Rand().Uint64N(uint64(6*monotonic.Second))))
		}
	}
}

// duties plays a course in which all backends want one duty, and gives the doers' beliefs in the order of their start.
func runDuties(name string, seed uint64, defects Defects) (beliefs []ownershipBelief, findings []string) {
	scenario := Scenarios[name]
	scenario.Prepare = func(mesh *Mesh) {
		mesh.serving = true
		for _, one := range mesh.backends {
			mesh.External.Go(func() { mesh.requestDuty(one, func(fresh ownershipBelief) { beliefs = append(beliefs, fresh) }) })
		}
	}
	for _, finding := range Run(scenario, seed, defects).Findings {
		findings = append(findings, finding.String())
	}
	return beliefs, findings
}

// overlap gives two doers' beliefs that share a moment, or nothing.
func overlappingHolders(beliefs []ownershipBelief) string {
	for index, one := range beliefs {
		for _, other := range beliefs[index+1:] {
			if one.holder != other.holder && other.from < one.until && one.from < other.until {
				return fmt.Sprintf("%s from %d to %d, %s from %d to %d", one.holder, one.from, one.until, other.holder, other.from, other.until)
			}
		}
	}
	return ""
}

// TestDuties: a duty has one doer at a time, whoever fails.
func TestDuties(t *testing.T) {
	for _, name := range []string{"core", "everything"} {
		for _, seed := range seeds(t, 1, 2) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				beliefs, findings := runDuties(name, seed, Defects{})
				for _, finding := range findings {
					t.Error(finding)
				}
				holders := map[string]bool{}
				for _, one := range beliefs {
					holders[one.holder] = true
				}
				if len(holders) < 2 {
					t.Errorf("%d grants to %d doers", len(beliefs), len(holders))
				}
				if both := overlappingHolders(beliefs); both != "" {
					t.Error(both)
				}
				t.Logf("%d grants to %d doers", len(beliefs), len(holders))
			})
		}
	}
	t.Run("stubborn doers are seen", func(t *testing.T) {
		t.Parallel()
		for seed := uint64(1); seed <= 12; seed++ {
			if beliefs, _ := runDuties("core", seed, Defects{IgnoreDutyExpiry: true}); overlappingHolders(beliefs) != "" {
				return
			}
		}
		t.Error("doers that went on past their tenure were not noticed in 12 seeds")
	})
}
