package replication

import (
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/transport/wire"
)

const (
	// LeaveLimit is how long a graceful shutdown waits at most for other members to take over its replica and its vote.
	LeaveLimit = 2500 * monotonic.Millisecond
	// leavePollInterval is how often a member that is shutting down asks whether it may leave.
	leavePollInterval = 50 * monotonic.Millisecond
)

// Leave prepares a graceful shutdown. It transfers the leadership, and returns once no acknowledged write depends on this member's
// replica and a standby, if there is one, has replaced it as a voter. It returns after the limit in any case, because the process
// then ends regardless.
func (m *Member) Leave(reason string, limit monotonic.Micros) {
	deadline := m.host.Now() + limit
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.transferLeadership(reason, m.config.Name)
	for m.host.Now() < deadline && !m.config.LeaveAtOnce {
		if m.requestLeave(deadline - m.host.Now()) {
			m.host.Report(eventlog.MemberReleased, eventlog.Attributes{"group": m.config.Group})
			return
		}
		m.host.Sleep(min(leavePollInterval, max(0, deadline-m.host.Now())))
	}
	m.host.Report(eventlog.MemberNotReleased, eventlog.Attributes{"group": m.config.Group})
}

// requestLeave asks the primary whether this member may leave.
func (m *Member) requestLeave(timeout monotonic.Micros) bool {
	candidates := m.primaryCandidates()
	if len(candidates) == 0 {
		m.resolver.Refresh()
	}
	for _, primary := range candidates {
		response := &wire.JoinResponse{}
		request := &wire.JoinRequest{To: primary, Name: m.config.Name, Leaving: true}
		if m.resolver.Call(primary, wire.Kind_join, request, response, min(timeout, m.config.CallTimeout)) == nil && response.Released {
			return true
		}
	}
	return false
}

// handleLeave records that a process is shutting down. The response says whether it may leave: it may once no other process has to
// take over its replica or its vote, or none can.
func (m *Member) handleLeave(name string) *wire.JoinResponse {
	if !m.Serving() {
		return &wire.JoinResponse{}
	}
	now := m.host.Now()
	m.mu.Lock()
	m.leaving[name] = now
	delete(m.standbys, name)
	state := m.leadership
	m.mu.Unlock()
	if slices.Contains(consensus.MemberNames(state.backups), name) {
		m.wakeCommits() // to replace the backup
		return &wire.JoinResponse{Released: !m.hasSpareVoter(state.backups)}
	}
	released := state.serving && m.canReleaseVote(name, now-state.since)
	if !released {
		m.wakeup.Fire()
	}
	return &wire.JoinResponse{Released: released}
}

// canReleaseVote reports whether a leaving process isn't a voter that a standby could replace. A primary that has led for less than
// standbyReportInterval may not know all standbys yet.
func (m *Member) canReleaseVote(name string, ledFor monotonic.Micros) bool {
	observed := m.observeMembership()
	if observed.config.IsJoint() {
		return false
	}
	standbys := observed.state.Standbys
	noStandby := len(standbys) == 0 && ledFor >= standbyReportInterval
	noChange := len(standbys) > 0 && observed.state.Next() == nil
	return !slices.Contains(observed.config.Voters, name) || noStandby || noChange
}

// replaceLeavingBackups replaces backups that are shutting down, if other voters can take their place.
func (m *Member) replaceLeavingBackups() {
	m.mu.Lock()
	state, leaving := m.leadership, m.leaving.current(m.host.Now())
	m.mu.Unlock()
	if !state.serving {
		return
	}
	var departing []*wire.MemberID
	for _, backup := range state.backups {
		if leaving[backup.Name] {
			departing = append(departing, backup)
		}
	}
	if len(departing) == 0 || !m.hasSpareVoter(state.backups) {
		return
	}
	m.dropBackups(departing, reasonBackupLeaving)
	m.establishBackups(nil)
}
