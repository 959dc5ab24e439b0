package replication

import (
	"errors"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// renewLease requests a lease from every voter; the lease is counted from before the request. If the lease has ended and a later
// epoch is known, it ends the leadership. If another member's proposal keeps voters from granting the lease, it proposes again.
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

// observeLeaseResponses records what the voters' responses report. It returns whether a voter has accepted a later epoch.
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

// proposeAgain proposes this primary's register value under a higher number. Until then, voters that have promised another
// member's proposal, which was never chosen, reject the lease.
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

// requestLease requests a lease from all voters and waits until a quorum has granted it. It returns the configuration used and the
// responses.
func (m *Member) requestLease(state leadership) (quorum.Config, map[string]*wire.LeaseResponse) {
	return m.callVotersForLease(&wire.LeaseRequest{Epoch: state.epoch, Proposal: state.proposal}, m.config.LeaseDuration)
}

// releaseLease makes all reachable voters forget the lease, so that a successor needn't wait until it ends. It returns once all
// have responded, or after the timeout of a call.
func (m *Member) releaseLease(state leadership) {
	request := &wire.LeaseRequest{Epoch: state.epoch, Proposal: state.proposal, Release: true}
	m.callVotersForLease(request, m.config.CallTimeout)
}

// callVotersForLease fills in the fields that are common to all lease requests and sends the request to every voter, including
// this member's own. It returns once a quorum has granted the request (a release is never granted), all have responded, or the
// timeout has passed.
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
		return response, m.callVoterWithTimeout(name, wire.Kind_lease, request, response, timeout)
	}, func(responses map[string]*wire.LeaseResponse) bool {
		return config.HasQuorum(grantedBy(responses))
	})
}
