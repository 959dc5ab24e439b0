// Package quorum decides which sets of voters may act for a replication group.
//
// It holds two types. Voters is one set of voters with majority quorums; Config is what decides under one value of the
// group's register: one set of voters, or two while the membership changes (joint consensus). Both are values without
// I/O, so every rule here is tested by trying all subsets.
package quorum

import "slices"

// Voters is a set of voters, in an order that every member of the group knows.
//
// Each voter has weight one, except that the first has weight two if the number of voters is even: of two halves that
// are partitioned from each other, the half with the first voter then still has a quorum.
//
// Invariants, checked for every subset by TestVoterWeights: any two quorums share a voter; a quorum remains after the
// loss of any one voter; a set with the read weight shares a voter with every quorum; of two disjoint sets at most one
// is a quorum, and of the two halves of an even split exactly one is.
type Voters []string

const (
	voterWeight = 1
	// tieBreakerWeight is the weight of the first of an even number of voters.
	tieBreakerWeight = 2
)

// Weight returns how much a voter counts: zero for a name that isn't among the voters.
func (v Voters) Weight(name string) int {
	if !slices.Contains(v, name) {
		return 0
	}
	if name == v.TieBreaker() {
		return tieBreakerWeight
	}
	return voterWeight
}

// WeightOf returns the sum of the weights of some names.
func (v Voters) WeightOf(names []string) (sum int) {
	for _, name := range names {
		sum += v.Weight(name)
	}
	return sum
}

// QuorumWeight returns the weight from which a set of voters is a quorum.
func (v Voters) QuorumWeight() int { return v.WeightOf(v)/2 + 1 }

// ReadWeight returns the weight of other voters that a voter without a register must read before it votes: one of them
// knows of any value that was ever chosen.
func (v Voters) ReadWeight() int { return v.WeightOf(v) - v.QuorumWeight() + 1 }

// HasQuorum reports whether some names include a quorum.
func (v Voters) HasQuorum(names []string) bool { return v.WeightOf(names) >= v.QuorumWeight() }

// HasReadQuorum reports whether some names include a voter of every quorum.
func (v Voters) HasReadQuorum(names []string) bool { return v.WeightOf(names) >= v.ReadWeight() }

// TieBreaker returns the voter that has tieBreakerWeight, empty if the number of voters is odd or zero.
func (v Voters) TieBreaker() string {
	if len(v) == 0 || len(v)%2 != 0 {
		return ""
	}
	return v[0]
}
