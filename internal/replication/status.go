package replication

import (
	"time"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/release"
	"snowflow/internal/transport/frame"
)

// Status is what operators are shown of a member.
type Status struct {
	Group     string   `json:"group"`
	Name      string   `json:"name"`
	Joined    bool     `json:"joined"`
	Answering bool     `json:"answering"`
	Epoch     uint64   `json:"epoch"`
	Primary   string   `json:"primary"`
	Backup    string   `json:"backup"`
	Backups   []string `json:"backups,omitempty"`
	Settled   bool     `json:"settled"`
	Sequence  uint64   `json:"sequence"`
	Journal   int64    `json:"journal_bytes"`
	Voters    []string `json:"voters"`
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

// Copies lists who holds the state in step, the primary first. Builds that knew of one backup tell it alone.
func (status Status) Copies() []string {
	if len(status.Backups) > 0 {
		return append([]string{status.Primary}, status.Backups...)
	}
	return []string{status.Primary, status.Backup}
}

// Status tells how this member stands.
func (member *Member) Status() Status {
	present, _ := member.configuration()
	status := Status{Group: member.env.Group, Name: member.env.Name, Voters: present.voters, Joint: present.joint,
		Members: member.env.Book.Members(member.env.Group), Answering: member.Answering(),
		Release: release.Version, Wire: frame.Version, Wall: time.Now().UnixMicro()}
	member.seat.Do(func() { status.Joined = member.voter.record.Joined })
	member.keeper.Do(func() {
		status.Sequence, status.Journal, status.SyncTime = member.copy.sequence, member.copy.log.Size(), int64(member.copy.lastSync)
	})
	member.lock.Lock()
	if value := member.value; value != nil {
		status.Epoch, status.Primary, status.Settled = value.Epoch, value.Primary.Name, value.BackupsInSync
		status.Backups = names(backupsOf(value))
		if value.Backup != nil {
			status.Backup = value.Backup.Name
		}
	}
	member.lock.Unlock()
	status.FreeBytes, _ = member.env.Place.Disk().Free()
	return status
}

func marshal(message proto.Message) []byte {
	content, err := proto.Marshal(message)
	if err != nil {
		panic(err) // only messages built here come by; one that can't be encoded is a fault of the program
	}
	return content
}
