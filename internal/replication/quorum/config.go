package quorum

import "slices"

// Config is who decides under one value of the register. Joint is empty except while the membership changes; it then
// holds the voters to come, and decisions need a quorum of both sets.
//
// Invariants, explored by the consensus package's TestMembershipChangeSearch: a value with a joint configuration is
// followed only by one that keeps it or ends the change; the change is ended only by a primary that knows its joint
// value to be chosen and holds a lease granted by both quorums. Any quorums of two configurations that may both still
// decide therefore share a voter.
type Config struct {
	Voters Voters
	Joint  Voters
}

// IsJoint reports whether the membership is changing.
func (c Config) IsJoint() bool { return len(c.Joint) > 0 }

// HasQuorum reports whether some names include a quorum, of both sets of voters during a change.
func (c Config) HasQuorum(names []string) bool {
	return c.Voters.HasQuorum(names) && (!c.IsJoint() || c.Joint.HasQuorum(names))
}

// HasReadQuorum reports whether some names include a voter of every quorum, of both sets of voters during a change.
func (c Config) HasReadQuorum(names []string) bool {
	return c.Voters.HasReadQuorum(names) && (!c.IsJoint() || c.Joint.HasReadQuorum(names))
}

// AllVoters returns everybody who votes, each name once, the present voters first. The caller may change the result.
func (c Config) AllVoters() []string {
	names := slices.Clone(c.Voters)
	for _, name := range c.Joint {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// Contains reports whether a name votes.
func (c Config) Contains(name string) bool {
	return slices.Contains(c.Voters, name) || slices.Contains(c.Joint, name)
}

// Equal reports whether two configurations have the same voters in the same order.
func (c Config) Equal(other Config) bool {
	return slices.Equal(c.Voters, other.Voters) && slices.Equal(c.Joint, other.Joint)
}
