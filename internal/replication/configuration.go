package replication

import (
	"slices"

	"snowflow/internal/transport/wire"
)

// configuration is who decides under one value of the register: a roster, and while that changes also the one to come.
//
// Invariants, searched by TestRosterSearch: a value whose configuration is joint is followed by one that ends the change or
// keeps it; the end is proposed only by a primary whose joint value was chosen and that holds a lease by both quorums. So of
// two configurations that may both still decide, any two quorums share a voter.
type configuration struct{ voters, joint voterSet }

// configurationOf reads a value's configuration. Values of builds that knew no changes have the voters of the settings.
func (m *Member) configurationOf(value *wire.RegisterValue) configuration {
	if value == nil || len(value.Voters) == 0 {
		return configuration{voters: m.config.InitialVoters}
	}
	return configuration{voters: value.Voters, joint: value.JointVoters}
}

// decides tells whether those who granted something are a quorum, of both rosters during a change.
func (c configuration) hasQuorum(names []string) bool {
	return HasQuorum(c.voters, names) && (len(c.joint) == 0 || HasQuorum(c.joint, names))
}

// heard tells whether a blank voter that reads some others has heard of whatever was decided.
func (c configuration) hasReadQuorum(names []string) bool {
	enough := func(v voterSet) bool { return v.weightOf(names) >= v.readQuorum() }
	return enough(c.voters) && (len(c.joint) == 0 || enough(c.joint))
}

// all lists everybody who votes, each once.
func (c configuration) members() []string {
	names := slices.Clone(c.voters)
	for _, name := range c.joint {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

func (c configuration) contains(name string) bool {
	return slices.Contains(c.voters, name) || slices.Contains(c.joint, name)
}

func (c configuration) equal(other configuration) bool {
	return slices.Equal(c.voters, other.voters) && slices.Equal(c.joint, other.joint)
}

// configuration is that of the newest value heard of, with the ballot by which it's known.
func (m *Member) configuration() (configuration, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.configurationOf(m.register), m.registerProposal
}

// InitialVoters lists who votes in this member's group, as far as it knows.
func (m *Member) Voters() []string {
	current, _ := m.configuration()
	return current.members()
}

// next copies a value for an epoch with other holders. The roster isn't touched: it changes in ballots of its own.
func nextRegister(value *wire.RegisterValue, epoch uint64, primary *wire.MemberID, backups []*wire.MemberID) *wire.RegisterValue {
	fresh := &wire.RegisterValue{Epoch: epoch, Primary: primary, Backups: backups, Members: value.GetMembers(),
		Voters: value.GetVoters(), JointVoters: value.GetJointVoters()}
	if len(backups) > 0 {
		fresh.Backup = backups[0]
	}
	return fresh
}

// backupsOf lists a value's backups. Builds that knew of one named it alone.
func backupsOf(value *wire.RegisterValue) []*wire.MemberID {
	if value == nil || value.Backup == nil {
		return nil
	}
	if len(value.Backups) > 0 && sameMember(value.Backups[0], value.Backup) {
		return value.Backups
	}
	return []*wire.MemberID{value.Backup}
}

func containsMember(holders []*wire.MemberID, one *wire.MemberID) bool {
	return slices.ContainsFunc(holders, func(holder *wire.MemberID) bool { return sameMember(holder, one) })
}

func memberNames(holders []*wire.MemberID) (list []string) {
	for _, holder := range holders {
		list = append(list, holder.Name)
	}
	return list
}

// Backups lists who else holds a copy in step, while this member leads.
func (m *Member) Backups() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return memberNames(m.leadership.backups)
}
