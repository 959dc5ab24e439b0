package replication

import (
	"errors"
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/transport/wire"
)

const (
	// quorumUnavailable is the value of quorumAvailableSince while, as far as this member knows, no quorum would promise a proposal.
	quorumUnavailable = monotonic.Micros(-1)
	// maxPollInterval bounds how long the election loop waits without being woken.
	maxPollInterval = monotonic.Minute
)

// electionTimer is the state that the election loop keeps between its steps.
type electionTimer struct {
	// quorumAvailableSince is the time since which a quorum of voters could promise this member a proposal, or quorumUnavailable.
	quorumAvailableSince monotonic.Micros
}

// runElections is the election loop, which runs until the process ends. A member without a register joins the group; a primary
// renews its lease and changes the membership; any other member campaigns if the primary is silent.
func (m *Member) runElections() {
	timer := electionTimer{quorumAvailableSince: quorumUnavailable}
	wait := m.config.pollInterval()
	for {
		m.wakeup.Wait(wait)
		due := m.electionStep(&timer)
		wait = min(m.idleTime(), due)
	}
}

// electionStep does what is due, and returns the time until the next step is due at the latest.
func (m *Member) electionStep(timer *electionTimer) (due monotonic.Micros) {
	if !m.hasRegister() {
		m.joinAsVoter()
		if !m.isVoter() {
			m.host.Sleep(m.config.joinInterval()) // the primary has to add this process first
		}
		return maxPollInterval
	}
	m.mu.Lock()
	leading, coldStart := m.leadership.epoch != 0, m.contact.coldStart
	silence := m.contact.silence(m.host.Now())
	m.mu.Unlock()
	switch {
	case leading:
		m.renewLease()
		m.changeMembership()
	case !m.isVoter() && !m.hasCurrentReplica():
		if !m.requestJoin(true) {
			m.refreshRegister() // a newer value may name this member, and there may be no primary before it campaigns
		}
		m.host.Sleep(m.config.standbyInterval())
	case silence <= m.config.LeaseDuration && !coldStart || m.otherLeaseRemaining() > 0:
		timer.quorumAvailableSince = quorumUnavailable
	default:
		return m.considerCampaign(timer, silence)
	}
	return maxPollInterval
}

// considerCampaign campaigns if a quorum is available and it is this member's turn, or if the primary has been silent for the
// election timeout. Backups campaign first; a restarted primary waits slightly longer, and at the group's first start each voter
// waits longer than the one before it.
func (m *Member) considerCampaign(timer *electionTimer, silence monotonic.Micros) (due monotonic.Micros) {
	m.refreshRegister()
	value := m.knownRegister()
	backup := consensus.ContainsMember(consensus.BackupsOf(value), m.self())
	available, wait := m.quorumAvailable()
	if now := m.host.Now(); !available {
		timer.quorumAvailableSince = quorumUnavailable
	} else if timer.quorumAvailableSince == quorumUnavailable {
		timer.quorumAvailableSince = now
	}
	availableForLong := m.host.Now()-timer.quorumAvailableSince >= m.config.ElectionInterval
	mayCampaignEarly := value != nil && available && (backup || m.mayReclaim(value) || availableForLong)
	if mayCampaignEarly || silence > m.electionTimeout(value, backup)+m.jitter(m.config.ElectionInterval) {
		m.campaign(value)
	} else if value != nil && !available {
		return max(wait, monotonic.Millisecond)
	}
	return maxPollInterval
}

// electionTimeout returns how long the primary must be silent before this member campaigns even if no quorum seems available.
func (m *Member) electionTimeout(value *wire.RegisterValue, backup bool) monotonic.Micros {
	switch {
	case value == nil:
		return m.config.bootstrapElectionTimeout(m.initialRank())
	case backup:
		return m.config.backupElectionTimeout()
	}
	return m.config.voterElectionTimeout()
}

// jitter returns a random duration below a limit.
func (m *Member) jitter(limit monotonic.Micros) monotonic.Micros {
	return monotonic.Micros(m.host.Random() % uint64(limit))
}

// otherLeaseRemaining returns the remaining time of the lease that this voter granted to another member, or zero if there is none.
func (m *Member) otherLeaseRemaining() (remaining monotonic.Micros) {
	self := m.self()
	m.voterExecutor.Run(func() { remaining = m.voter.OtherLeaseRemaining(m.host.Now(), self) })
	return remaining
}

// idleTime returns how long the election loop has nothing to do. A handover or a request to leave wakes the loop earlier.
func (m *Member) idleTime() monotonic.Micros {
	lease := m.config.LeaseDuration
	m.mu.Lock()
	leading, coldStart := m.leadership.epoch != 0, m.contact.coldStart && m.register.value != nil
	silence := m.contact.silence(m.host.Now())
	m.mu.Unlock()
	joined, leaseRemaining := false, monotonic.Micros(0)
	self := m.self()
	m.voterExecutor.Run(func() {
		joined = m.voter.Joined()
		leaseRemaining = m.voter.OtherLeaseRemaining(m.host.Now(), self)
	})
	switch {
	case !joined:
		return m.config.ElectionInterval
	case leading:
		return m.config.renewInterval()
	case leaseRemaining > 0:
		return leaseRemaining + monotonic.Millisecond
	case coldStart && silence < m.config.coldStartTimeout():
		return m.config.pollInterval()
	case silence < lease:
		return min(lease-silence, lease) + monotonic.Millisecond // after a handover silence is negative
	case silence > m.config.longSilence():
		return m.config.ElectionInterval
	}
	return m.config.silentPollInterval()
}

// mayCampaign reports whether this member isn't shutting down and its replica, according to the known register value, has every
// acknowledged write. A nil value means that the group hasn't started yet.
func (m *Member) mayCampaign(known *wire.RegisterValue) bool {
	m.mu.Lock()
	stopping := m.stopping
	m.mu.Unlock()
	if stopping {
		return false
	}
	return known == nil || m.config.AnyVoterMayLead || consensus.NamesReplica(known, m.self())
}

// campaign proposes the next epoch with this member as primary. This member doesn't serve before a backup is in sync.
func (m *Member) campaign(known *wire.RegisterValue) {
	if !m.mayCampaign(known) {
		return
	}
	m.endColdStart()
	value, proposal, err := m.changeRegister(func(value *wire.RegisterValue) (*wire.RegisterValue, error) {
		if value == nil {
			return m.bootstrapValue(known)
		}
		return m.nextEpochValue(value)
	})
	if err != nil {
		if errors.Is(err, errRegisterChanged) {
			m.observeRegister(proposal, value)
		}
		m.mu.Lock()
		m.contact.last = m.host.Now() - m.config.LeaseDuration + m.jitter(m.config.maxCampaignJitter())
		m.mu.Unlock()
		return
	}
	m.observeRegister(proposal, value)
	m.beginLeadership(value, proposal)
	event := eventlog.BecamePrimary
	if value.Epoch == 1 {
		event = eventlog.GroupBootstrapped
	}
	m.host.Report(event, eventlog.Attributes{"group": m.config.Group, "epoch": value.Epoch})
	m.renewLease()
	m.wakeCommits() // to establish backups
}

// bootstrapValue returns the register value of a group's first start. It fails if this member already knows a value, even though
// no voter reported one.
func (m *Member) bootstrapValue(known *wire.RegisterValue) (*wire.RegisterValue, error) {
	if known != nil {
		return nil, errRegisterChanged
	}
	self := m.self()
	return &wire.RegisterValue{Epoch: 1, Primary: self, Members: []*wire.MemberID{self}, Voters: m.config.InitialVoters}, nil
}

// nextEpochValue returns the value of the next epoch, with this member as primary and the other replicas as backups. It fails if
// the given value doesn't name this member's replica. From then on this replica rejects primaries of earlier epochs.
func (m *Member) nextEpochValue(value *wire.RegisterValue) (*wire.RegisterValue, error) {
	self, others := m.self(), consensus.BackupsOf(value)
	if !consensus.SameMember(value.Primary, self) {
		if !consensus.ContainsMember(others, self) && !m.config.AnyVoterMayLead {
			return nil, errRegisterChanged
		}
		others = slices.DeleteFunc(slices.Clone(others), func(other *wire.MemberID) bool { return consensus.SameMember(other, self) })
		others = append([]*wire.MemberID{value.Primary}, others...)
	}
	m.replicaExecutor.Run(func() { m.replica.fence(value.Epoch + 1) })
	return consensus.NextValue(value, value.Epoch+1, self, others), nil
}

// beginLeadership applies the replica's pending entries and begins an epoch that this member has won.
func (m *Member) beginLeadership(value *wire.RegisterValue, proposal uint64) {
	m.replicaExecutor.Run(func() {
		m.replica.applyPending()
		m.replica.fence(value.Epoch)
		m.mu.Lock()
		defer m.mu.Unlock()
		now := m.host.Now()
		m.leadership = leadership{
			epoch: value.Epoch, proposal: proposal, register: value, since: now,
			clock: primaryClock{base: m.replica.leaderClock, baseAt: now, confirmedAt: now},
		}
	})
}
