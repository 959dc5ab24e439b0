package replication

import (
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// leadership is what a primary knows of its epoch. The zero value is none. It is copied as a whole: a task works on the
// state that it began with.
//
// Invariants:
//   - epoch was won by this process itself;
//   - register was chosen under proposal;
//   - serving implies that the register of that epoch has its backups in sync and names backups;
//   - nothing is served at or after leaseUntil, which quorums of leaseConfig granted.
type leadership struct {
	epoch    uint64
	proposal uint64
	register *wire.RegisterValue
	// since is when this leadership began.
	since monotonic.Micros
	// leaseUntil is when the lease ends, by this process's clock.
	leaseUntil  monotonic.Micros
	leaseConfig quorum.Config
	// preempted is set if a voter has promised a higher proposal, and so rejects the lease until this primary proposes again.
	preempted bool
	serving   bool
	backups   []*wire.MemberID
	// lastResort is set if a backup had just failed, and no other voter could take its place.
	lastResort bool
	// failures counts consecutive batches that a backup failed.
	failures  int
	slowDisks slowDiskDetector
	clock     primaryClock
}

// currentLeadership returns a copy of this member's leadership.
func (m *Member) currentLeadership() leadership {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leadership
}

// Serving reports whether this member may answer as primary now: its backups are in sync and its lease is valid.
func (m *Member) Serving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leadership.serving {
		return false
	}
	return m.config.IgnoreLease || m.host.Now() < m.leadership.leaseUntil && !m.ClockWatch.WentBack()
}

// Epoch returns the epoch that this member leads, or zero.
func (m *Member) Epoch() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leadership.epoch
}

// LeaderClock returns the group's time as confirmed by its primary; it continues across failovers. At a member that doesn't
// lead it has no meaning.
func (m *Member) LeaderClock() monotonic.Micros {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leadership.clock.confirmed(m.host.Now())
}

// Backups returns the names of the backups in sync while this member leads, nil if it doesn't.
func (m *Member) Backups() []string {
	return consensus.MemberNames(m.currentLeadership().backups)
}

// stepDown ends this member's leadership of an epoch. A leadership that has since moved on to a later epoch stays: what was
// learned of the earlier one says nothing of it.
func (m *Member) stepDown(epoch uint64, reason string) {
	m.mu.Lock()
	leading := epoch != 0 && m.leadership.epoch == epoch
	if leading {
		m.leadership = leadership{}
		m.contact.last = m.host.Now()
	}
	m.mu.Unlock()
	if leading {
		m.host.Report(eventlog.SteppedDown, eventlog.Attributes{"group": m.config.Group, "epoch": epoch, "why": reason})
	}
}

// stepDownIfSuperseded ends a leadership that a later epoch of another primary has superseded.
func (m *Member) stepDownIfSuperseded(epoch uint64) {
	if own := m.Epoch(); own != 0 && own < epoch {
		m.stepDown(own, reasonNewerPrimary)
	}
}

// adoptRegister takes a register value that this primary's own proposal had chosen.
func (m *Member) adoptRegister(epoch, proposal uint64, value *wire.RegisterValue) {
	m.observeRegister(proposal, value)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leadership.epoch == epoch && m.leadership.proposal < proposal {
		m.leadership.proposal, m.leadership.register, m.leadership.preempted = proposal, value, false
	}
}
