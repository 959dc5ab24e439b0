package replication

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/membership"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// applicant is a process that asked to be taken into the roster.
type standby struct {
	lastContact monotonic.Micros
	hasRegister bool
}

// standbyTimeout is how long after its last word an applicant counts as being in contact.
const standbyTimeout = 3 * monotonic.Second

// hear notes that a voter answered.
func (m *Member) recordResponse(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastResponse[name] = m.config.Host.Now()
}

// lastResponseAt is when a voter last answered, long ago if never.
func (m *Member) lastResponseAt(name string) monotonic.Micros {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at, known := m.lastResponse[name]; known {
		return at
	}
	return -monotonic.Minute
}

// liveStandbys lists the processes in contact that keep a register and want to vote. The caller holds the lock.
func (m *Member) liveStandbys(now monotonic.Micros) (waiting []string) {
	for name, one := range m.standbys {
		if now-one.lastContact > standbyTimeout {
			delete(m.standbys, name)
		} else if one.hasRegister {
			waiting = append(waiting, name)
		}
	}
	slices.Sort(waiting)
	return waiting
}

// standbyNames lists them for a primary that hands over.
func (m *Member) standbyNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.liveStandbys(m.config.Host.Now())
}

// observe makes out the situation of an answering primary.
func (m *Member) membershipState() (epoch uint64, current quorum.Config, leased bool, found membership.State) {
	now := m.config.Host.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.leadership
	if state.epoch == 0 || !state.serving || now >= state.leaseUntil {
		return 0, quorum.Config{}, false, membership.State{}
	}
	current = m.configurationOf(state.register)
	found = membership.State{Voters: current.Voters, TargetSize: m.config.VoterCount, Replicas: append(memberNames(state.backups), m.config.Name),
		Silent: map[string]bool{}, Lost: map[string]bool{}, Leaving: m.leavingMembers(now)}
	for _, name := range current.Voters {
		silent := now - max(m.lastResponse[name], state.since)
		if name == m.config.Name {
			continue
		}
		if silent > 2*m.config.LeaseDuration {
			found.Silent[name] = true
		}
		if silent > m.config.VoterTimeout {
			found.Lost[name] = true
		}
	}
	found.Standbys = slices.DeleteFunc(m.liveStandbys(now), func(name string) bool { return current.Contains(name) || found.Leaving[name] })
	if m.config.Zone != nil {
		found.Zones = map[string]string{}
		for _, name := range slices.Concat(current.Members(), found.Standbys) {
			found.Zones[name] = m.config.Zone(name)
		}
	}
	return state.epoch, current, state.leaseConfiguration.Equal(current), found
}

// tend changes the roster by one step, if a step is due: into a joint change, or out of one once the lease stands by both
// quorums. Only one runs at a time.
func (m *Member) changeMembership() {
	epoch, current, leased, found := m.membershipState()
	if epoch == 0 {
		return
	}
	var fresh quorum.Config
	switch {
	case len(current.Joint) > 0 && !leased:
		return
	case len(current.Joint) > 0:
		fresh = quorum.Config{Voters: current.Joint}
	default:
		if voters := found.Next(); voters != nil {
			fresh = quorum.Config{Voters: current.Voters, Joint: voters}
		} else {
			return
		}
	}
	m.mu.Lock()
	busy := m.changingMembership
	m.changingMembership = true
	if !busy {
		// From now on no such process may begin anew as one that never voted: the ballot may count on it.
		for _, name := range fresh.Joint {
			m.proposedVoters[name] = true
		}
	}
	m.mu.Unlock()
	if busy {
		return
	}
	m.config.Host.Go(func() {
		defer func() {
			m.mu.Lock()
			m.changingMembership = false
			m.mu.Unlock()
		}()
		value, proposal, err := m.changeRegister(func(value *wire.RegisterValue) (*wire.RegisterValue, error) {
			if value == nil || value.Epoch != epoch || !sameMember(value.Primary, m.self()) || !m.configurationOf(value).Equal(current) {
				return nil, errRegisterChanged
			}
			altered := proto.Clone(value).(*wire.RegisterValue)
			altered.Voters, altered.JointVoters = fresh.Voters, fresh.Joint
			return altered, nil
		})
		if err != nil {
			return // the next observation finds out what came of it, if only by a lease refused
		}
		m.adoptRegister(epoch, proposal, value)
		if len(value.JointVoters) == 0 {
			m.mu.Lock()
			m.proposedVoters = map[string]bool{} // what was proposed before is behind this value
			m.mu.Unlock()
		}
		m.config.Host.Report(eventlog.MembershipChanged, map[string]any{"group": m.config.Group, "voters": value.Voters, "joint": value.JointVoters})
		m.renewLease()
		m.wakeup.Fire() // the next step may be due
	})
}

// won notes a value that this primary's own ballot had chosen.
func (m *Member) adoptRegister(epoch, proposal uint64, value *wire.RegisterValue) {
	m.observeRegister(proposal, value)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leadership.epoch == epoch && m.leadership.proposal < proposal {
		m.leadership.proposal, m.leadership.register, m.leadership.preempted = proposal, value, false
	}
}

// handleJoin hears a process that wants to be a voter, and gives it the register to begin with.
func (m *Member) handleJoin(request *wire.JoinRequest) (*wire.JoinResponse, error) {
	if request.Leaving {
		return m.handleLeave(request.Name), nil
	}
	answering := m.Serving()
	current, _ := m.configuration()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !answering {
		return &wire.JoinResponse{Proposal: m.registerProposal, Value: m.register}, nil
	}
	if current.Contains(request.Name) || m.configurationOf(m.leadership.register).Contains(request.Name) || !request.HasRegister && m.proposedVoters[request.Name] {
		return &wire.JoinResponse{Proposal: m.registerProposal, Value: m.register}, nil
	}
	m.standbys[request.Name] = standby{lastContact: m.config.Host.Now(), hasRegister: request.HasRegister}
	return &wire.JoinResponse{Accepted: true, Proposal: m.leadership.proposal, Value: m.leadership.register}, nil
}

// enroll asks the primary to take this process into the roster. A process without a register begins with the primary's:
// no roster that may decide names it, so nothing that it may have forgotten counts.
func (m *Member) requestJoin(joined bool) {
	leader := m.config.Resolver.Leader(m.config.Group)
	m.mu.Lock()
	if leader == "" && m.register != nil {
		leader = m.register.Primary.Name
	}
	m.mu.Unlock()
	if leader == "" || leader == m.config.Name {
		return
	}
	response := &wire.JoinResponse{}
	if m.call(leader, wire.Kind_join, &wire.JoinRequest{To: leader, Name: m.config.Name, HasRegister: joined}, response) != nil {
		return
	}
	m.observeRegister(response.Proposal, response.Value)
	if joined || !response.Accepted || response.Value == nil || m.configurationOf(response.Value).Contains(m.config.Name) {
		return
	}
	m.voterExecutor.Run(func() {
		m.voter.votesAfter = m.config.Host.Now() + m.config.LeaseDuration
		err := m.updateRecord(func(record *wire.RegisterRecord) {
			record.Joined, record.Promised, record.Accepted, record.Value = true, response.Proposal, response.Proposal, response.Value
		})
		if err == nil {
			m.config.Host.Report(eventlog.VoterEnrolled, map[string]any{"group": m.config.Group, "primary": leader, "voters": response.Value.Voters})
		}
	})
}
