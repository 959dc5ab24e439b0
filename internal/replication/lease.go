package replication

import (
	"errors"

	"snowflow/internal/transport/wire"
)

// renew asks every voter for the primary's tenure, counted from before the ask.
func (member *Member) renew() {
	place := member.env.Place
	member.lock.Lock()
	epoch, ballot := member.lead.epoch, member.lead.ballot
	member.lock.Unlock()
	asked := place.Now()
	present, replies := member.askTenure(epoch, ballot, false)
	granted := present.decides(granters(replies, (*wire.LeaseResponse).GetGranted))
	overtaken := false
	for _, reply := range replies {
		member.sawBallot(reply.Promised)
		if reply.Value != nil && reply.Value.Epoch > epoch {
			overtaken = true
		}
		if !reply.Granted {
			member.learn(reply.Accepted, reply.Value)
		}
		if !reply.Granted && reply.Promised > ballot {
			member.lock.Lock()
			member.lead.outbid = true
			member.lock.Unlock()
		}
	}
	member.lock.Lock()
	if granted && member.lead.epoch == epoch {
		member.lead.until, member.lead.leased = asked+member.env.Tenure, present
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
			member.won(epoch, fresh, value)
		} else if errors.Is(err, errUnchanged) {
			member.learn(fresh, value)
			member.stepDown(epoch, "another epoch began")
		}
	}
}

// askTenure asks everybody who votes, and tells by which configuration it asked.
func (member *Member) askTenure(epoch, ballot uint64, release bool) (configuration, map[string]*wire.LeaseResponse) {
	self, patience := member.self(), member.env.Tenure
	if release {
		patience = member.env.Patience
	}
	present, known := member.configuration()
	return present, gather(member, present.all(), patience, func(name string) (*wire.LeaseResponse, error) {
		ask := &wire.LeaseRequest{To: name, Epoch: epoch, Proposal: ballot, Leader: self, Release: release,
			Voters: present.voters, JointVoters: present.joint, KnownProposal: known, ProcessId: member.life}
		if name == member.env.Name {
			return member.answerTenure(ask)
		}
		tell := &wire.LeaseResponse{}
		err := member.env.Book.Call(name, wire.Kind_lease, ask, tell, patience)
		if err == nil {
			member.hear(name)
		}
		return tell, err
	}, func(replies map[string]*wire.LeaseResponse, _ int) bool {
		return present.decides(granters(replies, (*wire.LeaseResponse).GetGranted))
	})
}
