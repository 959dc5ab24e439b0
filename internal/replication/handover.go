package replication

import (
	"snowflow/internal/eventlog"
	"snowflow/internal/transport/wire"
)

// TransferLeadership passes the leadership to the first backup if this member leads. It releases the lease first, so that the
// backup needn't wait until the lease ends.
func (m *Member) TransferLeadership(reason string) { m.transferLeadership(reason, "") }

// transferLeadership does what TransferLeadership does. If this member is shutting down, leavingMember is its name, so that the
// successor doesn't make it a backup; otherwise leavingMember is empty.
func (m *Member) transferLeadership(reason, leavingMember string) {
	state := m.currentLeadership()
	if state.epoch == 0 {
		return
	}
	standbys := m.standbyNames()
	m.stepDown(state.epoch, reason)
	var content []byte
	if m.config.HandoverState != nil {
		content = m.config.HandoverState() // this member no longer serves, so the content is final
	}
	m.releaseLease(state)
	if len(state.backups) > 0 {
		successor := state.backups[0].Name
		m.host.Report(eventlog.LeadershipTransferred, eventlog.Attributes{"group": m.config.Group, "to": successor, "why": reason})
		request := &wire.HandoverRequest{
			To: successor, Epoch: state.epoch, Content: content, LeavingMember: leavingMember, WaitingMembers: standbys,
		}
		// If this request is lost, the successor takes over after its election timeout.
		_ = m.call(successor, wire.Kind_handover, request, &wire.HandoverResponse{})
	}
	m.mu.Lock()
	m.contact.last = m.host.Now() + m.config.successorGrace() // the successor campaigns first
	m.mu.Unlock()
}

// handleHandover takes over what the previous primary passes on, and makes this member campaign at once.
func (m *Member) handleHandover(request *wire.HandoverRequest) (*wire.HandoverResponse, error) {
	if m.config.OnHandover != nil {
		m.config.OnHandover(request.Epoch, request.Content)
	}
	m.mu.Lock()
	m.contact.expire()
	now := m.host.Now()
	if request.LeavingMember != "" {
		m.leaving[request.LeavingMember] = now
	}
	for _, name := range request.WaitingMembers {
		m.standbys[name] = standby{lastContact: now, hasRegister: true}
	}
	m.mu.Unlock()
	m.wakeup.Fire()
	return &wire.HandoverResponse{Accepted: true}, nil
}
