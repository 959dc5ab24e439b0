package replication

import (
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const (
	// LeaveLimit is how long a planned stop waits at most for its copy and seat to be taken over.
	LeaveLimit = 2500 * monotonic.Millisecond
	// leavePollInterval is how often a member that stops as planned asks whether it may go.
	leavePollInterval = 50 * monotonic.Millisecond
	// standbyReportInterval is how long a process that waits for a seat may take to tell a new primary so.
	standbyReportInterval = 1500 * monotonic.Millisecond
	// leaveTimeout is how long after its last word a process counts as leaving: its next life is none that leaves.
	leaveTimeout = monotonic.Second
)

// Leave is for a planned stop. It hands the lead over and returns once this member holds no copy that is counted on, and its seat is taken by
// a successor if one waits; or when the limit has passed, since the process is ended then in any case.
func (m *Member) Leave(why string, limit monotonic.Micros) {
	h := m.config.Host
	deadline := h.Now() + limit
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.transferLeadershipAs(why, m.config.Name)
	for h.Now() < deadline && !m.config.LeaveAtOnce {
		if m.requestLeave(deadline - h.Now()) {
			h.Report(eventlog.MemberReleased, map[string]any{"group": m.config.Group})
			return
		}
		h.Sleep(min(leavePollInterval, max(0, deadline-h.Now())))
	}
	h.Report(eventlog.MemberNotReleased, map[string]any{"group": m.config.Group})
}

// requestLeave asks the primary whether this member may go.
func (m *Member) requestLeave(timeout monotonic.Micros) bool {
	leader := m.config.Resolver.Leader(m.config.Group)
	if leader == "" || leader == m.config.Name {
		m.config.Resolver.Refresh()
		return false
	}
	response := &wire.JoinResponse{}
	request := &wire.JoinRequest{To: leader, Name: m.config.Name, Leaving: true}
	err := m.config.Resolver.Call(leader, wire.Kind_join, request, response, min(timeout, m.config.CallTimeout))
	return err == nil && response.Released
}

// handleLeave notes that a process stops as planned, and tells whether it may go: it holds no copy that is counted on, and no seat that a
// process that waits could take.
func (m *Member) handleLeave(name string) *wire.JoinResponse {
	if !m.Serving() {
		return &wire.JoinResponse{}
	}
	now := m.config.Host.Now()
	m.mu.Lock()
	m.leaving[name] = now
	delete(m.standbys, name)
	state := m.leadership
	m.mu.Unlock()
	if slices.Contains(memberNames(state.backups), name) {
		m.writes.Put(nil) // the work task gives the copy to another
		return &wire.JoinResponse{Released: !m.hasSpareVoter(state.backups)}
	}
	_, current, _, found := m.membershipState()
	// A young primary doesn't know yet who waits.
	alone := len(found.Standbys) == 0 && now-state.since >= standbyReportInterval
	stuck := len(found.Standbys) > 0 && found.Next() == nil
	released := state.serving && len(current.Joint) == 0 && (!slices.Contains(current.Voters, name) || alone || stuck)
	if !released {
		m.wakeup.Fire()
	}
	return &wire.JoinResponse{Released: released}
}

// leavingMembers lists the processes that said lately that they stop as planned. The caller holds the lock.
func (m *Member) leavingMembers(now monotonic.Micros) map[string]bool {
	leaving := map[string]bool{}
	for name, at := range m.leaving {
		if now-at > leaveTimeout {
			delete(m.leaving, name)
			continue
		}
		leaving[name] = true
	}
	return leaving
}

// replaceLeavingBackups gives the copies of backups that stop as planned to other voters, before those that leave are let go.
func (m *Member) replaceLeavingBackups() {
	m.mu.Lock()
	state, leaving := m.leadership, m.leavingMembers(m.config.Host.Now())
	m.mu.Unlock()
	leaves := func(backup *wire.MemberID) bool { return leaving[backup.Name] }
	if !state.serving || !slices.ContainsFunc(state.backups, leaves) || !m.hasSpareVoter(state.backups) {
		return
	}
	var going []*wire.MemberID
	for _, backup := range state.backups {
		if leaves(backup) {
			going = append(going, backup)
		}
	}
	m.dropBackups(going, "it stops as planned")
	m.establishBackups(nil)
}
