package replication

import "slices"

// roster is a group's voters in the order that all of them know. Where their number is even the first counts double, so that of
// two halves that can't hear each other the one with the first goes on.
//
// Invariants, tried out for every subset by TestWeights: any two quorums share a voter; the loss of any one voter leaves a quorum;
// voters of the reading weight share a voter with every quorum; of two parts at most one is a quorum, and of an even split's
// two halves exactly one.
type voterSet []string

// weight is how much a voter counts; who isn't one counts nothing.
func (v voterSet) weight(name string) int {
	if !slices.Contains(v, name) {
		return 0
	}
	if name == v.tieBreaker() {
		return 2
	}
	return 1
}

// of sums voters' weights.
func (v voterSet) weightOf(names []string) (sum int) {
	for _, name := range names {
		sum += v.weight(name)
	}
	return sum
}

// quorum is the weight that decides.
func (v voterSet) quorum() int { return v.weightOf(v)/2 + 1 }

// reading is the weight of others that a voter with a blank folder must hear: whatever was decided, one of them knows.
func (v voterSet) readQuorum() int { return v.weightOf(v) - v.quorum() + 1 }

// heavy is the voter that counts double, or nothing.
func (v voterSet) tieBreaker() string {
	if len(v) == 0 || len(v)%2 != 0 {
		return ""
	}
	return v[0]
}

// granters lists who granted something.
func grantedBy[Reply any](replies map[string]Reply, granted func(reply Reply) bool) (names []string) {
	for name, reply := range replies {
		if granted(reply) {
			names = append(names, name)
		}
	}
	return names
}

// HasQuorum tells whether some of a group's voters are a quorum of it.
func HasQuorum(voters, some []string) bool {
	return voterSet(voters).weightOf(some) >= voterSet(voters).quorum()
}
