package replication

import (
	"errors"

	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// renew asks every voter for the primary's tenure, counted from before the ask.
func (m *Member) renewLease() {
	h := m.config.Host
	m.mu.Lock()
	epoch, proposal := m.leadership.epoch, m.leadership.proposal
	m.mu.Unlock()
	requestedAt := h.Now()
	current, replies := m.requestLease(epoch, proposal, false)
	granted := current.HasQuorum(grantedBy(replies, (*wire.LeaseResponse).GetGranted))
	overtaken := false
	for _, reply := range replies {
		m.observeProposal(reply.Promised)
		if reply.Value != nil && reply.Value.Epoch > epoch {
			overtaken = true
		}
		if !reply.Granted {
			m.observeRegister(reply.Accepted, reply.Value)
		}
		if !reply.Granted && reply.Promised > proposal {
			m.mu.Lock()
			m.leadership.preempted = true
			m.mu.Unlock()
		}
	}
	m.mu.Lock()
	if granted && m.leadership.epoch == epoch {
		m.leadership.leaseUntil, m.leadership.leaseConfiguration = requestedAt+m.config.LeaseDuration, current
	}
	expired := m.leadership.epoch == epoch && h.Now() >= m.leadership.leaseUntil
	outbid := m.leadership.preempted
	m.mu.Unlock()
	if expired && overtaken {
		m.stepDown(epoch, "another epoch began")
		return
	}
	if !granted && outbid {
		// A rival's ballot that came to nothing stands in the way: write the same value under a higher one.
		value, fresh, err := m.changeRegister(func(value *wire.RegisterValue) (*wire.RegisterValue, error) {
			if value == nil || value.Epoch != epoch || !sameMember(value.Primary, m.self()) {
				return nil, errRegisterChanged
			}
			return value, nil
		})
		if err == nil {
			m.adoptRegister(epoch, fresh, value)
		} else if errors.Is(err, errRegisterChanged) {
			m.observeRegister(fresh, value)
			m.stepDown(epoch, "another epoch began")
		}
	}
}

// requestLease asks everybody who votes, and tells by which configuration it asked.
func (m *Member) requestLease(epoch, proposal uint64, release bool) (quorum.Config, map[string]*wire.LeaseResponse) {
	self, timeout := m.self(), m.config.LeaseDuration
	if release {
		timeout = m.config.CallTimeout
	}
	current, known := m.configuration()
	return current, gatherResponses(m, current.Members(), timeout, func(name string) (*wire.LeaseResponse, error) {
		request := &wire.LeaseRequest{To: name, Epoch: epoch, Proposal: proposal, Leader: self, Release: release,
			Voters: current.Voters, JointVoters: current.Joint, KnownProposal: known, ProcessId: m.processID}
		if name == m.config.Name {
			return m.handleLease(request)
		}
		response := &wire.LeaseResponse{}
		err := m.config.Resolver.Call(name, wire.Kind_lease, request, response, timeout)
		if err == nil {
			m.recordResponse(name)
		}
		return response, err
	}, func(replies map[string]*wire.LeaseResponse, _ int) bool {
		return current.HasQuorum(grantedBy(replies, (*wire.LeaseResponse).GetGranted))
	})
}
