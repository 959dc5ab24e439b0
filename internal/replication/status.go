package replication

import (
	"time"

	"snowflow/internal/release"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/transport/frame"
)

// Status is what operators are shown of a member.
type Status struct {
	Group string `json:"group"`
	Name  string `json:"name"`
	// Joined is set if the member has a register and votes.
	Joined bool `json:"joined"`
	// Serving is set if the member answers as the primary.
	Serving bool `json:"answering"`
	// Epoch, Primary, Backup, Backups and BackupsInSync are from the newest register value seen. Backup is the first of Backups.
	Epoch         uint64   `json:"epoch"`
	Primary       string   `json:"primary"`
	Backup        string   `json:"backup"`
	Backups       []string `json:"backups,omitempty"`
	BackupsInSync bool     `json:"settled"`
	// Sequence is that of the last entry applied; Journal is the size of the journal.
	Sequence uint64   `json:"sequence"`
	Journal  int64    `json:"journal_bytes"`
	Voters   []string `json:"voters"`
	// Joint are the voters to come while the membership changes. Members are the group's processes that the resolver knows.
	Joint   []string `json:"joint_voters,omitempty"`
	Members []string `json:"members,omitempty"`
	// SyncTime is how long the last append to the journal took.
	SyncTime  int64  `json:"sync_micros"`
	FreeBytes uint64 `json:"free_bytes"`
	Release   string `json:"release"`
	Wire      uint16 `json:"wire"`
	// Wall is this machine's wall clock, for the doctor command; nothing is decided by it.
	Wall int64 `json:"wall_micros"`
}

// ReplicaNames returns who holds replicas in sync, the primary first. Earlier releases report one backup only.
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
