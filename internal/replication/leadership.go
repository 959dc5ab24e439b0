package replication

import (
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// leadership is what a primary knows of its epoch. The zero value means that this member doesn't lead. It is copied as a whole, so
// that a task works on the state that it started with.
//
// Invariants:
//   - epoch was won by this process itself;
//   - register was chosen under proposal;
//   - serving implies that register names backups and has them in sync;
//   - nothing is served at or after leaseUntil, the end of a lease that quorums of leaseConfig granted.
type leadership struct {
	epoch    uint64
	proposal uint64
	register *wire.RegisterValue
	// since is when this leadership began.
	since monotonic.Micros
	// leaseUntil is when the lease ends, by the local clock.
	leaseUntil  monotonic.Micros
	leaseConfig quorum.Config
	// preempted is set if a voter has promised a higher proposal, and therefore rejects the lease until this primary proposes again.
	preempted bool
	serving   bool
	backups   []*wire.MemberID
	// lastResort is set if one of the backups had just failed and no other voter could take its place.
	lastResort bool
	// failures is the number of consecutive batches and heartbeats that at least one backup didn't store.
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

// Serving reports whether this member may serve as primary now: its backups are in sync and its lease is valid.
func (m *Member) Serving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leadership.serving {
		return false
	}
	return m.config.IgnoreLease || m.host.Now() < m.leadership.leaseUntil && !m.ClockWatch.WentBack()
}

// Epoch returns the epoch that this member leads, or zero if it doesn't lead.
func (m *Member) Epoch() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leadership.epoch
}

// LeaderClock returns the confirmed time of the leader clock, which continues across failovers. It is meaningless at a member that
// doesn't lead.
func (m *Member) LeaderClock() monotonic.Micros {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leadership.clock.confirmed(m.host.Now())
}

// Backups returns the names of the backups in sync if this member leads, and nil otherwise.
func (m *Member) Backups() []string {
	return consensus.MemberNames(m.currentLeadership().backups)
}

// stepDown ends this member's leadership of the given epoch. It does nothing if the leadership has since moved on to a later epoch,
// because the reason applies to the earlier one only.
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

// stepDownIfSuperseded ends this member's leadership if the given epoch, of another primary, is later than its own.
func (m *Member) stepDownIfSuperseded(epoch uint64) {
	if own := m.Epoch(); own != 0 && own < epoch {
		m.stepDown(own, reasonNewerPrimary)
	}
}

// adoptRegister records a register value that this primary's own proposal got chosen.
func (m *Member) adoptRegister(epoch, proposal uint64, value *wire.RegisterValue) {
	m.observeRegister(proposal, value)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leadership.epoch == epoch && m.leadership.proposal < proposal {
		m.leadership.proposal, m.leadership.register, m.leadership.preempted = proposal, value, false
	}
}
