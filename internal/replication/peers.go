package replication

import (
	"maps"
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/transport/wire"
)

// peerState is what another process reported of itself when its register was read.
type peerState struct {
	readAt    monotonic.Micros
	processID uint64
	// intact is set if the process has a register.
	intact bool
	// pledgedUntil is until when, by this process's clock, the peer promises nothing to anybody except to pledgedTo.
	pledgedUntil monotonic.Micros
	pledgedTo    string
}

// recordPeer takes what a process reported. The register was read by this process, so the voter may conclude which of its
// grantees have ended.
func (m *Member) recordPeer(name string, response *wire.RegisterReadResponse) {
	m.observeRegister(response.Accepted, response.Value)
	m.observeProposal(response.Promised)
	now := m.host.Now()
	m.mu.Lock()
	m.lastResponse[name] = now
	m.peers[name] = peerState{
		readAt:       now,
		processID:    response.ProcessId,
		intact:       response.Intact,
		pledgedUntil: now + monotonic.Micros(response.LeaseRemaining),
		pledgedTo:    response.LeaseGrantedTo,
	}
	processIDs := map[string]uint64{m.config.Name: m.processID}
	for peer, state := range m.peers {
		processIDs[peer] = state.processID
	}
	m.mu.Unlock()
	m.voterExecutor.Run(func() { m.voter.ObserveProcesses(m.host.Now(), processIDs) })
}

// quorumAvailable reports whether a quorum of the voters whose registers were read lately would promise this member a
// proposal now, and otherwise after how long it may. It is a hint that avoids proposals which would only stand in a live
// primary's way.
func (m *Member) quorumAvailable() (free bool, wait monotonic.Micros) {
	current, _ := m.knownConfig()
	now := m.host.Now()
	freeAt := m.voterFreeAt(now)
	m.mu.Lock()
	for name, peer := range m.peers {
		switch {
		case !peer.intact || now-peer.readAt > m.config.CallTimeout:
		case peer.pledgedTo == m.config.Name:
			freeAt[name] = now
		default:
			freeAt[name] = max(peer.pledgedUntil, now)
		}
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

// voterFreeAt returns when this member's own voter may promise it a proposal, by its name; nothing if it has no register.
func (m *Member) voterFreeAt(now monotonic.Micros) map[string]monotonic.Micros {
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
	for name, peer := range m.peers {
		if peer.intact && now-peer.readAt <= within {
			seen = append(seen, name)
		}
	}
	m.mu.Unlock()
	return current.HasQuorum(seen)
}

// mayReclaim reports whether this member, the primary that a value names, needn't leave the leadership to one of its
// backups: none of them is back, or a lease that this member's earlier process holds would stand in a backup's way.
func (m *Member) mayReclaim(value *wire.RegisterValue) bool {
	now := m.host.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, peer := range m.peers {
		if peer.pledgedTo == m.config.Name && peer.pledgedUntil > now {
			return true
		}
	}
	return !slices.ContainsFunc(consensus.BackupsOf(value), func(backup *wire.MemberID) bool {
		peer, known := m.peers[backup.Name]
		return known && peer.intact && now-peer.readAt <= m.config.CallTimeout
	})
}
