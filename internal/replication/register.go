package replication

import (
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// observeRegister records a register value, and the proposal under which it was accepted, if it is the newest one seen. It is only
// a hint: the value may have been accepted by just a minority. A nil value is ignored.
func (m *Member) observeRegister(proposal uint64, value *wire.RegisterValue) {
	m.learnAddresses(value)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.register.observe(proposal, value)
}

// knownRegister returns the newest register value seen, or nil if there is none.
func (m *Member) knownRegister() *wire.RegisterValue {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.register.value
}

// knownEpoch returns the epoch of the newest register value seen, or zero if there is none.
func (m *Member) knownEpoch() uint64 { return m.knownRegister().GetEpoch() }

// configOf returns the configuration of a register value, whose quorums decide.
func (m *Member) configOf(value *wire.RegisterValue) quorum.Config {
	return consensus.ConfigOf(value, m.config.InitialVoters)
}

// knownConfig returns the configuration of the newest register value seen, and the proposal under which that was accepted.
func (m *Member) knownConfig() (quorum.Config, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.configOf(m.register.value), m.register.acceptedProposal
}

// Voters returns the names of the group's voters as far as this member knows them, during a change the old and the new ones.
func (m *Member) Voters() []string {
	current, _ := m.knownConfig()
	return current.AllVoters()
}

// otherVoters returns the names of the voters other than this member.
func (m *Member) otherVoters() []string {
	return slices.DeleteFunc(m.Voters(), func(name string) bool { return name == m.config.Name })
}

// isVoter reports whether the newest register value seen names this member as a voter.
func (m *Member) isVoter() bool {
	current, _ := m.knownConfig()
	return current.Contains(m.config.Name)
}

// hasCurrentReplica reports whether the newest register value seen names this member's replica, which then has every acknowledged
// write.
func (m *Member) hasCurrentReplica() bool {
	self := m.self()
	return consensus.NamesReplica(m.knownRegister(), self)
}

// knownPeers returns the other processes that may know the register: the initial and the current voters, and the members of the
// group that the resolver knows.
func (m *Member) knownPeers() []string {
	known := slices.Concat(m.config.InitialVoters, m.Voters(), m.resolver.Members(m.config.Group))
	slices.Sort(known)
	return slices.DeleteFunc(slices.Compact(known), func(name string) bool { return name == m.config.Name })
}

// readRegister reads another process's register and records what that process reports about itself.
func (m *Member) readRegister(name string) (*wire.RegisterReadResponse, error) {
	response := &wire.RegisterReadResponse{}
	request := &wire.RegisterReadRequest{To: name, From: m.config.Name, Voters: m.config.InitialVoters}
	err := m.call(name, wire.Kind_register_read, request, response)
	if err == nil {
		m.recordPeer(name, response)
	}
	return response, err
}

// refreshRegister reads the registers of the other processes, because this member may have missed the value that names its
// replica. Responses that arrive after the timeout are recorded too.
func (m *Member) refreshRegister() {
	gather(m, m.knownPeers(), m.config.refreshTimeout(), m.readRegister, nil)
}

// catchUpRegister reads the primary's register in the background if this member has not seen the primary's newest value, which was
// accepted under the proposal number known.
func (m *Member) catchUpRegister(primary string, known uint64) {
	m.mu.Lock()
	behind := m.register.acceptedProposal < known
	m.mu.Unlock()
	if behind && primary != m.config.Name {
		m.host.Go(func() {
			if response, err := m.readRegister(primary); err == nil {
				m.observeRegister(response.Accepted, response.Value)
			}
		})
	}
}

// reportLeaderToResolver tells the resolver which process leads an epoch. It must be called only with what the winner of that epoch
// sent: a value that a voter accepted is no proof, since another value may have been chosen for the same epoch.
func (m *Member) reportLeaderToResolver(epoch uint64, name string) {
	m.resolver.ObservePrimaries([]*wire.Primary{{Group: m.config.Group, Epoch: epoch, Name: name}})
}

// recordLeaderContact records evidence of a live primary.
func (m *Member) recordLeaderContact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contact.record(m.host.Now())
}

// endColdStart records that this member has seen evidence of a live primary, or that it campaigns.
func (m *Member) endColdStart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contact.coldStart = false
}

// recordResponse records that a voter responded.
func (m *Member) recordResponse(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers.recordResponse(name, m.host.Now())
}

// lastResponseAt returns when a voter last responded, or longAgo if it never did.
func (m *Member) lastResponseAt(name string) monotonic.Micros {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at, known := m.peers.lastResponseAt(name); known {
		return at
	}
	return longAgo
}
