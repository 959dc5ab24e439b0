package quorum

import "slices"

// Config is the configuration of voters in one value of the register. Joint is empty except during a membership change.
// It then has the voters to change to, and decisions need a quorum of both sets (joint consensus).
//
// Invariants, explored by TestMembershipChangeSearch of package consensus: the value after one with a joint configuration
// either has the same configuration or ends the change; the change is ended only by a primary that knows that its joint
// value is chosen and has a lease from both quorums. Therefore any quorums of two configurations that may both still make
// decisions share a voter.
type Config struct {
	Voters Voters
	Joint  Voters
}

// IsJoint reports whether the membership is changing.
func (c Config) IsJoint() bool { return len(c.Joint) > 0 }

// HasQuorum reports whether names includes a quorum of the voters and, during a change, of the joint voters.
func (c Config) HasQuorum(names []string) bool {
	return c.Voters.HasQuorum(names) && (!c.IsJoint() || c.Joint.HasQuorum(names))
}

// HasReadQuorum reports whether names includes a voter of every quorum of the voters and, during a change, of the joint
// voters.
func (c Config) HasReadQuorum(names []string) bool {
	return c.Voters.HasReadQuorum(names) && (!c.IsJoint() || c.Joint.HasReadQuorum(names))
}

// AllVoters returns the voters followed by the joint voters, each name once. The caller may modify the result.
func (c Config) AllVoters() []string {
	names := slices.Clone(c.Voters)
	for _, name := range c.Joint {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// Contains reports whether a name is among the voters or the joint voters.
func (c Config) Contains(name string) bool {
	return slices.Contains(c.Voters, name) || slices.Contains(c.Joint, name)
}

// Equal reports whether two configurations have the same voters in the same order.
func (c Config) Equal(other Config) bool {
	return slices.Equal(c.Voters, other.Voters) && slices.Equal(c.Joint, other.Joint)
}
