package replication

import (
	"time"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/release"
	"snowflow/internal/transport/frame"
)

// Status is what operators are shown of a member.
type Status struct {
	Group         string   `json:"group"`
	Name          string   `json:"name"`
	Joined        bool     `json:"joined"`
	Serving       bool     `json:"answering"`
	Epoch         uint64   `json:"epoch"`
	Primary       string   `json:"primary"`
	Backup        string   `json:"backup"`
	Backups       []string `json:"backups,omitempty"`
	BackupsInSync bool     `json:"settled"`
	Sequence      uint64   `json:"sequence"`
	Journal       int64    `json:"journal_bytes"`
	Voters        []string `json:"voters"`
	// Joint is the roster to come while it changes; Members are the group's processes that were heard of.
	Joint     []string `json:"joint_voters,omitempty"`
	Members   []string `json:"members,omitempty"`
	SyncTime  int64    `json:"sync_micros"`
	FreeBytes uint64   `json:"free_bytes"`
	Release   string   `json:"release"`
	Wire      uint16   `json:"wire"`
	// Wall is this machine's wall clock, for the doctor; nothing decides by it.
	Wall int64 `json:"wall_micros"`
}

// ReplicaNames lists who holds the state in step, the primary first. Builds that knew of one backup tell it alone.
func (status Status) ReplicaNames() []string {
	if len(status.Backups) > 0 {
		return append([]string{status.Primary}, status.Backups...)
	}
	return []string{status.Primary, status.Backup}
}

// Status tells how this member stands.
func (m *Member) Status() Status {
	current, _ := m.configuration()
	status := Status{Group: m.config.Group, Name: m.config.Name, Voters: current.Voters, Joint: current.Joint,
		Members: m.config.Resolver.Members(m.config.Group), Serving: m.Serving(),
		Release: release.Version, Wire: frame.Version, Wall: time.Now().UnixMicro()}
	m.voterExecutor.Run(func() { status.Joined = m.voter.record.Joined })
	m.replicaExecutor.Run(func() {
		status.Sequence, status.Journal, status.SyncTime = m.replica.sequence, m.replica.log.Size(), int64(m.replica.lastSyncTime)
	})
	m.mu.Lock()
	if value := m.register; value != nil {
		status.Epoch, status.Primary, status.BackupsInSync = value.Epoch, value.Primary.Name, value.BackupsInSync
		status.Backups = memberNames(backupsOf(value))
		if value.Backup != nil {
			status.Backup = value.Backup.Name
		}
	}
	m.mu.Unlock()
	status.FreeBytes, _ = m.config.Host.Disk().FreeBytes()
	return status
}

func mustMarshal(message proto.Message) []byte {
	content, err := proto.Marshal(message)
	if err != nil {
		panic(err) // only messages built here come by; one that can't be encoded is a fault of the program
	}
	return content
}
