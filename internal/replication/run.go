package replication

import (
	"snowflow/internal/monotonic"
)

// attend keeps this member's place: it joins, renews the tenure it has, and takes over when the primary is silent.
func (m *Member) run() {
	h, pause, vacantSince := m.config.Host, m.pollInterval(), monotonic.Micros(-1)
	soon := monotonic.Minute
	for ; ; pause = min(m.idleTime(), soon) {
		m.wakeup.Wait(pause)
		soon = monotonic.Minute
		joined := false
		m.voterExecutor.Run(func() { joined = m.voter.record.Joined })
		if !joined {
			m.joinAsVoter()
			if !m.isVoter() {
				h.Sleep(m.config.LeaseDuration / 2) // a stranger waits for the primary, not the other way round
			}
			continue
		}
		m.mu.Lock()
		leading, young := m.leadership.epoch != 0, m.coldStart
		silent := h.Now() - m.lastLeaderContact
		m.mu.Unlock()
		if leading {
			m.renewLease()
			m.changeMembership()
			continue
		}
		if !m.isVoter() && !m.hasCommittedState() {
			m.requestJoin(true)
			h.Sleep(m.config.LeaseDuration - m.config.HeartbeatInterval)
			continue
		}
		if silent <= m.config.LeaseDuration && !young || m.leaseStands() {
			vacantSince = -1
			continue
		}
		m.refreshRegister()
		m.mu.Lock()
		value := m.register
		m.mu.Unlock()
		// The backup is first in line; a primary that restarted waits a little longer, and so does each next voter at genesis.
		backup := containsMember(backupsOf(value), m.self())
		free, wait := m.quorumAvailable()
		if now := h.Now(); !free {
			vacantSince = -1
		} else if vacantSince < 0 {
			vacantSince = now
		}
		ready := value != nil && free && (backup || m.mayReclaim(value) || h.Now()-vacantSince >= m.config.HeartbeatInterval)
		timeout := m.config.LeaseDuration + m.config.HeartbeatInterval
		if value == nil {
			timeout = monotonic.Micros(m.initialRank()) * m.config.LeaseDuration
		} else if !backup {
			timeout += 2 * m.config.HeartbeatInterval
		}
		if ready || silent > timeout+monotonic.Micros(h.Random()%uint64(m.config.HeartbeatInterval)) {
			m.campaign(value)
		} else if value != nil && !free {
			soon = max(wait, monotonic.Millisecond)
		}
	}
}

// grown notes that a primary was heard of, or that this member tried to be one.
func (m *Member) endColdStart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coldStart = false
}

// glance is how soon a process that has just started, or sees nobody lead, looks again.
func (m *Member) pollInterval() monotonic.Micros { return m.config.HeartbeatInterval / 6 }

// leaseStands tells whether this seat still grants somebody else's tenure, a sign of life of the primary.
func (m *Member) leaseStands() (stands bool) {
	self := m.self()
	m.voterExecutor.Run(func() { stands = m.leasedToOther(self) })
	return stands
}

// pace is how often a primary renews its lease and has its backups hear of it.
func (m *Member) renewInterval() monotonic.Micros { return m.config.LeaseDuration / 3 }

// rest is how long nothing can be due here: a primary renews at its pace, and others look again when the one that they heard may
// be silent for too long. A handover cuts it short.
func (m *Member) idleTime() monotonic.Micros {
	m.mu.Lock()
	leading, young, silent := m.leadership.epoch != 0, m.coldStart && m.register != nil, m.config.Host.Now()-m.lastLeaderContact
	m.mu.Unlock()
	joined, stands := false, monotonic.Micros(0)
	self := m.self()
	m.voterExecutor.Run(func() {
		joined = m.voter.record.Joined
		if m.leasedToOther(self) {
			stands = m.voter.grant.until - m.config.Host.Now()
		}
	})
	switch {
	case !joined:
		return m.config.HeartbeatInterval
	case leading:
		return m.renewInterval()
	case stands > 0:
		return stands + monotonic.Millisecond
	case young && silent < 2*m.config.LeaseDuration:
		return m.pollInterval()
	case silent < m.config.LeaseDuration:
		return min(m.config.LeaseDuration-silent, m.config.LeaseDuration) + monotonic.Millisecond
	case silent > 4*m.config.LeaseDuration:
		return m.config.HeartbeatInterval
	}
	return 2 * m.pollInterval()
}

// isVoter tells whether the newest roster heard of has this member.
func (m *Member) isVoter() bool {
	current, _ := m.configuration()
	return current.Contains(m.config.Name)
}

// holder tells whether the newest value heard of names this copy as one of those that hold every acknowledged write.
func (m *Member) hasCommittedState() bool {
	self := m.self()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.register != nil && (sameMember(m.register.Primary, self) || containsMember(backupsOf(m.register), self))
}

// refresh reads the other voters' registers: this seat may have missed the ballot that names it as a holder. Answers that come
// late are taken note of all the same.
func (m *Member) refreshRegister() {
	gatherResponses(m, m.knownPeers(), 2*m.pollInterval(), m.readRegister, nil)
}
