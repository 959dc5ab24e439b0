// Package quorum defines which sets of voters may make decisions for a replication group.
//
// Voters is one set of voters with majority quorums. Config is the configuration in one value of the group's register: one
// set of voters, or two during a membership change (joint consensus). Both types are plain values without I/O, so the tests
// check every rule for all subsets.
package quorum

import "slices"

// Voters is a set of voters, in an order that is the same for every member of the group.
//
// Each voter has weight one, except that the first has weight two if the number of voters is even: if a partition splits
// the voters in halves, the half with the first voter still has a quorum.
//
// Invariants, checked for every subset by TestVoterWeights: any two quorums share a voter; a quorum remains after the
// loss of any one voter; a set with the read weight shares a voter with every quorum; of two disjoint sets at most one
// is a quorum, and of two halves exactly one is.
type Voters []string

const (
	voterWeight = 1
	// tieBreakerWeight is the weight of the first of an even number of voters.
	tieBreakerWeight = 2
)

// Weight returns the weight of a voter, or zero for a name that isn't among the voters.
func (v Voters) Weight(name string) int {
	if !slices.Contains(v, name) {
		return 0
	}
	if name == v.TieBreaker() {
		return tieBreakerWeight
	}
	return voterWeight
}

// WeightOf returns the sum of the weights of names.
func (v Voters) WeightOf(names []string) (sum int) {
	for _, name := range names {
		sum += v.Weight(name)
	}
	return sum
}

// QuorumWeight returns the minimum weight of a quorum.
func (v Voters) QuorumWeight() int { return v.WeightOf(v)/2 + 1 }

// ReadWeight returns the minimum weight of a read quorum: the other voters that a voter without a register must read before
// it votes. They share a voter with every quorum, so one of them knows of any value that was chosen.
func (v Voters) ReadWeight() int { return v.WeightOf(v) - v.QuorumWeight() + 1 }

// HasQuorum reports whether names includes a quorum.
func (v Voters) HasQuorum(names []string) bool { return v.WeightOf(names) >= v.QuorumWeight() }

// HasReadQuorum reports whether names includes a voter of every quorum.
func (v Voters) HasReadQuorum(names []string) bool { return v.WeightOf(names) >= v.ReadWeight() }

// TieBreaker returns the voter that has tieBreakerWeight, or "" if the number of voters is odd or zero.
func (v Voters) TieBreaker() string {
	if len(v) == 0 || len(v)%2 != 0 {
		return ""
	}
	return v[0]
}
