package quorum

import (
	"fmt"
	"testing"

	"snowflow/internal/replication/quorum/quorumtest"
)

// TestVoterWeights checks every subset of three and four voters. Majorities also count as quorums, as in releases without
// voter weights, since both kinds of releases run during a rolling upgrade.
func TestVoterWeights(t *testing.T) {
	for _, voters := range []Voters{{"a", "b", "c"}, {"a", "b", "c", "d"}} {
		t.Run(fmt.Sprintf("%d voters", len(voters)), func(t *testing.T) {
			majority := len(voters)/2 + 1
			subsets := quorumtest.Subsets(voters)
			for _, one := range subsets {
				if len(one) == len(voters)-1 && !voters.HasQuorum(one) {
					t.Errorf("%v is not a quorum, although only one voter is missing", one)
				}
				for _, other := range subsets {
					checkPair(t, voters, majority, one, other)
				}
			}
			for _, lost := range voters {
				if voters.WeightOf(voters)-voters.Weight(lost) < voters.ReadWeight() {
					t.Errorf("%s could never vote again after the loss of its register", lost)
				}
			}
		})
	}
}

// checkPair checks the invariants of two sets of voters.
func checkPair(t *testing.T, voters Voters, majority int, one, other []string) {
	t.Helper()
	overlap := quorumtest.Overlap(one, other)
	decides := func(names []string) bool { return voters.HasQuorum(names) || len(names) >= majority }
	if decides(one) && decides(other) && !overlap {
		t.Errorf("the quorums %v and %v are disjoint", one, other)
	}
	if voters.WeightOf(one) >= voters.ReadWeight() && voters.HasQuorum(other) && !overlap {
		t.Errorf("the read quorum %v shares no voter with the quorum %v", one, other)
	}
	split := len(one)+len(other) == len(voters) && !overlap
	if split && len(one) == len(other) && voters.HasQuorum(one) == voters.HasQuorum(other) {
		t.Errorf("the halves %v and %v are both quorums, or neither is", one, other)
	}
}
