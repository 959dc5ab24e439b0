package replication

import (
	"maps"
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// sighting is what another seat told of itself when it was read.
type peerState struct {
	readAt       monotonic.Micros
	processID    uint64
	intact       bool
	pledgedUntil monotonic.Micros // until when, by the own clock, it promises nobody anything but whom it's bound to
	pledgedTo    string
}

// bound is for how long this seat promises nobody anything, but one; only the seat's task may ask.
func (m *Member) pledge() (left int64, to string) {
	now, v := m.config.Host.Now(), &m.voter
	switch {
	case now < v.votesAfter:
		return int64(v.votesAfter - now), ""
	case v.grant.holder != nil && now < v.grant.until:
		return int64(v.grant.until - now), v.grant.holder.Name
	}
	return 0, ""
}

// grantees are who may hold a lease granted here once one more is promised or granted something: while a grant stands, whoever
// was one before is too. A life that ended may be asking late, after its process's next one was granted a lease.
func (m *Member) granteesWith(name string, processID uint64) (all []*wire.Grantee) {
	v, fresh := &m.voter, &wire.Grantee{Name: name, ProcessId: processID}
	if v.grant.holder != nil && m.config.Host.Now() < v.grant.until {
		all = slices.Clone(v.record.Grantees)
	}
	if !slices.ContainsFunc(all, func(one *wire.Grantee) bool { return sameGrantee(one, fresh) }) {
		all = append(all, fresh)
	}
	return all
}

func sameGrantee(one, other *wire.Grantee) bool {
	return one.Name == other.Name && one.ProcessId == other.ProcessId
}

func sameGrantees(some, others []*wire.Grantee) bool {
	return slices.EqualFunc(some, others, sameGrantee)
}

// sighted notes what a seat told. It was read in this life, so a grantee of an earlier life of this seat that lives no more is
// seen to: its name answers as another life, and a name has one life at a time.
func (m *Member) recordPeer(name string, response *wire.RegisterReadResponse) {
	m.observeRegister(response.Accepted, response.Value)
	m.observeProposal(response.Promised)
	now := m.config.Host.Now()
	m.mu.Lock()
	m.lastResponse[name] = now
	m.peers[name] = peerState{readAt: now, processID: response.ProcessId, intact: response.Intact, pledgedUntil: now + monotonic.Micros(response.LeaseRemaining), pledgedTo: response.LeaseGrantedTo}
	processIDs := map[string]uint64{m.config.Name: m.processID}
	for other, one := range m.peers {
		processIDs[other] = one.processID
	}
	m.mu.Unlock()
	m.voterExecutor.Run(func() { m.endInheritedWait(processIDs) })
}

// inherit ends the wait for an earlier life's grants, if each life that may hold one is over.
func (m *Member) endInheritedWait(processIDs map[string]uint64) {
	v := &m.voter
	over := func(one *wire.Grantee) bool {
		return one.ProcessId != 0 && processIDs[one.Name] != 0 && processIDs[one.Name] != one.ProcessId
	}
	if v.awaitsGrantees && !slices.ContainsFunc(v.record.Grantees, func(one *wire.Grantee) bool { return !over(one) }) {
		v.votesAfter, v.awaitsGrantees = min(v.votesAfter, m.config.Host.Now()), false
	}
}

// vacant tells whether a quorum of those who were seen lately would promise this member something now, and otherwise when it
// may. It's a hint that saves ballots which would only stand in a primary's way.
func (m *Member) quorumAvailable() (free bool, wait monotonic.Micros) {
	current, _ := m.configuration()
	now, until := m.config.Host.Now(), map[string]monotonic.Micros{}
	m.voterExecutor.Run(func() {
		left, to := m.pledge()
		if m.voter.record.Joined {
			until[m.config.Name] = now
			if to != m.config.Name {
				until[m.config.Name] = now + monotonic.Micros(left)
			}
		}
	})
	m.mu.Lock()
	for name, one := range m.peers {
		switch {
		case !one.intact || now-one.readAt > m.config.CallTimeout:
		case one.pledgedTo == m.config.Name:
			until[name] = now
		default:
			until[name] = max(one.pledgedUntil, now)
		}
	}
	m.mu.Unlock()
	for _, at := range slices.Sorted(maps.Values(until)) {
		var names []string
		for name, free := range until {
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

// quorumSeen tells whether this seat and those whose registers were read within a span are a quorum: what was chosen before is known here.
func (m *Member) quorumSeen(within monotonic.Micros) bool {
	current, _ := m.configuration()
	seen, now := []string{m.config.Name}, m.config.Host.Now()
	m.mu.Lock()
	for name, one := range m.peers {
		if one.intact && now-one.readAt <= within {
			seen = append(seen, name)
		}
	}
	m.mu.Unlock()
	return current.HasQuorum(seen)
}

// succeeds tells whether this member, the primary that the register names, need not leave the lead to one of its backups: none is
// back, or a lease of this member's own earlier life stands in a backup's way.
func (m *Member) mayReclaim(value *wire.RegisterValue) bool {
	now := m.config.Host.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	back := slices.ContainsFunc(backupsOf(value), func(backup *wire.MemberID) bool {
		one, seen := m.peers[backup.Name]
		return seen && one.intact && now-one.readAt <= m.config.CallTimeout
	})
	for _, one := range m.peers {
		if one.pledgedTo == m.config.Name && one.pledgedUntil > now {
			return true
		}
	}
	return !back
}
