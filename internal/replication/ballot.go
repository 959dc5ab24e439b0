package replication

import (
	"errors"
	"hash/crc32"
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// errNoMajority: the register could not be read or changed now; whether a change took place may be unknown.
var errNoMajority = errors.New("replication: no majority")

// errUnchanged: the change function turned the present value down.
var errUnchanged = errors.New("replication: the register holds another value")

func gather[Reply any](member *Member, names []string, patience monotonic.Micros, ask func(name string) (Reply, error), enough func(map[string]Reply, int) bool) map[string]Reply {
	if enough == nil {
		enough = func(map[string]Reply, int) bool { return false }
	}
	return host.Gather(member.env.Place, names, patience, ask, enough)
}

func (member *Member) call(name string, kind wire.Kind, ask, tell proto.Message) error {
	return member.env.Book.Call(name, kind, ask, tell, member.env.Patience)
}

// write is a call whose answer waits for a sync. A slow disk is given a tenure: where it's among the last that make a
// majority, the group goes on with it or not at all.
func (member *Member) write(name string, kind wire.Kind, ask, tell proto.Message) error {
	return member.env.Book.Call(name, kind, ask, tell, member.env.Tenure)
}

// change runs one ballot and gives the value with its ballot; with errUnchanged it gives what was read instead: it reads the register from a majority and writes what alter makes of it to the same voters.
// alter must not keep or change its argument. The own seat is always part of the majority.
func (member *Member) change(alter func(value *wire.RegisterValue) (*wire.RegisterValue, error)) (result *wire.RegisterValue, ballot uint64, err error) {
	member.proposer.Do(func() { result, ballot, err = member.runBallot(alter) })
	return result, ballot, err
}

func (member *Member) runBallot(alter func(value *wire.RegisterValue) (*wire.RegisterValue, error)) (*wire.RegisterValue, uint64, error) {
	started := member.env.Place.Now()
	round := &round{member: member, ballot: member.nextBallot(), self: member.self(), promises: map[string]*wire.PrepareResponse{}}
	// Who must promise is known from the value that they promise about, and from what it's altered to: the asks go on until
	// both configurations' voters were asked.
	ask, known := member.configuration()
	var value, altered *wire.RegisterValue
	var highest uint64
	for {
		round.prepare(ask, known)
		value, highest = round.highest()
		read := member.configurationOf(value)
		if round.lacks(read) {
			ask, known = read, highest
			continue
		}
		if !read.decides(round.promised()) || !round.promises[member.env.Name].GetGranted() {
			return nil, 0, errNoMajority
		}
		var err error
		if altered, err = alter(value); err != nil {
			// What was read may be accepted by a minority only, so it's no more than a hint.
			return value, highest, err
		}
		written := member.configurationOf(altered)
		if !round.lacks(written) {
			break
		}
		ask, known = written, round.ballot
	}
	if member.env.Place.Now()-started >= member.env.Tenure {
		return nil, 0, errNoMajority
	}
	read, written := member.configurationOf(value), member.configurationOf(altered)
	decided := func(names []string) bool { return read.decides(names) && written.decides(names) }
	if !decided(round.promised()) {
		return nil, 0, errNoMajority
	}
	// All voters are asked, so that one whose promise came too late to count doesn't stay behind; who hasn't promised refuses.
	accepts := gather(member, round.asked, member.env.Tenure, func(name string) (*wire.AcceptResponse, error) {
		ask := &wire.AcceptRequest{To: name, Proposal: round.ballot, Value: altered, Proposer: round.self}
		if name == member.env.Name {
			return member.answerAccept(ask)
		}
		tell := &wire.AcceptResponse{}
		err := member.write(name, wire.Kind_accept, ask, tell)
		if err == nil {
			member.hear(name)
		}
		return tell, err
	}, func(replies map[string]*wire.AcceptResponse, _ int) bool {
		return decided(granters(replies, (*wire.AcceptResponse).GetGranted)) && replies[member.env.Name] != nil
	})
	for _, reply := range accepts {
		member.sawBallot(reply.Promised)
	}
	if !accepts[member.env.Name].GetGranted() || !decided(granters(accepts, (*wire.AcceptResponse).GetGranted)) {
		return nil, 0, errNoMajority
	}
	return altered, round.ballot, nil
}

// round is the first half of a ballot: who was asked for a promise, and who gave it.
type round struct {
	member   *Member
	ballot   uint64
	self     *wire.MemberID
	asked    []string
	promises map[string]*wire.PrepareResponse
}

// lacks tells whether some voter of a configuration hasn't been asked yet.
func (round *round) lacks(wanted configuration) bool {
	return slices.ContainsFunc(wanted.all(), func(name string) bool { return !slices.Contains(round.asked, name) })
}

func (round *round) promised() []string {
	return granters(round.promises, (*wire.PrepareResponse).GetGranted)
}

// highest is the newest value among the promises.
func (round *round) highest() (value *wire.RegisterValue, highest uint64) {
	for _, name := range round.asked {
		if reply := round.promises[name]; reply.GetGranted() && reply.Accepted > highest {
			highest, value = reply.Accepted, reply.Value
		}
	}
	return value, highest
}

// prepare asks those of a configuration, and the own seat, who haven't been asked yet.
func (round *round) prepare(wanted configuration, known uint64) {
	member := round.member
	var fresh []string
	for _, name := range append(wanted.all(), member.env.Name) {
		if !slices.Contains(round.asked, name) && !slices.Contains(fresh, name) {
			fresh = append(fresh, name)
		}
	}
	round.asked = append(round.asked, fresh...)
	before := round.promised()
	replies := gather(member, fresh, member.env.Tenure, func(name string) (*wire.PrepareResponse, error) {
		ask := &wire.PrepareRequest{To: name, Proposal: round.ballot, Proposer: round.self, Voters: wanted.voters, JointVoters: wanted.joint, KnownProposal: known, ProcessId: member.life}
		if name == member.env.Name {
			return member.answerPromise(ask)
		}
		tell := &wire.PrepareResponse{}
		err := member.write(name, wire.Kind_prepare, ask, tell)
		if err == nil {
			member.hear(name)
		}
		return tell, err
	}, func(replies map[string]*wire.PrepareResponse, _ int) bool {
		if own := replies[member.env.Name]; own != nil && !own.Granted {
			return true // nothing comes of it
		}
		own := round.promises[member.env.Name] != nil || replies[member.env.Name] != nil
		return own && wanted.decides(append(granters(replies, (*wire.PrepareResponse).GetGranted), before...))
	})
	for name, reply := range replies {
		round.promises[name] = reply
		member.sawBallot(reply.Promised)
		if !reply.Granted {
			member.learn(reply.Accepted, reply.Value)
		}
	}
}

// nextBallot is higher than any seen. Its low byte is this voter's place in the settings, or one made of its name: two that
// come to share a ballot do no harm, since a voter promises it to one of them and accepts it from no other.
func (member *Member) nextBallot() uint64 {
	member.lock.Lock()
	defer member.lock.Unlock()
	member.highestBallot = (member.highestBallot>>8+1)<<8 | member.mark()
	return member.highestBallot
}

// mark is this voter's low byte of its ballots.
func (member *Member) mark() uint64 {
	if rank := member.rank(); rank > 0 {
		return uint64(rank)
	}
	return uint64(64 + crc32.ChecksumIEEE([]byte(member.env.Name))%192)
}

func (member *Member) sawBallot(ballot uint64) {
	member.lock.Lock()
	defer member.lock.Unlock()
	member.highestBallot = max(member.highestBallot, ballot)
}

func addressed(member *Member, to string) error {
	if to != member.env.Name {
		return apierror.Refused.New("addressed to %s, this is %s", to, member.env.Name)
	}
	return nil
}
