package replication

import (
	"errors"
	"hash/crc32"
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// errNoQuorum: the register could not be read or changed now; whether a change took place may be unknown.
var errNoQuorum = errors.New("replication: no majority")

// errRegisterChanged: the change function turned the present value down.
var errRegisterChanged = errors.New("replication: the register holds another value")

func gatherResponses[Reply any](m *Member, names []string, timeout monotonic.Micros, call func(name string) (Reply, error), enough func(map[string]Reply, int) bool) map[string]Reply {
	if enough == nil {
		enough = func(map[string]Reply, int) bool { return false }
	}
	return host.Gather(m.config.Host, names, timeout, call, enough)
}

func (m *Member) call(name string, kind wire.Kind, request, response proto.Message) error {
	return m.config.Resolver.Call(name, kind, request, response, m.config.CallTimeout)
}

// write is a call whose answer waits for a sync. A slow disk is given a tenure: where it's among the last that make a
// majority, the group goes on with it or not at all.
func (m *Member) callDurable(name string, kind wire.Kind, request, response proto.Message) error {
	return m.config.Resolver.Call(name, kind, request, response, m.config.LeaseDuration)
}

// change runs one ballot and gives the value with its ballot; with errRegisterChanged it gives what was read instead: it reads the register from a majority and writes what alter makes of it to the same voters.
// alter must not keep or change its argument. The own seat is always part of the majority.
func (m *Member) changeRegister(alter func(value *wire.RegisterValue) (*wire.RegisterValue, error)) (result *wire.RegisterValue, proposal uint64, err error) {
	m.proposalExecutor.Run(func() { result, proposal, err = m.runProposal(alter) })
	return result, proposal, err
}

func (m *Member) runProposal(alter func(value *wire.RegisterValue) (*wire.RegisterValue, error)) (*wire.RegisterValue, uint64, error) {
	started := m.config.Host.Now()
	phase := &preparePhase{member: m, proposal: m.nextProposalNumber(), self: m.self(), promises: map[string]*wire.PrepareResponse{}}
	// Who must promise is known from the value that they promise about, and from what it's altered to: the asks go on until
	// both configurations' voters were asked.
	request, known := m.configuration()
	var value, altered *wire.RegisterValue
	var highest uint64
	for {
		phase.prepare(request, known)
		value, highest = phase.highestAccepted()
		read := m.configurationOf(value)
		if phase.hasUnasked(read) {
			request, known = read, highest
			continue
		}
		if !read.HasQuorum(phase.promisers()) || !phase.promises[m.config.Name].GetGranted() {
			return nil, 0, errNoQuorum
		}
		var err error
		if altered, err = alter(value); err != nil {
			// What was read may be accepted by a minority only, so it's no more than a hint.
			return value, highest, err
		}
		written := m.configurationOf(altered)
		if !phase.hasUnasked(written) {
			break
		}
		request, known = written, phase.proposal
	}
	if m.config.Host.Now()-started >= m.config.LeaseDuration {
		return nil, 0, errNoQuorum
	}
	read, written := m.configurationOf(value), m.configurationOf(altered)
	decided := func(names []string) bool { return read.HasQuorum(names) && written.HasQuorum(names) }
	if !decided(phase.promisers()) {
		return nil, 0, errNoQuorum
	}
	// All voters are asked, so that one whose promise came too late to count doesn't stay behind; who hasn't promised refuses.
	accepts := gatherResponses(m, phase.contacted, m.config.LeaseDuration, func(name string) (*wire.AcceptResponse, error) {
		request := &wire.AcceptRequest{To: name, Proposal: phase.proposal, Value: altered, Proposer: phase.self}
		if name == m.config.Name {
			return m.handleAccept(request)
		}
		response := &wire.AcceptResponse{}
		err := m.callDurable(name, wire.Kind_accept, request, response)
		if err == nil {
			m.recordResponse(name)
		}
		return response, err
	}, func(replies map[string]*wire.AcceptResponse, _ int) bool {
		return decided(grantedBy(replies, (*wire.AcceptResponse).GetGranted)) && replies[m.config.Name] != nil
	})
	for _, reply := range accepts {
		m.observeProposal(reply.Promised)
	}
	if !accepts[m.config.Name].GetGranted() || !decided(grantedBy(accepts, (*wire.AcceptResponse).GetGranted)) {
		return nil, 0, errNoQuorum
	}
	return altered, phase.proposal, nil
}

// round is the first half of a ballot: who was asked for a promise, and who gave it.
type preparePhase struct {
	member    *Member
	proposal  uint64
	self      *wire.MemberID
	contacted []string
	promises  map[string]*wire.PrepareResponse
}

// lacks tells whether some voter of a configuration hasn't been asked yet.
func (p *preparePhase) hasUnasked(wanted quorum.Config) bool {
	return slices.ContainsFunc(wanted.Members(), func(name string) bool { return !slices.Contains(p.contacted, name) })
}

func (p *preparePhase) promisers() []string {
	return grantedBy(p.promises, (*wire.PrepareResponse).GetGranted)
}

// highest is the newest value among the promises.
func (p *preparePhase) highestAccepted() (value *wire.RegisterValue, highest uint64) {
	for _, name := range p.contacted {
		if reply := p.promises[name]; reply.GetGranted() && reply.Accepted > highest {
			highest, value = reply.Accepted, reply.Value
		}
	}
	return value, highest
}

// prepare asks those of a configuration, and the own seat, who haven't been asked yet.
func (p *preparePhase) prepare(wanted quorum.Config, known uint64) {
	m := p.member
	var fresh []string
	for _, name := range append(wanted.Members(), m.config.Name) {
		if !slices.Contains(p.contacted, name) && !slices.Contains(fresh, name) {
			fresh = append(fresh, name)
		}
	}
	p.contacted = append(p.contacted, fresh...)
	before := p.promisers()
	replies := gatherResponses(m, fresh, m.config.LeaseDuration, func(name string) (*wire.PrepareResponse, error) {
		request := &wire.PrepareRequest{To: name, Proposal: p.proposal, Proposer: p.self, Voters: wanted.Voters, JointVoters: wanted.Joint, KnownProposal: known, ProcessId: m.processID}
		if name == m.config.Name {
			return m.handlePrepare(request)
		}
		response := &wire.PrepareResponse{}
		err := m.callDurable(name, wire.Kind_prepare, request, response)
		if err == nil {
			m.recordResponse(name)
		}
		return response, err
	}, func(replies map[string]*wire.PrepareResponse, _ int) bool {
		if own := replies[m.config.Name]; own != nil && !own.Granted {
			return true // nothing comes of it
		}
		own := p.promises[m.config.Name] != nil || replies[m.config.Name] != nil
		return own && wanted.HasQuorum(append(grantedBy(replies, (*wire.PrepareResponse).GetGranted), before...))
	})
	for name, reply := range replies {
		p.promises[name] = reply
		m.observeProposal(reply.Promised)
		if !reply.Granted {
			m.observeRegister(reply.Accepted, reply.Value)
		}
	}
}

// nextProposalNumber is higher than any seen. Its low byte is this voter's place in the settings, or one made of its name: two that
// come to share a ballot do no harm, since a voter promises it to one of them and accepts it from no other.
func (m *Member) nextProposalNumber() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highestProposal = (m.highestProposal>>8+1)<<8 | m.proposerID()
	return m.highestProposal
}

// mark is this voter's low byte of its ballots.
func (m *Member) proposerID() uint64 {
	if rank := m.initialRank(); rank > 0 {
		return uint64(rank)
	}
	return uint64(64 + crc32.ChecksumIEEE([]byte(m.config.Name))%192)
}

func (m *Member) observeProposal(proposal uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highestProposal = max(m.highestProposal, proposal)
}

func checkAddressee(m *Member, to string) error {
	if to != m.config.Name {
		return apierror.Refused.New("addressed to %s, this is %s", to, m.config.Name)
	}
	return nil
}
