package replication

import (
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/transport/wire"
)

// joinAsVoter obtains the first register of a process that has none:
//   - at the group's first start it begins empty, if every initial voter responds, has accepted no value and may bootstrap;
//   - if the configuration names this process, it is read from so many other voters that every quorum includes one of them;
//   - otherwise it comes from the primary, which records this process as a standby.
func (m *Member) joinAsVoter() {
	// An earlier process of this name may have accepted a proposal that others have not accepted yet. After a lease's duration
	// they have accepted it or never will; what is read before then may be incomplete.
	waited := false
	m.voterExecutor.Run(func() { waited = m.voter.WaitOver(m.host.Now()) })
	others := m.knownPeers()
	found := m.surveyRegisters(others, gather(m, others, m.config.CallTimeout, m.readRegister, nil))
	current := m.configOf(found.value)
	switch {
	case found.bootstrap:
		m.startVoting(found)
	case !waited:
		m.observeRegister(found.accepted, found.value)
	case !current.Contains(m.config.Name):
		m.observeRegister(found.accepted, found.value)
		m.requestJoin(false)
	case current.HasReadQuorum(found.intact):
		m.startVoting(found)
	}
}

// registerSurvey is what a process without a register learns from the registers of others.
type registerSurvey struct {
	// bootstrap is set if the group has never started and may start now.
	bootstrap bool
	// intact names the processes that have a register.
	intact []string
	// promised is the highest proposal promised. value is the newest value, and accepted the proposal under which it was accepted.
	promised, accepted uint64
	value              *wire.RegisterValue
}

// surveyRegisters combines the responses of other processes. A process that didn't respond is missing in responses.
func (m *Member) surveyRegisters(others []string, responses map[string]*wire.RegisterReadResponse) registerSurvey {
	isInitial := func(name string) bool { return slices.Contains(m.config.InitialVoters, name) }
	found := registerSurvey{bootstrap: m.config.Bootstrap && isInitial(m.config.Name)}
	for _, name := range others {
		response := responses[name]
		if response == nil {
			found.bootstrap = found.bootstrap && !isInitial(name)
			continue
		}
		// A promise without an accepted value doesn't prevent bootstrapping: the first proposal may have failed only because this
		// voter hadn't joined yet.
		found.bootstrap = found.bootstrap && response.Accepted == 0 && (response.CanBootstrap || !isInitial(name))
		found.promised = max(found.promised, response.Promised)
		if !response.Intact {
			continue
		}
		found.intact = append(found.intact, name)
		if response.Accepted > found.accepted {
			found.accepted, found.value = response.Accepted, response.Value
		}
	}
	return found
}

// startVoting saves the register that a survey found. Except at the group's first start, this process votes only once any lease
// that an earlier process of its name granted must have ended.
func (m *Member) startVoting(found registerSurvey) {
	m.voterExecutor.Run(func() {
		if found.bootstrap {
			m.voter.EndWait(m.host.Now())
		} else {
			m.voter.DeferVotes(m.host.Now() + m.config.LeaseDuration)
		}
		if err := m.saveRecord(m.voter.Join(found.promised, found.accepted, found.value)); err != nil {
			return // the election loop calls joinAsVoter again
		}
		m.host.Report(eventlog.VoterJoined, eventlog.Attributes{"group": m.config.Group, "genesis": found.bootstrap, "promised": found.promised})
	})
}

// requestJoin asks the primary to add this process to the voters. A process without a register begins with the primary's. That is
// safe because no configuration that can decide includes this process, so what an earlier process of its name promised and forgot
// doesn't count. It reports whether a primary has recorded this process.
func (m *Member) requestJoin(hasRegister bool) (recorded bool) {
	for _, primary := range m.primaryCandidates() {
		response := &wire.JoinResponse{}
		request := &wire.JoinRequest{To: primary, Name: m.config.Name, HasRegister: hasRegister, Address: m.resolver.Self()}
		if m.call(primary, wire.Kind_join, request, response) != nil {
			continue // the election loop tries again
		}
		m.observeRegister(response.Proposal, response.Value)
		if response.Accepted {
			m.adoptPrimaryRegister(hasRegister, primary, response)
			return true
		}
	}
	return false
}

// primaryCandidates returns the other processes that may be the primary, the likeliest first.
func (m *Member) primaryCandidates() []string {
	candidates := newestPrimaryFirst(m.resolver.Primary(m.config.Group), m.knownRegister())
	return slices.DeleteFunc(candidates, func(name string) bool { return name == m.config.Name })
}

// newestPrimaryFirst returns the primary known to the resolver and the one named by the newest register value seen, the one of the
// later epoch first. The resolver's primary did win its epoch, but may be long out of date because that information spreads from
// process to process; the register value may never have been chosen. Either argument may be nil.
func newestPrimaryFirst(known *wire.Primary, value *wire.RegisterValue) (names []string) {
	names = []string{known.GetName(), value.GetPrimary().GetName()}
	if value.GetEpoch() > known.GetEpoch() {
		slices.Reverse(names)
	}
	return slices.DeleteFunc(slices.Compact(names), func(name string) bool { return name == "" })
}

// adoptPrimaryRegister starts this process with the register of the primary that recorded it as a standby. It does nothing if the
// process already has a register or the configuration already names it.
func (m *Member) adoptPrimaryRegister(hasRegister bool, primary string, response *wire.JoinResponse) {
	if hasRegister || response.Value == nil || m.configOf(response.Value).Contains(m.config.Name) {
		return
	}
	m.voterExecutor.Run(func() {
		m.voter.DeferVotes(m.host.Now() + m.config.LeaseDuration)
		if err := m.saveRecord(m.voter.Join(response.Proposal, response.Proposal, response.Value)); err != nil {
			return
		}
		m.host.Report(eventlog.VoterEnrolled, eventlog.Attributes{"group": m.config.Group, "primary": primary, "voters": response.Value.Voters})
	})
}

// handleJoin records a process that wants to become a voter as a standby, and returns a register for it to begin with. It also
// handles requests to leave.
func (m *Member) handleJoin(request *wire.JoinRequest) (*wire.JoinResponse, error) {
	if request.Leaving {
		return m.handleLeave(request.Name), nil
	}
	if request.Address != nil {
		m.resolver.AddPeers([]*wire.PeerAddress{request.Address})
	}
	serving := m.Serving()
	current, _ := m.knownConfig()
	m.mu.Lock()
	defer m.mu.Unlock()
	mayVote := current.Contains(request.Name) || m.configOf(m.leadership.register).Contains(request.Name)
	proposed := !request.HasRegister && m.change.proposedVoters[request.Name]
	if !serving || mayVote || proposed {
		return &wire.JoinResponse{Proposal: m.register.acceptedProposal, Value: m.register.value}, nil
	}
	m.standbys[request.Name] = standby{lastContact: m.host.Now(), hasRegister: request.HasRegister}
	return &wire.JoinResponse{Accepted: true, Proposal: m.leadership.proposal, Value: m.leadership.register}, nil
}

// standbyNames returns the live standbys, sorted.
func (m *Member) standbyNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.standbys.live(m.host.Now())
}
