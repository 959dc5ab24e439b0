package consensus

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"

	"snowflow/internal/replication/quorum"
)

// The membership search is a model checker. It explores the rules of the register with four voters, of which three vote at first:
// proposals of two proposers whose messages arrive in any order or not at all, changes of the membership, and lost disks. A state
// is small enough to be the key of a map.
//
// Left out: time, except for the lease duration after which a promise isn't followed by an acceptance any more; leases, which only
// prevent more; and replicas.

const (
	modelVoters    = 4 // a, b, c and d
	modelProposals = 4 // besides proposal 0, which all of the first voters have accepted; odd ones are the first proposer's
)

// modelConfigs are the sets of voters that a change may lead to.
var modelConfigs = []quorum.Voters{{"a", "b", "c"}, {"a", "b", "d"}, {"a", "b", "c", "d"}, {"d", "b", "c"}}

var modelNames = []string{"a", "b", "c", "d"}

// modelVoter is one voter's register.
type modelVoter struct {
	joined   bool
	promised uint8
	fresh    uint8 // the proposal that this process promised within the last lease duration, or 0
	aged     bool  // the promise was given before a disk was lost, whose voter has to wait it out
	accepted uint8
}

// modelProposal is one proposal and its value.
type modelProposal struct {
	promises [modelVoters]uint8 // 0 for no promise, else one more than the proposal that the voter had accepted
	proposed bool
	parent   uint8 // the proposal whose value was read
	voters   uint8 // index into modelConfigs
	joint    uint8 // one more than the index, 0 if the configuration isn't joint
	accepted uint8 // who ever accepted it, a bit each
}

// membershipState is one state of the model. It is the key of a map.
type membershipState struct {
	voters    [modelVoters]modelVoter
	proposals [modelProposals + 1]modelProposal
	disksLost uint8
	changes   uint8 // how many changes were begun
}

// membershipRules limit the search, and say which rules are left out to show that the search detects it.
type membershipRules struct {
	noJoint         bool // new voters are written straight away
	endBeforeChosen bool // a change is ended before its joint value was chosen
	blankVotes      bool // a voter that lost its disk goes on as if it had never voted
	readOne         bool // it reads one other voter only
	noWait          bool // it reads the others without waiting for a lease duration
	diskLosses      uint8
	changes         uint8
	proposals       uint8
}

func (p modelProposal) config() quorum.Config {
	config := quorum.Config{Voters: modelConfigs[p.voters]}
	if p.joint > 0 {
		config.Joint = modelConfigs[p.joint-1]
	}
	return config
}

// namesOf returns the voters whose bits are set.
func namesOf(mask uint8) (names []string) {
	for index, name := range modelNames {
		if mask&(1<<index) != 0 {
			names = append(names, name)
		}
	}
	return names
}

// quorumCache remembers which sets of voters are quorums of which configuration, for speed.
var quorumCache = map[[3]uint8]bool{}

func (p modelProposal) hasQuorum(mask uint8) bool {
	key := [3]uint8{p.voters, p.joint, mask}
	isQuorum, known := quorumCache[key]
	if !known {
		isQuorum = p.config().HasQuorum(namesOf(mask))
		quorumCache[key] = isQuorum
	}
	return isQuorum
}

// isChosen reports whether a proposal's value was accepted by a quorum of the configuration read and of its own.
func (s *membershipState) isChosen(number uint8) bool {
	proposal := s.proposals[number]
	if number == 0 {
		return true
	}
	return proposal.proposed && s.proposals[proposal.parent].hasQuorum(proposal.accepted) && proposal.hasQuorum(proposal.accepted)
}

// hasDiverged reports whether two values were chosen of which neither descends from the other.
func (s *membershipState) hasDiverged() bool {
	for newer := uint8(1); newer <= modelProposals; newer++ {
		if !s.isChosen(newer) {
			continue
		}
		for older := uint8(1); older < newer; older++ {
			if s.isChosen(older) && !s.descends(newer, older) {
				return true
			}
		}
	}
	return false
}

func (s *membershipState) descends(newer, older uint8) bool {
	ancestor := newer
	for ancestor > older {
		ancestor = s.proposals[ancestor].parent
	}
	return ancestor == older
}

// knowsChosen reports whether the proposer of a proposal itself had this very configuration chosen, and nobody came in between.
func (s *membershipState) knowsChosen(number, read uint8) bool {
	current := s.proposals[read]
	for {
		proposal := s.proposals[read]
		sameConfig := proposal.voters == current.voters && proposal.joint == current.joint
		otherProposer := read != 0 && read%2 != number%2 || read == 0 && number%2 == 0
		if !sameConfig || otherProposer {
			return false
		}
		if s.isChosen(read) {
			return true
		}
		read = proposal.parent
	}
}

// next visits every state that may follow.
func (s *membershipState) next(rules membershipRules, visit func(membershipState)) {
	for number := uint8(1); number <= rules.proposals; number++ {
		for index := range modelVoters {
			s.promise(index, number, visit)
			s.accept(index, number, visit)
		}
		if !s.proposals[number].proposed {
			s.propose(number, rules, visit)
		}
	}
	for index := range modelVoters {
		s.loseDisk(index, rules, visit)
		s.join(index, rules, visit)
	}
}

func (s *membershipState) promise(index int, number uint8, visit func(membershipState)) {
	voter := s.voters[index]
	if !voter.joined || voter.promised >= number || s.proposals[number].proposed {
		return
	}
	next := *s
	next.voters[index].promised, next.voters[index].fresh, next.voters[index].aged = number, number, false
	next.proposals[number].promises[index] = voter.accepted + 1
	visit(next)
}

func (s *membershipState) accept(index int, number uint8, visit func(membershipState)) {
	voter := s.voters[index]
	if !s.proposals[number].proposed || !voter.joined || voter.fresh != number || voter.accepted == number {
		return
	}
	next := *s
	next.voters[index].accepted = number
	next.proposals[number].accepted |= 1 << index
	visit(next)
}

// propose has a proposer write a value, if it has a quorum of promises: the value it read, or a step of a membership change.
func (s *membershipState) propose(number uint8, rules membershipRules, visit func(membershipState)) {
	var mask, highest uint8
	for index, promise := range s.proposals[number].promises {
		if promise > 0 {
			mask |= 1 << index
			highest = max(highest, promise-1)
		}
	}
	read := s.proposals[highest]
	if !read.hasQuorum(mask) {
		return
	}
	write := func(voters, joint, changes uint8) {
		if !(modelProposal{voters: voters, joint: joint}).hasQuorum(mask) {
			return
		}
		next := *s
		next.changes += changes
		proposal := &next.proposals[number]
		proposal.proposed, proposal.parent, proposal.voters, proposal.joint = true, highest, voters, joint
		visit(next)
	}
	write(read.voters, read.joint, 0)
	switch {
	case read.joint > 0:
		if rules.endBeforeChosen || s.knowsChosen(number, highest) {
			write(read.joint-1, 0, 0)
		}
	case s.changes < rules.changes && s.knowsChosen(number, highest):
		beginChanges(read.voters, rules, write)
	}
}

// beginChanges writes the first step of every change that may follow some voters.
func beginChanges(voters uint8, rules membershipRules, write func(voters, joint, changes uint8)) {
	for other := range modelConfigs {
		switch {
		case other == int(voters) || !isOneChange(modelConfigs[voters], modelConfigs[other]):
		case rules.noJoint:
			write(uint8(other), 0, 1)
		default:
			write(voters, uint8(other)+1, 1)
		}
	}
}

// isOneChange reports whether one change leads from some voters to others.
func isOneChange(from, to quorum.Voters) bool {
	without := func(voters, removed quorum.Voters) quorum.Voters {
		return slices.DeleteFunc(slices.Clone(voters), func(name string) bool { return slices.Contains(removed, name) })
	}
	return len(without(from, to)) <= 1 && len(without(to, from)) <= 1
}

// loseDisk has a voter lose its disk.
func (s *membershipState) loseDisk(index int, rules membershipRules, visit func(membershipState)) {
	if s.disksLost >= rules.diskLosses || !s.voters[index].joined {
		return
	}
	next := *s
	next.disksLost++
	next.voters[index] = modelVoter{joined: rules.blankVotes}
	for other := range next.voters {
		next.voters[other].aged = next.voters[other].fresh > 0
	}
	visit(next)
}

// join has a process without a register read others, or begin with a proposer's register.
func (s *membershipState) join(index int, rules membershipRules, visit func(membershipState)) {
	if s.voters[index].joined {
		return
	}
	joinWith := func(promised, accepted uint8) {
		next := *s
		next.wait(rules)
		next.voters[index] = modelVoter{joined: true, promised: promised, accepted: accepted}
		visit(next)
	}
	for mask := uint8(1); mask < 1<<modelVoters; mask++ {
		if mask&(1<<index) != 0 {
			continue
		}
		promised, accepted, intact := s.readRegisters(mask)
		config := s.proposals[accepted].config()
		enough := config.HasReadQuorum(namesOf(mask)) || rules.readOne && bits.OnesCount8(mask) == 1
		if intact && enough && config.Contains(modelNames[index]) {
			joinWith(promised, accepted)
		}
	}
	for proposer := uint8(0); proposer < 2; proposer++ {
		if number, known := s.newestChosen(proposer); known && !s.proposedVoter(proposer, index) {
			joinWith(number, number)
		}
	}
}

// readRegisters returns the highest promise and acceptance of some voters, and whether all of them have a register.
func (s *membershipState) readRegisters(mask uint8) (promised, accepted uint8, intact bool) {
	intact = true
	for other, voter := range s.voters {
		if mask&(1<<other) != 0 {
			intact = intact && voter.joined
			promised, accepted = max(promised, voter.promised), max(accepted, voter.accepted)
		}
	}
	return promised, accepted, intact
}

// wait lets a lease duration pass: promises given before the disk was lost are not followed by acceptances any more.
func (s *membershipState) wait(rules membershipRules) {
	for other := range s.voters {
		if voter := &s.voters[other]; voter.aged && !rules.noWait {
			voter.fresh, voter.aged = 0, false
		}
	}
}

// newestChosen returns the newest chosen value, and whether it is a proposer's: that one still serves.
func (s *membershipState) newestChosen(proposer uint8) (number uint8, own bool) {
	for number := uint8(modelProposals); number > 0; number-- {
		if s.isChosen(number) {
			return number, number%2 != proposer
		}
	}
	return 0, proposer == 0
}

// proposedVoter reports whether a proposer has proposed a configuration with a voter, or the first one has it.
func (s *membershipState) proposedVoter(proposer uint8, index int) bool {
	for number, proposal := range s.proposals {
		relevant := number == 0 || proposal.proposed && uint8(number)%2 != proposer
		if relevant && proposal.config().Contains(modelNames[index]) {
			return true
		}
	}
	return false
}

// firstState has the first three processes vote.
func firstState() (start membershipState) {
	for index := range 3 {
		start.voters[index].joined = true
	}
	return start
}

// searchMemberships explores breadth first to a depth. It returns the number of states, the depth reached, and whether values
// diverged.
func searchMemberships(rules membershipRules, maxDepth int) (states, depth int, diverged bool) {
	start := firstState()
	seen, frontier := map[membershipState]struct{}{start: {}}, []membershipState{start}
	for ; len(frontier) > 0 && depth < maxDepth; depth++ {
		var following []membershipState
		for index := range frontier {
			frontier[index].next(rules, func(next membershipState) {
				if _, known := seen[next]; known || diverged {
					return
				}
				seen[next] = struct{}{}
				diverged = next.hasDiverged()
				following = append(following, next)
			})
			if diverged {
				return len(seen), depth + 1, true
			}
		}
		frontier = following
	}
	return len(seen), depth, false
}

// walkMemberships takes random walks to their ends, and returns on which one values diverged.
func walkMemberships(rules membershipRules, walks int) (walk int, diverged bool) {
	random := rand.New(rand.NewPCG(1, 2))
	for ; walk < walks; walk++ {
		state := firstState()
		for {
			var following []membershipState
			state.next(rules, func(next membershipState) { following = append(following, next) })
			if len(following) == 0 {
				break
			}
			if state = following[random.IntN(len(following))]; state.hasDiverged() {
				return walk, true
			}
		}
	}
	return walk, false
}

// TestMembershipChangeSearch explores every order of events to a depth, or to the end where there is one: with the rules as they
// are no values diverge, and with some left out the search detects it.
func TestMembershipChangeSearch(t *testing.T) {
	for name, test := range map[string]struct {
		rules    membershipRules
		depth    int
		diverged bool
	}{
		"a lost disk, two proposals, to the end":                  {membershipRules{diskLosses: 1, proposals: 2}, 100, false},
		"a change, two proposals, to the end":                     {membershipRules{changes: 1, proposals: 2}, 100, false},
		"a change and a lost disk, two proposals":                 {membershipRules{changes: 1, diskLosses: 1, proposals: 2}, 12, false},
		"two changes and a lost disk, four proposals":             {membershipRules{changes: 2, diskLosses: 1, proposals: 4}, 7, false},
		"a voter without a register votes, two proposals":         {membershipRules{diskLosses: 1, blankVotes: true, proposals: 2}, 100, true},
		"a voter without a register reads at once, two proposals": {membershipRules{diskLosses: 1, noWait: true, proposals: 2}, 100, true},
		"a voter without a register reads one, two proposals":     {membershipRules{diskLosses: 1, readOne: true, proposals: 2}, 100, true},
	} {
		t.Run(name, func(t *testing.T) {
			states, depth, diverged := searchMemberships(test.rules, test.depth)
			t.Logf("%d states to depth %d, diverged %v", states, depth, diverged)
			if diverged != test.diverged {
				t.Errorf("two values of which neither descends from the other were chosen: %v, at depth %d", diverged, depth)
			}
		})
	}
}

// TestMembershipChangeWalks takes random walks, longer than can be searched, with the rules as they are; and with one left out until
// it is detected.
func TestMembershipChangeWalks(t *testing.T) {
	const walks = 30_000
	for name, test := range map[string]struct {
		rules    membershipRules
		diverged bool
	}{
		"the rules as they are":                    {membershipRules{changes: 2, diskLosses: 2, proposals: 4}, false},
		"no joint step":                            {membershipRules{changes: 1, noJoint: true, proposals: 4}, true},
		"a voter without a register votes":         {membershipRules{diskLosses: 1, blankVotes: true, proposals: 2}, true},
		"a voter without a register reads one":     {membershipRules{diskLosses: 1, readOne: true, proposals: 3}, true},
		"a voter without a register reads at once": {membershipRules{diskLosses: 1, noWait: true, proposals: 2}, true},
		"a change ended before it is chosen":       {membershipRules{changes: 1, endBeforeChosen: true, proposals: 4}, true},
	} {
		t.Run(name, func(t *testing.T) {
			limit := walks
			if test.diverged {
				limit *= 30
			}
			walk, diverged := walkMemberships(test.rules, limit)
			t.Logf("diverged %v after %d walks", diverged, walk)
			if diverged != test.diverged {
				t.Errorf("diverged %v", diverged)
			}
		})
	}
}
