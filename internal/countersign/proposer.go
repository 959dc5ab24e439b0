package countersign

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/office"
	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
	"snowflow/internal/seal"
)

// errNoMajority: the register could not be read or changed now; whether a change took place may be unknown.
var errNoMajority = errors.New("countersign: no majority")

// errUnchanged: the change function turned the present value down.
var errUnchanged = errors.New("countersign: the register holds another value")

func gather[Reply any](member *Member, names []string, patience postmark.Micros, ask func(name string) (Reply, error), enough func(map[string]Reply, int) bool) map[string]Reply {
	if enough == nil {
		enough = func(map[string]Reply, int) bool { return false }
	}
	return office.Gather(member.env.Place, names, patience, ask, enough)
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
	place := member.env.Place
	started := place.Now()
	ballot := member.nextBallot()
	self := member.self()
	promises := gather(member, member.env.Voters, member.env.Tenure, func(name string) (*wire.PromiseTell, error) {
		ask := &wire.PromiseAsk{To: name, Ballot: ballot, Proposer: self, Voters: member.env.Voters}
		if name == member.env.Name {
			return member.answerPromise(ask)
		}
		tell := &wire.PromiseTell{}
		return tell, member.write(name, wire.Kind_register_promise, ask, tell)
	}, func(replies map[string]*wire.PromiseTell, _ int) bool {
		return member.decides(granters(replies, (*wire.PromiseTell).GetGranted)) && replies[member.env.Name] != nil
	})
	var promised []string
	var value *wire.RegisterValue
	var highest uint64
	for _, name := range member.env.Voters {
		reply := promises[name]
		if reply == nil {
			continue
		}
		member.sawBallot(reply.Promised)
		if !reply.Granted {
			continue
		}
		promised = append(promised, name)
		if reply.Accepted > highest {
			highest, value = reply.Accepted, reply.Value
		}
	}
	if !member.decides(promised) || promises[member.env.Name] == nil || !promises[member.env.Name].Granted {
		return nil, 0, errNoMajority
	}
	altered, err := alter(value)
	if err != nil {
		// What was read may be accepted by a minority only, so it's no more than a hint.
		return value, highest, err
	}
	if place.Now()-started >= member.env.Tenure {
		return nil, 0, errNoMajority
	}
	// All voters are asked, so that one whose promise came too late to count doesn't stay behind; who hasn't promised refuses.
	accepts := gather(member, member.env.Voters, member.env.Tenure, func(name string) (*wire.AcceptTell, error) {
		ask := &wire.AcceptAsk{To: name, Ballot: ballot, Value: altered, Proposer: self}
		if name == member.env.Name {
			return member.answerAccept(ask)
		}
		tell := &wire.AcceptTell{}
		return tell, member.write(name, wire.Kind_register_accept, ask, tell)
	}, func(replies map[string]*wire.AcceptTell, _ int) bool {
		return member.decides(granters(replies, (*wire.AcceptTell).GetGranted)) && replies[member.env.Name] != nil
	})
	for _, reply := range accepts {
		member.sawBallot(reply.Promised)
	}
	if own := accepts[member.env.Name]; own == nil || !own.Granted || !member.decides(granters(accepts, (*wire.AcceptTell).GetGranted)) {
		return nil, 0, errNoMajority
	}
	return altered, ballot, nil
}

// nextBallot is higher than any seen; its low byte is this voter's place, so no two voters share one.
func (member *Member) nextBallot() uint64 {
	member.lock.Lock()
	defer member.lock.Unlock()
	member.highestBallot = (member.highestBallot>>8+1)<<8 | uint64(member.rank())
	return member.highestBallot
}

func (member *Member) sawBallot(ballot uint64) {
	member.lock.Lock()
	defer member.lock.Unlock()
	member.highestBallot = max(member.highestBallot, ballot)
}

// renew asks every voter for the primary's tenure, counted from before the ask.
func (member *Member) renew() {
	place := member.env.Place
	member.lock.Lock()
	epoch, ballot := member.lead.epoch, member.lead.ballot
	member.lock.Unlock()
	asked := place.Now()
	replies := member.askTenure(epoch, ballot, false)
	granted := member.decides(granters(replies, (*wire.TenureTell).GetGranted))
	overtaken := false
	for _, reply := range replies {
		member.sawBallot(reply.Promised)
		if reply.Value != nil && reply.Value.Epoch > epoch {
			overtaken = true
		}
		if !reply.Granted && reply.Promised > ballot {
			member.lock.Lock()
			member.lead.outbid = true
			member.lock.Unlock()
		}
	}
	member.lock.Lock()
	if granted && member.lead.epoch == epoch {
		member.lead.until = asked + member.env.Tenure
	}
	expired := member.lead.epoch == epoch && place.Now() >= member.lead.until
	outbid := member.lead.outbid
	member.lock.Unlock()
	if expired && overtaken {
		member.stepDown(epoch, "another epoch began")
		return
	}
	if !granted && outbid {
		// A rival's ballot that came to nothing stands in the way: write the same value under a higher one.
		value, fresh, err := member.change(func(value *wire.RegisterValue) (*wire.RegisterValue, error) {
			if value == nil || value.Epoch != epoch || !sameHolder(value.Primary, member.self()) {
				return nil, errUnchanged
			}
			return value, nil
		})
		if err == nil {
			member.lock.Lock()
			if member.lead.epoch == epoch {
				member.lead.ballot, member.lead.outbid = fresh, false
			}
			member.lock.Unlock()
		} else if errors.Is(err, errUnchanged) {
			member.learn(fresh, value)
			member.stepDown(epoch, "another epoch began")
		}
	}
}

func (member *Member) askTenure(epoch, ballot uint64, release bool) map[string]*wire.TenureTell {
	self, patience := member.self(), member.env.Tenure
	if release {
		patience = member.env.Patience
	}
	return gather(member, member.env.Voters, patience, func(name string) (*wire.TenureTell, error) {
		ask := &wire.TenureAsk{To: name, Epoch: epoch, Ballot: ballot, Holder: self, Release: release, Voters: member.env.Voters}
		if name == member.env.Name {
			return member.answerTenure(ask)
		}
		tell := &wire.TenureTell{}
		return tell, member.env.Book.Call(name, wire.Kind_tenure_ask, ask, tell, patience)
	}, func(replies map[string]*wire.TenureTell, _ int) bool {
		return member.decides(granters(replies, (*wire.TenureTell).GetGranted))
	})
}

func addressed(member *Member, to string) error {
	if to != member.env.Name {
		return seal.Refused.New("addressed to %s, this is %s", to, member.env.Name)
	}
	return nil
}
