package membership

import (
	"slices"
	"strings"
	"testing"

	"snowflow/internal/replication/quorum"
	"snowflow/internal/replication/quorum/quorumtest"
)

// set returns a set of names.
func set(names ...string) map[string]bool {
	chosen := map[string]bool{}
	for _, name := range names {
		chosen[name] = true
	}
	return chosen
}

// parseZones parses two-letter words, each of a name and its zone.
func parseZones(text string) map[string]string {
	zones := map[string]string{}
	for _, pair := range strings.Fields(text) {
		zones[pair[:1]] = pair[1:]
	}
	return zones
}

func TestPolicy(t *testing.T) {
	three, four, five := quorum.Voters{"a", "b", "c"}, quorum.Voters{"a", "b", "c", "d"}, quorum.Voters{"a", "b", "c", "d", "e"}
	for name, test := range map[string]struct {
		state State
		want  quorum.Voters
	}{
		"nothing to do": {
			State{Voters: three, TargetSize: 3},
			nil,
		},
		"a standby becomes the fourth voter": {
			State{Voters: three, TargetSize: 4, Standbys: []string{"d"}},
			four,
		},
		"two standbys become voters one at a time": {
			State{Voters: three, TargetSize: 5, Standbys: []string{"d", "e"}},
			four,
		},
		"as many as wanted, five": {
			State{Voters: five, TargetSize: 5, Standbys: []string{"f"}},
			nil,
		},
		"as many as wanted, three": {
			State{Voters: three, TargetSize: 3, Standbys: []string{"d"}},
			nil,
		},
		"fewer than wanted": {
			State{Voters: three, TargetSize: 4, Standbys: []string{"d"}},
			four,
		},
		"no addition while a voter is silent": {
			State{Voters: three, TargetSize: 4, Silent: set("b"), Standbys: []string{"d"}},
			nil,
		},
		"lost, without a standby": {
			State{Voters: three, TargetSize: 3, Silent: set("b"), Lost: set("b")},
			nil,
		},
		"lost, with a standby": {
			State{Voters: three, Silent: set("b"), Lost: set("b"), Standbys: []string{"d"}},
			quorum.Voters{"a", "d", "c"},
		},
		"the tie-breaker is lost": {
			State{Voters: four, Silent: set("a"), Lost: set("a"), Standbys: []string{"e"}},
			quorum.Voters{"e", "b", "c", "d"},
		},
		"lost, but holds a replica": {
			State{Voters: three, Replicas: []string{"a", "b"}, Silent: set("b"), Lost: set("b"), Standbys: []string{"d"}},
			nil,
		},
		"lost, and more voters than wanted": {
			State{Voters: four, TargetSize: 3, Silent: set("d"), Lost: set("d")},
			three,
		},
		"lost, and as many voters as wanted": {
			State{Voters: three, TargetSize: 3, Silent: set("c"), Lost: set("c")},
			nil,
		},
		"leaving, with a standby": {
			State{Voters: three, TargetSize: 3, Leaving: set("b"), Standbys: []string{"d"}},
			quorum.Voters{"a", "d", "c"},
		},
		"leaving, without a standby": {
			State{Voters: three, TargetSize: 3, Leaving: set("b")},
			nil,
		},
		"leaving, and more voters than wanted": {
			State{Voters: four, TargetSize: 3, Leaving: set("d")},
			three,
		},
		"leaving, but holds a replica": {
			State{Voters: three, TargetSize: 3, Replicas: []string{"b"}, Leaving: set("b"), Standbys: []string{"d"}},
			nil,
		},
		"a lost voter before a leaving one": {
			State{Voters: three, TargetSize: 3, Silent: set("c"), Lost: set("c"), Leaving: set("b"), Standbys: []string{"d"}},
			quorum.Voters{"a", "b", "d"},
		},
		"two lost of five, one standby": {
			State{Voters: five, Silent: set("b", "c"), Lost: set("b", "c"), Standbys: []string{"f"}},
			quorum.Voters{"a", "f", "c", "d", "e"},
		},
		"responsive voters are no quorum": {
			State{Voters: three, Silent: set("b", "c"), Lost: set("b"), Standbys: []string{"d"}},
			nil,
		},
		"after a removal the responsive voters would be no quorum": {
			State{Voters: four, TargetSize: 3, Silent: set("a", "b"), Lost: set("b")},
			nil,
		},
		"a replacement keeps the number of voters": {
			State{Voters: three, TargetSize: 3, Silent: set("c"), Lost: set("c"), Standbys: []string{"d"}},
			quorum.Voters{"a", "b", "d"},
		},
		"a standby in a zone of its own": {
			State{Voters: three, TargetSize: 4, Standbys: []string{"d", "e"}, Zones: parseZones("a1 b2 c3 d1 e4")},
			quorum.Voters{"a", "b", "c", "e"},
		},
		"a replacement in another zone": {
			State{Voters: three, TargetSize: 3, Silent: set("b"), Lost: set("b"), Standbys: []string{"d", "e"}, Zones: parseZones("a1 b2 c3 d1 e2")},
			quorum.Voters{"a", "e", "c"},
		},
		"two voters in one zone": {
			State{Voters: three, TargetSize: 3, Replicas: []string{"a"}, Standbys: []string{"d"}, Zones: parseZones("a1 b1 c2 d3")},
			quorum.Voters{"a", "d", "c"},
		},
		"two voters in one zone, no better standby": {
			State{Voters: three, TargetSize: 3, Standbys: []string{"d"}, Zones: parseZones("a1 b1 c2 d2")},
			nil,
		},
		"two voters in one zone, both hold replicas": {
			State{Voters: three, TargetSize: 3, Replicas: []string{"a", "b"}, Standbys: []string{"d"}, Zones: parseZones("a1 b1 c2 d3")},
			nil,
		},
		"unknown zones": {
			State{Voters: three, TargetSize: 3, Standbys: []string{"d"}, Zones: parseZones("")},
			nil,
		},
		"a single voter, and a standby": {
			State{Voters: quorum.Voters{"a"}, TargetSize: 3, Standbys: []string{"b"}},
			quorum.Voters{"a", "b"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.state.Next(); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestPolicyKeepsAQuorum checks the changes chosen in every state of up to five voters: the responsive voters can commit them, they
// change one voter, and they keep the voters with a replica.
func TestPolicyKeepsAQuorum(t *testing.T) {
	changes := 0
	for size := 1; size <= 5; size++ {
		voters := quorum.Voters{"a", "b", "c", "d", "e"}[:size]
		for _, silent := range quorumtest.Subsets(voters) {
			for _, lost := range quorumtest.Subsets(silent) {
				for targetSize := range 6 {
					leaving := voters[(targetSize+len(lost))%size] // a different voter in different cases
					for _, standbys := range [][]string{nil, {"y"}, {"y", "z"}} {
						state := State{Voters: voters, TargetSize: targetSize, Replicas: []string{"a"},
							Silent: set(silent...), Lost: set(lost...), Leaving: set(leaving), Standbys: standbys}
						if next := state.Next(); next != nil {
							changes++
							checkChange(t, state, next)
						}
					}
				}
			}
		}
	}
	if changes < 100 {
		t.Errorf("only %d changes were checked", changes)
	}
}

// checkChange checks the invariants of a change of voters.
func checkChange(t *testing.T, state State, next quorum.Voters) {
	t.Helper()
	responsive := slices.DeleteFunc(slices.Concat(state.Voters, state.Standbys), func(name string) bool { return state.Silent[name] })
	if !state.Voters.HasQuorum(responsive) || !next.HasQuorum(responsive) {
		t.Fatalf("%+v: %v can't be committed by %v", state, next, responsive)
	}
	different := 0
	for _, name := range slices.Concat(state.Voters, next) {
		if !slices.Contains(next, name) || !slices.Contains(state.Voters, name) {
			different++
		}
	}
	if !slices.Contains(next, "a") || different > 2 || different == 0 || len(next) > max(5, len(state.Voters)) {
		t.Fatalf("%+v: not a single change that keeps replicas: %v", state, next)
	}
}
