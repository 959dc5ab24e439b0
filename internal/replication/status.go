package replication

import (
	"time"

	"snowflow/internal/release"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/transport/frame"
)

// Status is a member's state as shown to operators.
type Status struct {
	Group string `json:"group"`
	Name  string `json:"name"`
	// Joined is set if the member has a register, without which it doesn't vote.
	Joined bool `json:"joined"`
	// Serving is set if the member serves as primary.
	Serving bool `json:"answering"`
	// Epoch, Primary, Backup, Backups and BackupsInSync are from the newest register value seen. Backup is the first of Backups.
	Epoch         uint64   `json:"epoch"`
	Primary       string   `json:"primary"`
	Backup        string   `json:"backup"`
	Backups       []string `json:"backups,omitempty"`
	BackupsInSync bool     `json:"settled"`
	// Sequence is the sequence of the last entry applied. Journal is the journal's size in bytes.
	Sequence uint64   `json:"sequence"`
	Journal  int64    `json:"journal_bytes"`
	Voters   []string `json:"voters"`
	// Joint are the new voters during a membership change. Members are the group's processes that the resolver knows.
	Joint   []string `json:"joint_voters,omitempty"`
	Members []string `json:"members,omitempty"`
	// SyncTime is how long the last append to the journal took, including its sync, in microseconds.
	SyncTime  int64  `json:"sync_micros"`
	FreeBytes uint64 `json:"free_bytes"`
	Release   string `json:"release"`
	Wire      uint16 `json:"wire"`
	// Wall is this machine's wall clock in microseconds since 1970, for the doctor command only; the protocol doesn't use it.
	Wall int64 `json:"wall_micros"`
}

// ReplicaNames returns the names of the primary and the backups, the primary first. Earlier releases report only one backup, in
// Backup.
func (s Status) ReplicaNames() []string {
	if len(s.Backups) > 0 {
		return append([]string{s.Primary}, s.Backups...)
	}
	return []string{s.Primary, s.Backup}
}

// Status returns this member's state.
func (m *Member) Status() Status {
	current, _ := m.knownConfig()
	status := Status{
		Group: m.config.Group, Name: m.config.Name,
		Voters: current.Voters, Joint: current.Joint, Members: m.resolver.Members(m.config.Group),
		Serving: m.Serving(), Joined: m.hasRegister(),
		Release: release.Version, Wire: frame.Version, Wall: time.Now().UnixMicro(),
	}
	m.replicaExecutor.Run(func() {
		status.Sequence, status.Journal, status.SyncTime = m.replica.sequence, m.replica.journal.size(), int64(m.replica.journal.lastSyncTime)
	})
	if value := m.knownRegister(); value != nil {
		status.Epoch, status.Primary, status.BackupsInSync = value.Epoch, value.Primary.Name, value.BackupsInSync
		status.Backups = consensus.MemberNames(consensus.BackupsOf(value))
		status.Backup = value.Backup.GetName()
	}
	status.FreeBytes, _ = m.host.Disk().FreeBytes()
	return status
}
