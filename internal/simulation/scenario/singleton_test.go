package scenario

import (
	"encoding/json"
	"fmt"
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/singleton"
	"snowflow/internal/simulation/world"
)

// ownershipBelief is a period in which a backend assumes that it owns a singleton role.
type ownershipBelief struct {
	holder      string
	from, until monotonic.Micros
}

// contendForRole has a backend request a singleton role repeatedly, and calls record with each belief. As docs/interfaces.md says, the
// remaining time of a grant is counted from before the request was sent.
func (m *Mesh) contendForRole(backend *simulatedBackend, record func(ownershipBelief)) {
	for m.serving && backend.up {
		m.External.Sleep(500*monotonic.Millisecond + monotonic.Micros(m.World.Rand().Uint64N(uint64(monotonic.Second))))
		requestedAt := m.World.Now()
		content, err := m.External.CallFunc(m.World.Node(backend.proxy).Address, 5*monotonic.Second, func(*world.Node) ([]byte, error) {
			grant, err := m.proxies[backend.proxy].Singleton.Acquire("tally", backend.instance, 3*monotonic.Second)
			if err != nil {
				return nil, err
			}
			return json.Marshal(grant)
		})
		var grant singleton.Grant
		if err != nil || json.Unmarshal(content, &grant) != nil || !grant.Granted || m.World.Now() >= requestedAt+grant.Remaining {
			continue
		}
		record(ownershipBelief{holder: backend.instance, from: m.World.Now(), until: requestedAt + grant.Remaining})
		if m.World.Rand().IntN(6) == 0 {
			// In one of six cases the owner hangs without releasing the role, which the others request meanwhile.
			m.External.Sleep(4*monotonic.Second + monotonic.Micros(m.World.Rand().Uint64N(uint64(6*monotonic.Second))))
		}
	}
}

// runRoleContention runs a scenario in which all backends request the same singleton role. It returns their beliefs in the order of their
// start, and the findings.
func runRoleContention(name string, seed uint64, defects Defects) (beliefs []ownershipBelief, findings []string) {
	scenario := Scenarios[name]
	scenario.Prepare = func(mesh *Mesh) {
		mesh.serving = true
		for _, backend := range mesh.backends {
			mesh.External.Go(func() {
				mesh.contendForRole(backend, func(belief ownershipBelief) { beliefs = append(beliefs, belief) })
			})
		}
	}
	for _, finding := range Run(scenario, seed, defects).Findings {
		findings = append(findings, finding.String())
	}
	return beliefs, findings
}

// overlappingHolders describes two overlapping beliefs of different backends, or returns an empty string.
func overlappingHolders(beliefs []ownershipBelief) string {
	for index, belief := range beliefs {
		for _, other := range beliefs[index+1:] {
			if belief.holder != other.holder && other.from < belief.until && belief.from < other.until {
				return fmt.Sprintf("%s from %d to %d, %s from %d to %d", belief.holder, belief.from, belief.until, other.holder, other.from, other.until)
			}
		}
	}
	return ""
}

// TestDuties checks that a singleton role (a "duty" in the backends' API) has at most one owner at a time, whatever fails.
func TestDuties(t *testing.T) {
	for _, name := range []string{"core", "everything"} {
		for _, seed := range seeds(t, 1, 2) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				beliefs, findings := runRoleContention(name, seed, Defects{})
				for _, finding := range findings {
					t.Error(finding)
				}
				holders := map[string]bool{}
				for _, belief := range beliefs {
					holders[belief.holder] = true
				}
				if len(holders) < 2 {
					t.Errorf("%d grants to %d backends", len(beliefs), len(holders))
				}
				if overlap := overlappingHolders(beliefs); overlap != "" {
					t.Error(overlap)
				}
				t.Logf("%d grants to %d backends", len(beliefs), len(holders))
			})
		}
	}
	t.Run("owners that ignore the end of their lease are detected", func(t *testing.T) {
		t.Parallel()
		for seed := uint64(1); seed <= 12; seed++ {
			if beliefs, _ := runRoleContention("core", seed, Defects{IgnoreSingletonExpiry: true}); overlappingHolders(beliefs) != "" {
				return
			}
		}
		t.Error("owners that ignore the end of their lease were not detected in 12 seeds")
	})
}
