package replication

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// situation is what a primary knows when it looks whether the roster should be another.
type membershipState struct {
	voters   voterSet
	wanted   int               // wanted number of voters
	replicas []string          // the primary and its backups, which stay
	silent   map[string]bool   // voters that haven't answered lately
	lost     map[string]bool   // voters that have been silent past the bound; also among the silent
	leaving  map[string]bool   // voters that stop as planned
	standbys []string          // processes in contact that aren't voters and keep a register
	zones    map[string]string // failure domains, such as zones, as far as they are known
}

// next gives the roster to change to, one voter added, replaced or left out, or nothing.
//
// Invariants: the roster never has two changes at a time; whoever holds a copy stays; the voters that are left and answer are
// a quorum of the roster before and of the one after, so that the change can be carried through.
func (s membershipState) nextVoters() voterSet {
	for _, rule := range []func() voterSet{s.replaceVoter, s.addVoter, s.removeVoter, s.spreadZones} {
		if fresh := rule(); fresh != nil && s.canCommit(fresh) {
			return fresh
		}
	}
	return nil
}

func (s membershipState) canCommit(fresh voterSet) bool {
	var live []string
	for _, name := range append(slices.Clone(s.voters), s.standbys...) {
		if !s.silent[name] {
			live = append(live, name)
		}
	}
	return HasQuorum(s.voters, live) && HasQuorum(fresh, live)
}

// leaver is the first voter that is past the bound and holds nothing, or else the first that stops as planned and holds nothing, or -1.
func (s membershipState) removableVoter() int {
	for _, due := range []map[string]bool{s.lost, s.leaving} {
		position := slices.IndexFunc(s.voters, func(name string) bool { return due[name] && !slices.Contains(s.replicas, name) })
		if position >= 0 {
			return position
		}
	}
	return -1
}

// replace puts a successor in the place of a voter that is gone.
func (s membershipState) replaceVoter() voterSet {
	position := s.removableVoter()
	if position < 0 || len(s.standbys) == 0 {
		return nil
	}
	fresh := slices.Clone(s.voters)
	fresh[position] = s.preferredStandby(slices.Delete(slices.Clone(s.voters), position, position+1))
	return fresh
}

// preferred is the process that waits and is best beside some voters: the first one in a domain where none of them is, or else the first.
func (s membershipState) preferredStandby(voters voterSet) string {
	taken := map[string]bool{"": true}
	for _, name := range voters {
		taken[s.zones[name]] = true
	}
	for _, name := range s.standbys {
		if !taken[s.zones[name]] {
			return name
		}
	}
	return s.standbys[0]
}

// apart replaces a voter that shares its domain with another by one that waits in a domain where none is, while all is calm. Each such change has
// the voters in one domain more, so that there is an end to them.
func (s membershipState) spreadZones() voterSet {
	if len(s.standbys) == 0 || len(s.silent) > 0 || len(s.leaving) > 0 {
		return nil
	}
	count := map[string]int{}
	for _, name := range s.voters {
		count[s.zones[name]]++
	}
	fresh := s.preferredStandby(s.voters)
	if domain := s.zones[fresh]; domain == "" || count[domain] > 0 {
		return nil
	}
	for position, name := range s.voters {
		if domain := s.zones[name]; domain != "" && count[domain] > 1 && !slices.Contains(s.replicas, name) {
			changed := slices.Clone(s.voters)
			changed[position] = fresh
			return changed
		}
	}
	return nil
}

// grow takes one more in, while every voter answers: a silent one may have to be replaced instead.
func (s membershipState) addVoter() voterSet {
	if len(s.standbys) == 0 || len(s.voters) >= s.wanted || len(s.silent) > 0 {
		return nil
	}
	return append(slices.Clone(s.voters), s.preferredStandby(s.voters))
}

// shrink leaves a voter that is gone or leaves out where there are more than wanted.
func (s membershipState) removeVoter() voterSet {
	position := s.removableVoter()
	if position < 0 || len(s.voters) <= s.wanted {
		return nil
	}
	return slices.Delete(slices.Clone(s.voters), position, position+1)
}

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
func (m *Member) membershipState() (epoch uint64, current configuration, leased bool, found membershipState) {
	now := m.config.Host.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.leadership
	if state.epoch == 0 || !state.serving || now >= state.leaseUntil {
		return 0, configuration{}, false, membershipState{}
	}
	current = m.configurationOf(state.register)
	found = membershipState{voters: current.voters, wanted: m.config.VoterCount, replicas: append(memberNames(state.backups), m.config.Name),
		silent: map[string]bool{}, lost: map[string]bool{}, leaving: m.leavingMembers(now)}
	for _, name := range current.voters {
		silent := now - max(m.lastResponse[name], state.since)
		if name == m.config.Name {
			continue
		}
		if silent > 2*m.config.LeaseDuration {
			found.silent[name] = true
		}
		if silent > m.config.VoterTimeout {
			found.lost[name] = true
		}
	}
	found.standbys = slices.DeleteFunc(m.liveStandbys(now), func(name string) bool { return current.contains(name) || found.leaving[name] })
	if m.config.Zone != nil {
		found.zones = map[string]string{}
		for _, name := range slices.Concat(current.members(), found.standbys) {
			found.zones[name] = m.config.Zone(name)
		}
	}
	return state.epoch, current, state.leaseConfiguration.equal(current), found
}

// tend changes the roster by one step, if a step is due: into a joint change, or out of one once the lease stands by both
// quorums. Only one runs at a time.
func (m *Member) changeMembership() {
	epoch, current, leased, found := m.membershipState()
	if epoch == 0 {
		return
	}
	var fresh configuration
	switch {
	case len(current.joint) > 0 && !leased:
		return
	case len(current.joint) > 0:
		fresh = configuration{voters: current.joint}
	default:
		if voters := found.nextVoters(); voters != nil {
			fresh = configuration{voters: current.voters, joint: voters}
		} else {
			return
		}
	}
	m.mu.Lock()
	busy := m.changingMembership
	m.changingMembership = true
	if !busy {
		// From now on no such process may begin anew as one that never voted: the ballot may count on it.
		for _, name := range fresh.joint {
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
			if value == nil || value.Epoch != epoch || !sameMember(value.Primary, m.self()) || !m.configurationOf(value).equal(current) {
				return nil, errRegisterChanged
			}
			altered := proto.Clone(value).(*wire.RegisterValue)
			altered.Voters, altered.JointVoters = fresh.voters, fresh.joint
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
	if current.contains(request.Name) || m.configurationOf(m.leadership.register).contains(request.Name) || !request.HasRegister && m.proposedVoters[request.Name] {
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
	if joined || !response.Accepted || response.Value == nil || m.configurationOf(response.Value).contains(m.config.Name) {
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
