package replication

import (
	"slices"

	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// configurationOf reads a value's configuration. Values of builds that knew no changes have the voters of the settings.
func (m *Member) configurationOf(value *wire.RegisterValue) quorum.Config {
	if value == nil || len(value.Voters) == 0 {
		return quorum.Config{Voters: m.config.InitialVoters}
	}
	return quorum.Config{Voters: value.Voters, Joint: value.JointVoters}
}

// configuration is that of the newest value heard of, with the ballot by which it's known.
func (m *Member) configuration() (quorum.Config, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.configurationOf(m.register), m.registerProposal
}

// InitialVoters lists who votes in this member's group, as far as it knows.
func (m *Member) Voters() []string {
	current, _ := m.configuration()
	return current.Members()
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
