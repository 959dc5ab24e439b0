package replication

import (
	"maps"
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// peerState is what another process reported of itself when its register was read.
type peerState struct {
	// readAt is when the response arrived, by this process's clock.
	readAt    monotonic.Micros
	processID uint64
	// intact is set if the process has a register.
	intact bool
	// leaseUntil is until when, by this process's clock, the peer promises nothing to anybody except to the leader leasedTo. If
	// leasedTo is empty, nobody is excepted: the peer has restarted.
	leaseUntil monotonic.Micros
	leasedTo   string
}

// peerTable is what a member knows of the other processes of its group: what each reported when its register was last read, and
// when each last responded to any request of the register. It isn't safe for concurrent use.
type peerTable struct {
	states       map[string]peerState
	lastResponse map[string]monotonic.Micros
}

func newPeerTable() peerTable {
	return peerTable{states: map[string]peerState{}, lastResponse: map[string]monotonic.Micros{}}
}

// recordState takes what a process reported of itself.
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

// lastResponseAt returns when a process last responded. known is false, and the time zero, if it never did.
func (t peerTable) lastResponseAt(name string) (at monotonic.Micros, known bool) {
	at, known = t.lastResponse[name]
	return at, known
}

// processIDs returns the process ID that each process reported last.
func (t peerTable) processIDs() map[string]uint64 {
	ids := make(map[string]uint64, len(t.states))
	for name, peer := range t.states {
		ids[name] = peer.processID
	}
	return ids
}

// isIntact reports whether a process had a register when it was read, no longer ago than some time.
func (t peerTable) isIntact(name string, now, within monotonic.Micros) bool {
	peer, known := t.states[name]
	return known && peer.intact && now-peer.readAt <= within
}

// intactPeers returns the processes for which isIntact is true, sorted by name.
func (t peerTable) intactPeers(now, within monotonic.Micros) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(t.states)) {
		if t.isIntact(name, now, within) {
			names = append(names, name)
		}
	}
	return names
}

// availableAt returns when an intact peer may promise a proposal of a candidate: now, unless it granted another member a lease.
func (t peerTable) availableAt(name, candidate string, now monotonic.Micros) monotonic.Micros {
	peer := t.states[name]
	if peer.leasedTo == candidate {
		return now
	}
	return max(peer.leaseUntil, now)
}

// hasLease reports whether some peer granted a lease to a leader that hasn't ended.
func (t peerTable) hasLease(leader string, now monotonic.Micros) bool {
	for _, peer := range t.states {
		if peer.leasedTo == leader && peer.leaseUntil > now {
			return true
		}
	}
	return false
}
