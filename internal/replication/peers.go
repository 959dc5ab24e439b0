package replication

import (
	"maps"
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/transport/wire"
)

// recordPeer records what a process reported. The process ID answers a read by this process, so it can show this member's voter
// that a process to which it granted a lease has ended.
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

// quorumAvailable reports whether a quorum of the voters whose registers were read recently would promise this member a
// proposal now, and if not, after what wait it might. It is a hint, like a pre-vote: it avoids proposals that would only
// preempt a live primary.
func (m *Member) quorumAvailable() (available bool, wait monotonic.Micros) {
	current, _ := m.knownConfig()
	now := m.host.Now()
	availableAt := m.localVoterAvailableAt(now)
	m.mu.Lock()
	for _, name := range m.peers.intactPeers(now, m.config.CallTimeout) {
		availableAt[name] = m.peers.availableAt(name, m.config.Name, now)
	}
	m.mu.Unlock()
	for _, at := range slices.Sorted(maps.Values(availableAt)) {
		var names []string
		for name, voterAt := range availableAt {
			if voterAt <= at {
				names = append(names, name)
			}
		}
		if current.HasQuorum(names) {
			return at <= now, at - now
		}
	}
	return false, m.config.ElectionInterval
}

// localVoterAvailableAt returns when this member's own voter may promise it a proposal, as a map with this member's name as its only
// key. The map is empty if this member has no register.
func (m *Member) localVoterAvailableAt(now monotonic.Micros) map[string]monotonic.Micros {
	availableAt := map[string]monotonic.Micros{}
	m.voterExecutor.Run(func() {
		if !m.voter.Joined() {
			return
		}
		availableAt[m.config.Name] = now
		if status := m.voter.LeaseStatus(m.host.Now()); status.Leader != m.config.Name {
			availableAt[m.config.Name] = now + status.Remaining
		}
	})
	return availableAt
}

// quorumSeen reports whether this member and the processes whose registers were read within the given time include a quorum. This
// member then knows every value chosen before that time.
func (m *Member) quorumSeen(within monotonic.Micros) bool {
	current, _ := m.knownConfig()
	seen, now := []string{m.config.Name}, m.host.Now()
	m.mu.Lock()
	seen = append(seen, m.peers.intactPeers(now, within)...)
	m.mu.Unlock()
	return current.HasQuorum(seen)
}

// mayReclaim reports whether this member, the primary named by the register value, may campaign without leaving the backups time to
// go first: none of them is back, or a lease still held by this member's earlier process would keep a backup from being elected.
func (m *Member) mayReclaim(value *wire.RegisterValue) bool {
	now := m.host.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers.hasLease(m.config.Name, now) ||
		!slices.ContainsFunc(consensus.BackupsOf(value), func(backup *wire.MemberID) bool {
			return m.peers.isIntact(backup.Name, now, m.config.CallTimeout)
		})
}
