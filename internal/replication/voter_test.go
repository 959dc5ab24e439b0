package replication

import (
	"fmt"
	"strings"
	"testing"

	"snowflow/internal/discovery"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// TestDifferentInitialVoters: a voter rejects requests that name initial voters different from its own, names both sets in its
// response, and reports each difference once. It accepts requests of earlier releases, which name no voters.
func TestDifferentInitialVoters(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	reports, checked := 0, false
	simulated.Trace = func(_ monotonic.Micros, _ string, number int, _ map[string]any) {
		if number == eventlog.VotersDiffer {
			reports++
		}
	}
	simulated.Start(simulated.Add("a", "a", "a", func(h *world.Host) (host.Handlers, error) {
		m, err := Open(Config{
			Host: h, Resolver: discovery.New(h, nil, nil), Group: "test", Name: "a",
			InitialVoters: []string{"a", "b", "c", "d"}, StateMachine: &largeState{},
		})
		if err != nil {
			return nil, err
		}
		for _, voters := range [][]string{{"b", "a", "c", "d"}, {"a", "b", "c"}} {
			promise, _ := m.handlePrepare(&wire.PrepareRequest{Proposal: 9, Voters: voters})
			lease, _ := m.handleLease(&wire.LeaseRequest{Voters: voters})
			_, err := m.handleRegisterRead(&wire.RegisterReadRequest{Voters: voters})
			for _, reason := range []string{promise.Reason, lease.Reason, fmt.Sprint(err)} {
				if !strings.Contains(reason, fmt.Sprint(voters)) || !strings.Contains(reason, "[a b c d]") {
					t.Errorf("%v: %q doesn't name both sets of voters", voters, reason)
				}
			}
		}
		for _, voters := range [][]string{nil, {"a", "b", "c", "d"}} {
			if _, err := m.handleRegisterRead(&wire.RegisterReadRequest{Voters: voters}); err != nil {
				t.Errorf("%v: %v", voters, err)
			}
		}
		checked = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Second)
	if !checked || reports != 2 {
		t.Errorf("checked %v, %d reports for two differences; %v", checked, reports, simulated.Panicked)
	}
}
