package replication

import (
	"errors"
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// campaign opens the next epoch with this member as primary, if the register names it as a holder of every
// acknowledged write. Nothing is answered in that epoch until a backup is in step.
func (m *Member) campaign(known *wire.RegisterValue) {
	self := m.self()
	m.mu.Lock()
	stopping := m.stopping
	m.mu.Unlock()
	if stopping || known != nil && !m.config.AnyVoterMayLead && !sameMember(known.Primary, self) && !containsMember(backupsOf(known), self) {
		return
	}
	m.endColdStart()
	value, proposal, err := m.changeRegister(func(value *wire.RegisterValue) (*wire.RegisterValue, error) {
		if value == nil {
			if known != nil {
				return nil, errRegisterChanged
			}
			return &wire.RegisterValue{Epoch: 1, Primary: self, Members: []*wire.MemberID{self}, Voters: m.config.InitialVoters}, nil
		}
		others := backupsOf(value)
		if !sameMember(value.Primary, self) {
			if !containsMember(others, self) && !m.config.AnyVoterMayLead {
				return nil, errRegisterChanged
			}
			others = append([]*wire.MemberID{value.Primary}, slices.DeleteFunc(slices.Clone(others), func(one *wire.MemberID) bool { return sameMember(one, self) })...)
		}
		m.replicaExecutor.Run(func() { m.replica.fenced = max(m.replica.fenced, value.Epoch+1) })
		return nextRegister(value, value.Epoch+1, self, others), nil
	})
	if err != nil {
		if errors.Is(err, errRegisterChanged) {
			m.observeRegister(proposal, value)
		}
		m.mu.Lock()
		m.lastLeaderContact = m.config.Host.Now() - m.config.LeaseDuration + monotonic.Micros(m.config.Host.Random()%uint64(2*m.config.HeartbeatInterval))
		m.mu.Unlock()
		return
	}
	m.observeRegister(proposal, value)
	m.replicaExecutor.Run(func() {
		for _, entry := range m.replica.pending {
			m.apply(entry)
		}
		m.replica.pending = nil
		m.replica.fenced = max(m.replica.fenced, value.Epoch)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.leadership = leadership{epoch: value.Epoch, proposal: proposal, register: value, since: m.config.Host.Now(), clockBase: m.replica.leaderClock, clockBaseAt: m.config.Host.Now(), clockSyncedAt: m.config.Host.Now()}
	})
	number := eventlog.BecamePrimary
	if value.Epoch == 1 {
		number = eventlog.GroupBootstrapped
	}
	m.config.Host.Report(number, map[string]any{"group": m.config.Group, "epoch": value.Epoch})
	m.renewLease()
	m.writes.Put(nil) // the work task is to settle now
}

// stepDown ends this member's lead of an epoch. A lead that has moved on to a later epoch meanwhile isn't touched: news
// that was asked for under the earlier one says nothing of it.
func (m *Member) stepDown(epoch uint64, why string) {
	m.mu.Lock()
	leading := epoch != 0 && m.leadership.epoch == epoch
	if leading {
		m.leadership = leadership{}
		m.lastLeaderContact = m.config.Host.Now()
	}
	m.mu.Unlock()
	if leading {
		m.config.Host.Report(eventlog.SteppedDown, map[string]any{"group": m.config.Group, "epoch": epoch, "why": why})
	}
}

// transferLeadership gives the lead to the backup: the tenure is released first, so it need not be waited out.
func (m *Member) transferLeadership(why string) { m.transferLeadershipAs(why, "") }

// transferLeadershipAs hands over; leaving is this member's name where it stops as planned, so that the heir gives it nothing to hold.
func (m *Member) transferLeadershipAs(why, leaving string) {
	m.mu.Lock()
	state := m.leadership
	m.mu.Unlock()
	if state.epoch == 0 {
		return
	}
	waiting := m.standbyNames()
	m.stepDown(state.epoch, why)
	var content []byte
	if m.config.HandoverState != nil {
		content = m.config.HandoverState() // nothing is answered any more, so this is the last word
	}
	m.requestLease(state.epoch, state.proposal, true)
	if len(state.backups) > 0 {
		successor := state.backups[0].Name
		m.config.Host.Report(eventlog.LeadershipTransferred, map[string]any{"group": m.config.Group, "to": successor, "why": why})
		_ = m.call(successor, wire.Kind_handover, &wire.HandoverRequest{To: successor, Epoch: state.epoch, Content: content, LeavingMember: leaving, WaitingMembers: waiting}, &wire.HandoverResponse{})
	}
	m.mu.Lock()
	m.lastLeaderContact = m.config.Host.Now() + 4*m.config.LeaseDuration
	m.mu.Unlock()
}

// TransferLeadership gives the lead to a backup, if this member has it.
func (m *Member) TransferLeadership(why string) { m.transferLeadership(why) }
