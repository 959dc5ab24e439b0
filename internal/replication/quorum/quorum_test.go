package quorum

import (
	"fmt"
	"testing"

	"snowflow/internal/replication/quorum/quorumtest"
)

// TestVoterWeights tries every subset of three and four voters. Quorums of releases that counted each voter once are
// tried too, since a fleet is upgraded one process after another.
func TestVoterWeights(t *testing.T) {
	for _, voters := range []Voters{{"a", "b", "c"}, {"a", "b", "c", "d"}} {
		t.Run(fmt.Sprintf("%d voters", len(voters)), func(t *testing.T) {
			majority := len(voters)/2 + 1
			subsets := quorumtest.Subsets(voters)
			for _, one := range subsets {
				if len(one) == len(voters)-1 && !voters.HasQuorum(one) {
					t.Errorf("without one of them %v is no quorum", one)
				}
				for _, other := range subsets {
					checkPair(t, voters, majority, one, other)
				}
			}
			for _, blank := range voters {
				if voters.WeightOf(voters)-voters.Weight(blank) < voters.ReadWeight() {
					t.Errorf("%s could never join again with a lost register", blank)
				}
			}
		})
	}
}

// checkPair checks what must hold for two sets of voters.
func checkPair(t *testing.T, voters Voters, majority int, one, other []string) {
	t.Helper()
	overlap := quorumtest.Overlap(one, other)
	decides := func(names []string) bool { return voters.HasQuorum(names) || len(names) >= majority }
	if decides(one) && decides(other) && !overlap {
		t.Errorf("%v and %v decide apart", one, other)
	}
	if voters.WeightOf(one) >= voters.ReadWeight() && voters.HasQuorum(other) && !overlap {
		t.Errorf("%v would not read what %v decided", one, other)
	}
	split := len(one)+len(other) == len(voters) && !overlap
	if split && len(one) == len(other) && voters.HasQuorum(one) == voters.HasQuorum(other) {
		t.Errorf("of the halves %v and %v not exactly one is a quorum", one, other)
	}
}
