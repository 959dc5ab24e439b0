package replication

import (
	"errors"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// renewLease requests a lease from every voter. The lease counts from before the request. It ends the leadership if the lease has
// ended and a later epoch is known, and clears a rival's proposal out of the way by one of its own.
func (m *Member) renewLease() {
	state := m.currentLeadership()
	epoch := state.epoch
	requestedAt := m.host.Now()
	config, responses := m.requestLease(state)
	granted := config.HasQuorum(grantedBy(responses))
	superseded := m.observeLeaseResponses(state, responses)

	m.mu.Lock()
	if granted && m.leadership.epoch == epoch {
		m.leadership.leaseUntil, m.leadership.leaseConfig = requestedAt+m.config.LeaseDuration, config
	}
	expired := m.leadership.epoch == epoch && m.host.Now() >= m.leadership.leaseUntil
	preempted := m.leadership.preempted
	m.mu.Unlock()

	if expired && superseded {
		m.stepDown(epoch, reasonNewerEpoch)
		return
	}
	if !granted && preempted {
		m.proposeAgain(epoch)
	}
}

// observeLeaseResponses takes what voters report, and reports whether one of them has accepted a later epoch.
func (m *Member) observeLeaseResponses(state leadership, responses map[string]*wire.LeaseResponse) (superseded bool) {
	for _, response := range responses {
		m.observeProposal(response.Promised)
		if response.Value.GetEpoch() > state.epoch {
			superseded = true
		}
		if response.Granted {
			continue
		}
		m.observeRegister(response.Accepted, response.Value)
		if response.Promised > state.proposal {
			m.mu.Lock()
			m.leadership.preempted = true
			m.mu.Unlock()
		}
	}
	return superseded
}

// proposeAgain proposes this primary's register value under a higher number. Voters that promised a
// rival's proposal, which was never chosen, reject the lease until then.
func (m *Member) proposeAgain(epoch uint64) {
	value, proposal, err := m.changeRegister(func(value *wire.RegisterValue) (*wire.RegisterValue, error) {
		if !m.leadsEpoch(value, epoch) {
			return nil, errRegisterChanged
		}
		return value, nil
	})
	if err == nil {
		m.adoptRegister(epoch, proposal, value)
	} else if errors.Is(err, errRegisterChanged) {
		m.observeRegister(proposal, value)
		m.stepDown(epoch, reasonNewerEpoch)
	}
}

// requestLease requests a lease of all voters until a quorum has granted it. It returns their responses, and by which
// configuration it went.
func (m *Member) requestLease(state leadership) (quorum.Config, map[string]*wire.LeaseResponse) {
	return m.callVotersForLease(&wire.LeaseRequest{Epoch: state.epoch, Proposal: state.proposal}, m.config.LeaseDuration)
}

// releaseLease has all voters that can be reached forget the lease, so that a successor needn't wait until it ends. It returns
// once all have responded, or after the timeout of a call.
func (m *Member) releaseLease(state leadership) {
	request := &wire.LeaseRequest{Epoch: state.epoch, Proposal: state.proposal, Release: true}
	m.callVotersForLease(request, m.config.CallTimeout)
}

// callVotersForLease completes a request by what is alike for all requests about a lease, and sends it to every voter, this
// member's own included. It returns once a quorum has granted the request, all have responded, or the timeout has passed.
func (m *Member) callVotersForLease(
	template *wire.LeaseRequest, timeout monotonic.Micros,
) (quorum.Config, map[string]*wire.LeaseResponse) {
	self := m.self()
	config, known := m.knownConfig()
	return config, gather(m, config.AllVoters(), timeout, func(name string) (*wire.LeaseResponse, error) {
		request := &wire.LeaseRequest{
			To: name, Epoch: template.Epoch, Proposal: template.Proposal, Leader: self, Release: template.Release, ProcessId: m.processID,
			Voters: config.Voters, JointVoters: config.Joint, KnownProposal: known,
		}
		if name == m.config.Name {
			return m.handleLease(request)
		}
		response := &wire.LeaseResponse{}
		return response, m.callVoterWithin(name, wire.Kind_lease, request, response, timeout)
	}, func(responses map[string]*wire.LeaseResponse) bool {
		return config.HasQuorum(grantedBy(responses))
	})
}
