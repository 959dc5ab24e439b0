package replication

import (
	"maps"
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/transport/wire"
)

// recordPeer takes what a process reported. The register was read by this process, so the voter may conclude which of its
// grantees have ended.
func (m *Member) recordPeer(name string, response *wire.RegisterReadResponse) {
	m.observeRegister(response.Accepted, response.Value)
	m.observeProposal(response.Promised)
	now := m.host.Now()
	m.mu.Lock()
	m.peers.recordState(name, now, response)
	processIDs := m.peers.processIDs()
	m.mu.Unlock()
	processIDs[m.config.Name] = m.processID
	m.voterExecutor.Run(func() { m.voter.ObserveProcesses(m.host.Now(), processIDs) })
}

// quorumAvailable reports whether a quorum of the voters whose registers were read lately would promise this member a
// proposal now, and otherwise after how long it may. It is a hint, like a pre-vote: it avoids proposals that would only
// preempt a live primary.
func (m *Member) quorumAvailable() (free bool, wait monotonic.Micros) {
	current, _ := m.knownConfig()
	now := m.host.Now()
	freeAt := m.localVoterAvailableAt(now)
	m.mu.Lock()
	for _, name := range m.peers.intactPeers(now, m.config.CallTimeout) {
		freeAt[name] = m.peers.availableAt(name, m.config.Name, now)
	}
	m.mu.Unlock()
	for _, at := range slices.Sorted(maps.Values(freeAt)) {
		var names []string
		for name, free := range freeAt {
			if free <= at {
				names = append(names, name)
			}
		}
		if current.HasQuorum(names) {
			return at <= now, at - now
		}
	}
	return false, m.config.HeartbeatInterval
}

// localVoterAvailableAt returns when this member's own voter may promise it a proposal, by its name; nothing if it has no register.
func (m *Member) localVoterAvailableAt(now monotonic.Micros) map[string]monotonic.Micros {
	freeAt := map[string]monotonic.Micros{}
	m.voterExecutor.Run(func() {
		if !m.voter.Joined() {
			return
		}
		freeAt[m.config.Name] = now
		if status := m.voter.LeaseStatus(m.host.Now()); status.Leader != m.config.Name {
			freeAt[m.config.Name] = now + status.Remaining
		}
	})
	return freeAt
}

// quorumSeen reports whether this voter and those whose registers were read within some time are a quorum. What was chosen
// before is then known here.
func (m *Member) quorumSeen(within monotonic.Micros) bool {
	current, _ := m.knownConfig()
	seen, now := []string{m.config.Name}, m.host.Now()
	m.mu.Lock()
	seen = append(seen, m.peers.intactPeers(now, within)...)
	m.mu.Unlock()
	return current.HasQuorum(seen)
}

// mayReclaim reports whether this member, the primary that a value names, needn't leave the leadership to one of its
// backups: none of them is back, or a lease that this member's earlier process has would keep a backup from being elected.
func (m *Member) mayReclaim(value *wire.RegisterValue) bool {
	now := m.host.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers.hasLease(m.config.Name, now) ||
		!slices.ContainsFunc(consensus.BackupsOf(value), func(backup *wire.MemberID) bool {
			return m.peers.isIntact(backup.Name, now, m.config.CallTimeout)
		})
}
