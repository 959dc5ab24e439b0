package replication

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/eventlog"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/replication/membership"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// observedMembership is what a serving primary knows of the voters. The zero value stands for a member that doesn't serve.
type observedMembership struct {
	epoch  uint64
	config quorum.Config
	// leased is set if quorums of exactly this configuration granted the lease.
	leased bool
	state  membership.State
}

// observeMembership collects what this member knows of the voters, if it serves.
func (m *Member) observeMembership() observedMembership {
	now := m.host.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	lead := m.leadership
	if lead.epoch == 0 || !lead.serving || now >= lead.leaseUntil {
		return observedMembership{}
	}
	config := m.configOf(lead.register)
	state := membership.State{
		Voters:     config.Voters,
		TargetSize: m.config.VoterCount,
		Replicas:   append(consensus.MemberNames(lead.backups), m.config.Name),
		Silent:     map[string]bool{},
		Lost:       map[string]bool{},
		Leaving:    m.leaving.current(now),
	}
	for _, name := range config.Voters {
		if name == m.config.Name {
			continue
		}
		respondedAt, _ := m.peers.lastResponseAt(name)
		silence := now - max(respondedAt, lead.since)
		if silence > m.config.silentVoterTimeout() {
			state.Silent[name] = true
		}
		if silence > m.config.VoterTimeout {
			state.Lost[name] = true
		}
	}
	state.Standbys = slices.DeleteFunc(m.standbys.live(now), func(name string) bool {
		callable := m.resolver.Address(name) != ""
		return config.Contains(name) || state.Leaving[name] || !callable
	})
	if m.config.Zone != nil {
		state.Zones = map[string]string{}
		for _, name := range slices.Concat(config.AllVoters(), state.Standbys) {
			state.Zones[name] = m.config.Zone(name)
		}
	}
	return observedMembership{epoch: lead.epoch, config: config, leased: lead.leaseConfig.Equal(config), state: state}
}

// nextConfig returns the configuration of the next step of a membership change, and false if none is due. A change begins
// with a joint configuration. Once quorums of both the old and the new voters have granted a lease, it ends with the new ones alone.
func (o observedMembership) nextConfig() (next quorum.Config, due bool) {
	if o.config.IsJoint() {
		return quorum.Config{Voters: o.config.Joint}, o.leased
	}
	voters := o.state.Next()
	return quorum.Config{Voters: o.config.Voters, Joint: voters}, voters != nil
}

// membershipChange tracks the membership changes that a member has proposed. It isn't safe for concurrent use.
type membershipChange struct {
	// inFlight is set while a step is being proposed.
	inFlight bool
	// proposedVoters names the processes that proposals of this process, chosen or not, would make voters. None of them may start
	// with this primary's register as if it had never voted, because such a proposal may count on its vote.
	proposedVoters map[string]bool
}

// begin marks a step as in flight and records its new voters. It returns false if another step is in flight.
func (c *membershipChange) begin(next quorum.Config) bool {
	if c.inFlight {
		return false
	}
	c.inFlight = true
	for _, name := range next.Joint {
		c.proposedVoters[name] = true
	}
	return true
}

// changeMembership starts the next step of a membership change if one is due and none is in flight.
func (m *Member) changeMembership() {
	observed := m.observeMembership()
	if observed.epoch == 0 {
		return
	}
	next, due := observed.nextConfig()
	if !due || !m.beginChange(next) {
		return
	}
	m.host.Go(func() {
		defer m.endChange()
		m.proposeConfig(observed, next)
	})
}

// beginChange marks a step as in flight. It returns false if another step is in flight.
func (m *Member) beginChange(next quorum.Config) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.change.begin(next)
}

func (m *Member) endChange() {
	m.mu.Lock()
	m.change.inFlight = false
	m.mu.Unlock()
}

// proposeConfig proposes one step of a membership change. If the outcome is unknown, later messages reveal it, at the latest the
// rejection of a lease.
func (m *Member) proposeConfig(observed observedMembership, next quorum.Config) {
	value, proposal, err := m.changeRegister(func(value *wire.RegisterValue) (*wire.RegisterValue, error) {
		if !m.leadsEpoch(value, observed.epoch) || !m.configOf(value).Equal(observed.config) {
			return nil, errRegisterChanged
		}
		altered := proto.CloneOf(value)
		altered.Voters, altered.JointVoters = next.Voters, next.Joint
		return altered, nil
	})
	if err != nil {
		return
	}
	m.adoptRegister(observed.epoch, proposal, value)
	if len(value.JointVoters) == 0 {
		m.mu.Lock()
		m.change.proposedVoters = map[string]bool{} // this value supersedes earlier proposals
		m.mu.Unlock()
	}
	m.host.Report(eventlog.MembershipChanged, eventlog.Attributes{"group": m.config.Group, "voters": value.Voters, "joint": value.JointVoters})
	m.renewLease()
	m.wakeup.Fire() // the next step may be due
}
