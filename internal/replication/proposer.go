package replication

import (
	"hash/crc32"
	"slices"

	"snowflow/internal/replication/consensus"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// alterFunc returns the register value to propose in place of the current one, which is nil if none was accepted. It must
// neither modify nor retain its argument. It may be called more than once per proposal.
type alterFunc func(value *wire.RegisterValue) (*wire.RegisterValue, error)

// changeRegister runs one proposal: it reads the register from a quorum, and proposes the value that alter returns to the same
// voters. It returns the chosen value and its proposal number. If alter fails, it returns alter's error and the value that was read,
// which is only a hint. If it returns errNoQuorum, the value may have been chosen or may still be.
func (m *Member) changeRegister(alter alterFunc) (value *wire.RegisterValue, proposal uint64, err error) {
	m.proposalExecutor.Run(func() { value, proposal, err = m.runProposal(m.withVoterAddresses(alter)) })
	return value, proposal, err
}

func (m *Member) runProposal(alter alterFunc) (*wire.RegisterValue, uint64, error) {
	started := m.host.Now()
	r := &proposalRound{member: m, number: m.nextProposalNumber(), self: m.self(), promises: map[string]*wire.PrepareResponse{}}
	prepared, err := r.prepare(alter)
	if err != nil {
		return prepared.read, prepared.readProposal, err
	}
	// Promises are valid for a lease's duration only.
	if m.host.Now()-started >= m.config.LeaseDuration {
		return nil, 0, errNoQuorum
	}
	if err := r.accept(prepared); err != nil {
		return nil, 0, err
	}
	return prepared.written, r.number, nil
}

// proposalRound is one proposal: the processes contacted and their promises.
type proposalRound struct {
	member    *Member
	number    uint64
	self      *wire.MemberID
	contacted []string
	promises  map[string]*wire.PrepareResponse
}

// preparedChange is the result of the prepare phase: the newest value read with the proposal under which it was accepted, and
// the value to be written.
type preparedChange struct {
	read, written *wire.RegisterValue
	readProposal  uint64
}

// prepare requests promises until the voters of the value read and those of the value to be written have been contacted. It takes
// several rounds if a response reports a value with other voters, since that value determines who must promise.
func (r *proposalRound) prepare(alter alterFunc) (preparedChange, error) {
	m := r.member
	config, known := m.knownConfig()
	for {
		r.requestPromises(config, known)
		value, accepted := r.highestAccepted()
		read := m.configOf(value)
		if r.hasUncontacted(read) {
			config, known = read, accepted
			continue
		}
		if !read.HasQuorum(grantedBy(r.promises)) || !r.promises[m.config.Name].GetGranted() {
			return preparedChange{}, errNoQuorum
		}
		altered, err := alter(value)
		if err != nil {
			return preparedChange{read: value, readProposal: accepted}, err
		}
		written := m.configOf(altered)
		if !r.hasUncontacted(written) {
			return preparedChange{read: value, readProposal: accepted, written: altered}, nil
		}
		config, known = written, r.number
	}
}

// hasUncontacted reports whether a voter of a configuration hasn't been contacted yet.
func (r *proposalRound) hasUncontacted(config quorum.Config) bool {
	return slices.ContainsFunc(config.AllVoters(), func(name string) bool { return !slices.Contains(r.contacted, name) })
}

// highestAccepted returns the newest value reported with a promise, and the proposal under which it was accepted.
func (r *proposalRound) highestAccepted() (value *wire.RegisterValue, accepted uint64) {
	for _, name := range r.contacted {
		if response := r.promises[name]; response.GetGranted() && response.Accepted > accepted {
			accepted, value = response.Accepted, response.Value
		}
	}
	return value, accepted
}

// requestPromises sends prepare requests to this member's own voter and the voters of a configuration, except for those already
// contacted. It returns once a quorum, including this member's own voter, has promised, or once that voter has refused.
func (r *proposalRound) requestPromises(config quorum.Config, known uint64) {
	m := r.member
	var targets []string
	for _, name := range append(config.AllVoters(), m.config.Name) {
		if !slices.Contains(r.contacted, name) && !slices.Contains(targets, name) {
			targets = append(targets, name)
		}
	}
	r.contacted = append(r.contacted, targets...)
	earlier := grantedBy(r.promises)
	responses := gather(m, targets, m.config.LeaseDuration, func(name string) (*wire.PrepareResponse, error) {
		return r.sendPrepare(name, config, known)
	}, func(responses map[string]*wire.PrepareResponse) bool {
		own := responses[m.config.Name]
		if own != nil && !own.Granted {
			return true // the proposal can't succeed
		}
		hasOwn := own != nil || r.promises[m.config.Name] != nil
		return hasOwn && config.HasQuorum(append(grantedBy(responses), earlier...))
	})
	for name, response := range responses {
		r.promises[name] = response
		m.observeProposal(response.Promised)
		m.learnAddresses(response.Value) // its voters may have to be contacted too
		if !response.Granted {
			m.observeRegister(response.Accepted, response.Value)
		}
	}
}

func (r *proposalRound) sendPrepare(name string, config quorum.Config, known uint64) (*wire.PrepareResponse, error) {
	m := r.member
	request := &wire.PrepareRequest{
		To: name, Proposal: r.number, Proposer: r.self, ProcessId: m.processID,
		Voters: config.Voters, JointVoters: config.Joint, KnownProposal: known,
	}
	if name == m.config.Name {
		return m.handlePrepare(request)
	}
	response := &wire.PrepareResponse{}
	return response, m.callVoter(name, wire.Kind_prepare, request, response)
}

// accept succeeds once the value is accepted by quorums of the configuration read and of the one written, and by this member's own
// voter. It sends the request to every process contacted: a voter whose promise came too late to count gets up to date too, and
// one that hasn't promised rejects the request.
func (r *proposalRound) accept(change preparedChange) error {
	m := r.member
	read, written := m.configOf(change.read), m.configOf(change.written)
	hasQuorum := func(names []string) bool { return read.HasQuorum(names) && written.HasQuorum(names) }
	if !hasQuorum(grantedBy(r.promises)) {
		return errNoQuorum
	}
	responses := gather(m, r.contacted, m.config.LeaseDuration, func(name string) (*wire.AcceptResponse, error) {
		return r.sendAccept(name, change.written)
	}, func(responses map[string]*wire.AcceptResponse) bool {
		return hasQuorum(grantedBy(responses)) && responses[m.config.Name] != nil
	})
	for _, response := range responses {
		m.observeProposal(response.Promised)
	}
	if !responses[m.config.Name].GetGranted() || !hasQuorum(grantedBy(responses)) {
		return errNoQuorum
	}
	return nil
}

func (r *proposalRound) sendAccept(name string, value *wire.RegisterValue) (*wire.AcceptResponse, error) {
	request := &wire.AcceptRequest{To: name, Proposal: r.number, Value: value, Proposer: r.self}
	if name == r.member.config.Name {
		return r.member.handleAccept(request)
	}
	response := &wire.AcceptResponse{}
	return response, r.member.callVoter(name, wire.Kind_accept, request, response)
}

const (
	// proposerBits is the number of low bits of a proposal number that identify the proposer.
	proposerBits = 8
	// firstDerivedID is the lowest proposer ID derived from a name. Lower IDs are the ranks of the initial voters.
	firstDerivedID = 64
	derivedIDCount = 1<<proposerBits - firstDerivedID
)

// nextProposalNumber returns a proposal number higher than any seen, with this proposer's ID as its low byte. It is harmless if two
// proposers use the same number: a voter promises it to only one of them and accepts it from no other.
func (m *Member) nextProposalNumber() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.register.nextProposal(m.proposerID())
}

// proposerID returns this member's rank among the initial voters or, if it isn't one of them, an ID derived from its name.
func (m *Member) proposerID() uint64 {
	if rank := m.initialRank(); rank > 0 {
		return uint64(rank)
	}
	return uint64(firstDerivedID + crc32.ChecksumIEEE([]byte(m.config.Name))%derivedIDCount)
}

// observeProposal records a proposal number that this member has seen.
func (m *Member) observeProposal(proposal uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.register.observeProposal(proposal)
}

// leadsEpoch reports whether a register value names this member as the primary of an epoch.
func (m *Member) leadsEpoch(value *wire.RegisterValue, epoch uint64) bool {
	return value != nil && value.Epoch == epoch && consensus.SameMember(value.Primary, m.self())
}
