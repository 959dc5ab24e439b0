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

// subsets lists every subset of voters.
func subsets(voters voterSet) (all [][]string) {
	for mask := range 1 << len(voters) {
		var names []string
		for index, name := range voters {
			if mask&(1<<index) != 0 {
				names = append(names, name)
			}
		}
		all = append(all, names)
	}
	return all
}

func meet(one, other []string) bool {
	for _, name := range one {
		for _, same := range other {
			if name == same {
				return true
			}
		}
	}
	return false
}

// TestWeights tries every subset of three and four voters. The quorums of builds that counted heads are looked at too, since a
// fleet is upgraded one process after another.
func TestWeights(t *testing.T) {
	for _, voters := range []voterSet{{"a", "b", "c"}, {"a", "b", "c", "d"}} {
		heads := len(voters)/2 + 1
		quorum := func(names []string) bool { return voters.weightOf(names) >= voters.quorum() }
		for _, one := range subsets(voters) {
			if len(one) == len(voters)-1 && !quorum(one) {
				t.Errorf("%d voters: without one of them %v is no quorum", len(voters), one)
			}
			for _, other := range subsets(voters) {
				if (quorum(one) || len(one) >= heads) && (quorum(other) || len(other) >= heads) && !meet(one, other) {
					t.Errorf("%d voters: %v and %v decide apart", len(voters), one, other)
				}
				if voters.weightOf(one) >= voters.readQuorum() && quorum(other) && !meet(one, other) {
					t.Errorf("%d voters: %v would not hear of what %v decided", len(voters), one, other)
				}
				apart := len(one)+len(other) == len(voters) && !meet(one, other)
				if apart && len(one) == len(other) && quorum(one) == quorum(other) {
					t.Errorf("%d voters: of %v and %v not exactly one goes on", len(voters), one, other)
				}
			}
		}
		// With any one voter blank, the others together are enough to hear from.
		for _, blank := range voters {
			if voters.weightOf(voters)-voters.weight(blank) < voters.readQuorum() {
				t.Errorf("%d voters: %s could never join again", len(voters), blank)
			}
		}
	}
}

// TestRostersThatDiffer: a voter doesn't hear who goes by another roster, and tells both. Earlier builds name none.
func TestRostersThatDiffer(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	reports, checked := 0, false
	simulated.Trace = func(_ monotonic.Micros, _ string, number int, _ map[string]any) {
		if number == eventlog.VotersDiffer {
			reports++
		}
	}
	simulated.Start(simulated.Add("a", "a", "a", func(h *world.Host) (host.Handlers, error) {
		m, err := Open(Config{Host: h, Resolver: discovery.New(h, nil, nil), Group: "test", Name: "a", InitialVoters: []string{"a", "b", "c", "d"}, StateMachine: &largeState{}})
		if err != nil {
			return nil, err
		}
		for _, voters := range [][]string{{"b", "a", "c", "d"}, {"a", "b", "c"}} {
			promise, _ := m.handlePrepare(&wire.PrepareRequest{Proposal: 9, Voters: voters})
			lease, _ := m.handleLease(&wire.LeaseRequest{Voters: voters})
			_, unread := m.handleRegisterRead(&wire.RegisterReadRequest{Voters: voters})
			for _, why := range []string{promise.Reason, lease.Reason, fmt.Sprint(unread)} {
				if !strings.Contains(why, fmt.Sprint(voters)) || !strings.Contains(why, "[a b c d]") {
					t.Errorf("%v: %q doesn't tell both rosters", voters, why)
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
		t.Errorf("asked %v, %d reports for two rosters that differ; %v", checked, reports, simulated.Panicked)
	}
}
