package replication

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// situation is what a primary knows when it looks whether the roster should be another.
type situation struct {
	voters  roster
	size    int               // wanted number of voters
	held    []string          // the primary and its backups, which stay
	silence map[string]bool   // voters that haven't answered lately
	gone    map[string]bool   // voters that have been silent past the bound; also among the silent
	leaving map[string]bool   // voters that stop as planned
	waiting []string          // processes in contact that aren't voters and keep a register
	domain  map[string]string // failure domains, such as zones, as far as they are known
}

// next gives the roster to change to, one voter added, replaced or left out, or nothing.
//
// Invariants: the roster never has two changes at a time; whoever holds a copy stays; the voters that are left and answer are
// a quorum of the roster before and of the one after, so that the change can be carried through.
func (situation situation) next() roster {
	for _, rule := range []func() roster{situation.replace, situation.grow, situation.shrink, situation.apart} {
		if fresh := rule(); fresh != nil && situation.carries(fresh) {
			return fresh
		}
	}
	return nil
}

func (situation situation) carries(fresh roster) bool {
	var live []string
	for _, name := range append(slices.Clone(situation.voters), situation.waiting...) {
		if !situation.silence[name] {
			live = append(live, name)
		}
	}
	return Decides(situation.voters, live) && Decides(fresh, live)
}

// leaver is the first voter that is past the bound and holds nothing, or else the first that stops as planned and holds nothing, or -1.
func (situation situation) leaver() int {
	for _, due := range []map[string]bool{situation.gone, situation.leaving} {
		position := slices.IndexFunc(situation.voters, func(name string) bool { return due[name] && !slices.Contains(situation.held, name) })
		if position >= 0 {
			return position
		}
	}
	return -1
}

// replace puts a successor in the place of a voter that is gone.
func (situation situation) replace() roster {
	position := situation.leaver()
	if position < 0 || len(situation.waiting) == 0 {
		return nil
	}
	fresh := slices.Clone(situation.voters)
	fresh[position] = situation.preferred(slices.Delete(slices.Clone(situation.voters), position, position+1))
	return fresh
}

// preferred is the process that waits and is best beside some voters: the first one in a domain where none of them is, or else the first.
func (situation situation) preferred(voters roster) string {
	taken := map[string]bool{"": true}
	for _, name := range voters {
		taken[situation.domain[name]] = true
	}
	for _, name := range situation.waiting {
		if !taken[situation.domain[name]] {
			return name
		}
	}
	return situation.waiting[0]
}

// apart replaces a voter that shares its domain with another by one that waits in a domain where none is, while all is calm. Each such change has
// the voters in one domain more, so that there is an end to them.
func (situation situation) apart() roster {
	if len(situation.waiting) == 0 || len(situation.silence) > 0 || len(situation.leaving) > 0 {
		return nil
	}
	count := map[string]int{}
	for _, name := range situation.voters {
		count[situation.domain[name]]++
	}
	fresh := situation.preferred(situation.voters)
	if domain := situation.domain[fresh]; domain == "" || count[domain] > 0 {
		return nil
	}
	for position, name := range situation.voters {
		if domain := situation.domain[name]; domain != "" && count[domain] > 1 && !slices.Contains(situation.held, name) {
			changed := slices.Clone(situation.voters)
			changed[position] = fresh
			return changed
		}
	}
	return nil
}

// grow takes one more in, while every voter answers: a silent one may have to be replaced instead.
func (situation situation) grow() roster {
	if len(situation.waiting) == 0 || len(situation.voters) >= situation.size || len(situation.silence) > 0 {
		return nil
	}
	return append(slices.Clone(situation.voters), situation.preferred(situation.voters))
}

// shrink leaves a voter that is gone or leaves out where there are more than wanted.
func (situation situation) shrink() roster {
	position := situation.leaver()
	if position < 0 || len(situation.voters) <= situation.size {
		return nil
	}
	return slices.Delete(slices.Clone(situation.voters), position, position+1)
}

// applicant is a process that asked to be taken into the roster.
type applicant struct {
	at     monotonic.Micros
	joined bool
}

// applicantPatience is how long after its last word an applicant counts as being in contact.
const applicantPatience = 3 * monotonic.Second

// hear notes that a voter answered.
func (member *Member) hear(name string) {
	member.lock.Lock()
	defer member.lock.Unlock()
	member.heard[name] = member.env.Place.Now()
}

// heardAt is when a voter last answered, long ago if never.
func (member *Member) heardAt(name string) monotonic.Micros {
	member.lock.Lock()
	defer member.lock.Unlock()
	if at, known := member.heard[name]; known {
		return at
	}
	return -monotonic.Minute
}

// applicantsNow lists the processes in contact that keep a register and want to vote. The caller holds the lock.
func (member *Member) applicantsNow(now monotonic.Micros) (waiting []string) {
	for name, one := range member.applicants {
		if now-one.at > applicantPatience {
			delete(member.applicants, name)
		} else if one.joined {
			waiting = append(waiting, name)
		}
	}
	slices.Sort(waiting)
	return waiting
}

// waitingNow lists them for a primary that hands over.
func (member *Member) waitingNow() []string {
	member.lock.Lock()
	defer member.lock.Unlock()
	return member.applicantsNow(member.env.Place.Now())
}

// observe makes out the situation of an answering primary.
func (member *Member) observe() (epoch uint64, present configuration, leased bool, found situation) {
	now := member.env.Place.Now()
	member.lock.Lock()
	defer member.lock.Unlock()
	state := member.lead
	if state.epoch == 0 || !state.answering || now >= state.until {
		return 0, configuration{}, false, situation{}
	}
	present = member.configurationOf(state.chosen)
	found = situation{voters: present.voters, size: member.env.Size, held: append(names(state.backups), member.env.Name),
		silence: map[string]bool{}, gone: map[string]bool{}, leaving: member.leavingNow(now)}
	for _, name := range present.voters {
		silent := now - max(member.heard[name], state.since)
		if name == member.env.Name {
			continue
		}
		if silent > 2*member.env.Tenure {
			found.silence[name] = true
		}
		if silent > member.env.Gone {
			found.gone[name] = true
		}
	}
	found.waiting = slices.DeleteFunc(member.applicantsNow(now), func(name string) bool { return present.has(name) || found.leaving[name] })
	if member.env.Zone != nil {
		found.domain = map[string]string{}
		for _, name := range slices.Concat(present.all(), found.waiting) {
			found.domain[name] = member.env.Zone(name)
		}
	}
	return state.epoch, present, state.leased.same(present), found
}

// tend changes the roster by one step, if a step is due: into a joint change, or out of one once the lease stands by both
// quorums. Only one runs at a time.
func (member *Member) tend() {
	epoch, present, leased, found := member.observe()
	if epoch == 0 {
		return
	}
	var fresh configuration
	switch {
	case len(present.joint) > 0 && !leased:
		return
	case len(present.joint) > 0:
		fresh = configuration{voters: present.joint}
	default:
		if roster := found.next(); roster != nil {
			fresh = configuration{voters: present.voters, joint: roster}
		} else {
			return
		}
	}
	member.lock.Lock()
	busy := member.tending
	member.tending = true
	if !busy {
		// From now on no such process may begin anew as one that never voted: the ballot may count on it.
		for _, name := range fresh.joint {
			member.proposed[name] = true
		}
	}
	member.lock.Unlock()
	if busy {
		return
	}
	member.env.Place.Go(func() {
		defer func() {
			member.lock.Lock()
			member.tending = false
			member.lock.Unlock()
		}()
		value, ballot, err := member.change(func(value *wire.RegisterValue) (*wire.RegisterValue, error) {
			if value == nil || value.Epoch != epoch || !sameHolder(value.Primary, member.self()) || !member.configurationOf(value).same(present) {
				return nil, errUnchanged
			}
			altered := proto.Clone(value).(*wire.RegisterValue)
			altered.Voters, altered.JointVoters = fresh.voters, fresh.joint
			return altered, nil
		})
		if err != nil {
			return // the next observation finds out what came of it, if only by a lease refused
		}
		member.won(epoch, ballot, value)
		if len(value.JointVoters) == 0 {
			member.lock.Lock()
			member.proposed = map[string]bool{} // what was proposed before is behind this value
			member.lock.Unlock()
		}
		member.env.Place.Report(eventlog.RosterChanged, map[string]any{"group": member.env.Group, "voters": value.Voters, "joint": value.JointVoters})
		member.renew()
		member.nudge.Fire() // the next step may be due
	})
}

// won notes a value that this primary's own ballot had chosen.
func (member *Member) won(epoch, ballot uint64, value *wire.RegisterValue) {
	member.learn(ballot, value)
	member.lock.Lock()
	defer member.lock.Unlock()
	if member.lead.epoch == epoch && member.lead.ballot < ballot {
		member.lead.ballot, member.lead.chosen, member.lead.outbid = ballot, value, false
	}
}

// answerEnroll hears a process that wants to be a voter, and gives it the register to begin with.
func (member *Member) answerEnroll(ask *wire.JoinRequest) (*wire.JoinResponse, error) {
	if ask.Leaving {
		return member.answerLeave(ask.Name), nil
	}
	answering := member.Answering()
	present, _ := member.configuration()
	member.lock.Lock()
	defer member.lock.Unlock()
	if !answering {
		return &wire.JoinResponse{Proposal: member.valueBallot, Value: member.value}, nil
	}
	if present.has(ask.Name) || member.configurationOf(member.lead.chosen).has(ask.Name) || !ask.HasRegister && member.proposed[ask.Name] {
		return &wire.JoinResponse{Proposal: member.valueBallot, Value: member.value}, nil
	}
	member.applicants[ask.Name] = applicant{at: member.env.Place.Now(), joined: ask.HasRegister}
	return &wire.JoinResponse{Accepted: true, Proposal: member.lead.ballot, Value: member.lead.chosen}, nil
}

// enroll asks the primary to take this process into the roster. A process without a register begins with the primary's:
// no roster that may decide names it, so nothing that it may have forgotten counts.
func (member *Member) enroll(joined bool) {
	leader := member.env.Book.Leader(member.env.Group)
	member.lock.Lock()
	if leader == "" && member.value != nil {
		leader = member.value.Primary.Name
	}
	member.lock.Unlock()
	if leader == "" || leader == member.env.Name {
		return
	}
	tell := &wire.JoinResponse{}
	if member.call(leader, wire.Kind_join, &wire.JoinRequest{To: leader, Name: member.env.Name, HasRegister: joined}, tell) != nil {
		return
	}
	member.learn(tell.Proposal, tell.Value)
	if joined || !tell.Accepted || tell.Value == nil || member.configurationOf(tell.Value).has(member.env.Name) {
		return
	}
	member.seat.Do(func() {
		member.voter.votesFrom = member.env.Place.Now() + member.env.Tenure
		err := member.changeRecord(func(record *wire.RegisterRecord) {
			record.Joined, record.Promised, record.Accepted, record.Value = true, tell.Proposal, tell.Proposal, tell.Value
		})
		if err == nil {
			member.env.Place.Report(eventlog.Enrolled, map[string]any{"group": member.env.Group, "primary": leader, "voters": tell.Value.Voters})
		}
	})
}
