package replication

import (
	"maps"
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// peerState is what another process reported about itself when its register was read.
type peerState struct {
	// readAt is when the response arrived, by the local clock.
	readAt    monotonic.Micros
	processID uint64
	// intact is set if the process has a register.
	intact bool
	// leaseUntil is the time, by the local clock, until which the peer makes promises only to the leader leasedTo. If leasedTo is
	// empty, the peer has restarted and makes no promises to anyone until then.
	leaseUntil monotonic.Micros
	leasedTo   string
}

// peerTable is what a member knows about the other processes of its group: what each reported when its register was last read, and
// when each last responded to any request about the register. It isn't safe for concurrent use.
type peerTable struct {
	states       map[string]peerState
	lastResponse map[string]monotonic.Micros
}

func newPeerTable() peerTable {
	return peerTable{states: map[string]peerState{}, lastResponse: map[string]monotonic.Micros{}}
}

// recordState records what a process reported about itself.
func (t peerTable) recordState(name string, now monotonic.Micros, response *wire.RegisterReadResponse) {
	t.recordResponse(name, now)
	t.states[name] = peerState{
		readAt:     now,
		processID:  response.ProcessId,
		intact:     response.Intact,
		leaseUntil: now + monotonic.Micros(response.LeaseRemaining),
		leasedTo:   response.LeaseGrantedTo,
	}
}

// recordResponse records that a process responded.
func (t peerTable) recordResponse(name string, now monotonic.Micros) { t.lastResponse[name] = now }

// lastResponseAt returns when a process last responded. If it never did, at is zero and known is false.
func (t peerTable) lastResponseAt(name string) (at monotonic.Micros, known bool) {
	at, known = t.lastResponse[name]
	return at, known
}

// processIDs returns the process ID that each process last reported, by its name.
func (t peerTable) processIDs() map[string]uint64 {
	ids := make(map[string]uint64, len(t.states))
	for name, peer := range t.states {
		ids[name] = peer.processID
	}
	return ids
}

// isIntact reports whether a process had a register when it was last read, and that was within the given time.
func (t peerTable) isIntact(name string, now, within monotonic.Micros) bool {
	peer, known := t.states[name]
	return known && peer.intact && now-peer.readAt <= within
}

// intactPeers returns the names of the processes for which isIntact is true, sorted.
func (t peerTable) intactPeers(now, within monotonic.Micros) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(t.states)) {
		if t.isIntact(name, now, within) {
			names = append(names, name)
		}
	}
	return names
}

// availableAt returns when an intact peer may promise a candidate's proposal: now, unless it granted another member a lease or has
// just restarted.
func (t peerTable) availableAt(name, candidate string, now monotonic.Micros) monotonic.Micros {
	peer := t.states[name]
	if peer.leasedTo == candidate {
		return now
	}
	return max(peer.leaseUntil, now)
}

// hasLease reports whether a peer granted the leader a lease that hasn't ended.
func (t peerTable) hasLease(leader string, now monotonic.Micros) bool {
	for _, peer := range t.states {
		if peer.leasedTo == leader && peer.leaseUntil > now {
			return true
		}
	}
	return false
}
