package consensus

import (
	"slices"

	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// ConfigOf returns the configuration whose quorums decide under a register value. It is the initial voters for a nil
// value and for a value without voters, as earlier releases wrote.
func ConfigOf(value *wire.RegisterValue, initialVoters []string) quorum.Config {
	if value == nil || len(value.Voters) == 0 {
		return quorum.Config{Voters: initialVoters}
	}
	return quorum.Config{Voters: value.Voters, Joint: value.JointVoters}
}

// BackupsOf returns the backups of a value, or nil for a nil value. Earlier releases had one backup and set only Backup.
func BackupsOf(value *wire.RegisterValue) []*wire.MemberID {
	if value == nil || value.Backup == nil {
		return nil
	}
	if len(value.Backups) > 0 && SameMember(value.Backups[0], value.Backup) {
		return value.Backups
	}
	return []*wire.MemberID{value.Backup}
}

// NamesReplica reports whether a value names a member as the primary or as a backup. The replicas of these members have
// every acknowledged write. It is false for a nil value.
func NamesReplica(value *wire.RegisterValue, member *wire.MemberID) bool {
	return value != nil && (SameMember(value.Primary, member) || ContainsMember(BackupsOf(value), member))
}

// NextValue returns the successor of a value in another epoch, with other replicas, which are not in sync yet. The voters
// are copied: they change only in proposals of their own.
func NextValue(value *wire.RegisterValue, epoch uint64, primary *wire.MemberID, backups []*wire.MemberID) *wire.RegisterValue {
	next := &wire.RegisterValue{
		Epoch:       epoch,
		Primary:     primary,
		Backups:     backups,
		Members:     value.GetMembers(),
		Voters:      value.GetVoters(),
		JointVoters: value.GetJointVoters(),
	}
	if len(backups) > 0 {
		next.Backup = backups[0]
	}
	return next
}

// SameMember reports whether two IDs refer to the same replica. A replica that is recreated after a loss has another
// incarnation. A nil ID equals no ID.
func SameMember(a, b *wire.MemberID) bool {
	return a != nil && b != nil && a.Name == b.Name && a.Incarnation == b.Incarnation
}

// ContainsMember reports whether a list contains a member.
func ContainsMember(members []*wire.MemberID, wanted *wire.MemberID) bool {
	return slices.ContainsFunc(members, func(member *wire.MemberID) bool { return SameMember(member, wanted) })
}

// MemberNames returns the names of members, in the order of the list.
func MemberNames(members []*wire.MemberID) (names []string) {
	for _, member := range members {
		names = append(names, member.Name)
	}
	return names
}

// MergeMembers returns members followed by added. An added member replaces a member of the same name.
func MergeMembers(members []*wire.MemberID, added ...*wire.MemberID) []*wire.MemberID {
	replaced := map[string]bool{}
	for _, member := range added {
		replaced[member.Name] = true
	}
	var merged []*wire.MemberID
	for _, member := range members {
		if !replaced[member.Name] {
			merged = append(merged, member)
		}
	}
	return append(merged, added...)
}
