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
type configuration struct{ voters, joint roster }

// configurationOf reads a value's configuration. Values of builds that knew no changes have the voters of the settings.
func (member *Member) configurationOf(value *wire.RegisterValue) configuration {
	if value == nil || len(value.Voters) == 0 {
		return configuration{voters: member.env.Voters}
	}
	return configuration{voters: value.Voters, joint: value.JointVoters}
}

// decides tells whether those who granted something are a quorum, of both rosters during a change.
func (configuration configuration) decides(names []string) bool {
	return Decides(configuration.voters, names) && (len(configuration.joint) == 0 || Decides(configuration.joint, names))
}

// heard tells whether a blank voter that reads some others has heard of whatever was decided.
func (configuration configuration) heard(names []string) bool {
	enough := func(roster roster) bool { return roster.of(names) >= roster.reading() }
	return enough(configuration.voters) && (len(configuration.joint) == 0 || enough(configuration.joint))
}

// all lists everybody who votes, each once.
func (configuration configuration) all() []string {
	names := slices.Clone(configuration.voters)
	for _, name := range configuration.joint {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

func (configuration configuration) has(name string) bool {
	return slices.Contains(configuration.voters, name) || slices.Contains(configuration.joint, name)
}

func (configuration configuration) same(other configuration) bool {
	return slices.Equal(configuration.voters, other.voters) && slices.Equal(configuration.joint, other.joint)
}

// configuration is that of the newest value heard of, with the ballot by which it's known.
func (member *Member) configuration() (configuration, uint64) {
	member.lock.Lock()
	defer member.lock.Unlock()
	return member.configurationOf(member.value), member.valueBallot
}

// Voters lists who votes in this member's group, as far as it knows.
func (member *Member) Voters() []string {
	present, _ := member.configuration()
	return present.all()
}

// next copies a value for an epoch with other holders. The roster isn't touched: it changes in ballots of its own.
func next(value *wire.RegisterValue, epoch uint64, primary *wire.MemberID, backups []*wire.MemberID) *wire.RegisterValue {
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
	if len(value.Backups) > 0 && sameHolder(value.Backups[0], value.Backup) {
		return value.Backups
	}
	return []*wire.MemberID{value.Backup}
}

func holds(holders []*wire.MemberID, one *wire.MemberID) bool {
	return slices.ContainsFunc(holders, func(holder *wire.MemberID) bool { return sameHolder(holder, one) })
}

func names(holders []*wire.MemberID) (list []string) {
	for _, holder := range holders {
		list = append(list, holder.Name)
	}
	return list
}

// Backups lists who else holds a copy in step, while this member leads.
func (member *Member) Backups() []string {
	member.lock.Lock()
	defer member.lock.Unlock()
	return names(member.lead.backups)
}
