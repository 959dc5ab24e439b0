package consensus

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"

	"snowflow/internal/replication/quorum"
)

// The membership search is a model checker for the rules of the register. It has four voters, of which three vote initially, and two
// proposers. Their messages arrive in any order or not at all, the membership changes, and voters lose their disks.
//
// Not modeled: time, except for the lease duration after which a promise is no longer valid for an accept request; leases, which only
// prevent further steps; and replicas.

// All initial voters have accepted proposal 0. Proposal 0 and the odd ones belong to the first proposer (0), the others to the second (1).
const (
	modelVoters    = 4 // a, b, c and d
	modelProposals = 4 // besides proposal 0
)

// modelConfigs are the possible sets of voters. The first one is the initial set.
var modelConfigs = []quorum.Voters{{"a", "b", "c"}, {"a", "b", "d"}, {"a", "b", "c", "d"}, {"d", "b", "c"}}

var modelVoterNames = []string{"a", "b", "c", "d"}

// modelVoter is the register of one voter.
type modelVoter struct {
	joined                 bool
	promised               uint8
	currentPromise         uint8 // the proposal that this process promised within the last lease duration, or 0
	promisedBeforeDiskLoss bool  // currentPromise was given before a disk was lost; the voter of that disk has to wait until it is invalid
	accepted               uint8
}

// modelProposal is one proposal and its value.
type modelProposal struct {
	promises     [modelVoters]uint8 // 0 for no promise, else the number of the proposal that the voter had accepted plus one
	proposed     bool
	readProposal uint8 // the proposal whose value the proposer read before it proposed this one
	voters       uint8 // index in modelConfigs
	jointVoters  uint8 // index in modelConfigs plus one, 0 if the configuration isn't joint
	accepted     uint8 // bit set of the voters that have accepted it, at any time
}

// membershipState is one state of the model. It is comparable and small, since it is used as a map key.
type membershipState struct {
	voters    [modelVoters]modelVoter
	proposals [modelProposals + 1]modelProposal
	disksLost uint8
	changes   uint8 // number of membership changes started
}

// membershipRules limit the search (diskLosses, changes and proposals), and disable rules to show that the search detects their
// absence (the other fields).
type membershipRules struct {
	noJointStep     bool // new voters are proposed without a joint configuration
	endBeforeChosen bool // a change is ended before its joint value is chosen
	lostDiskVotes   bool // a voter that lost its disk votes as if it had never voted before
	readOneVoter    bool // a voter that lost its disk reads only one other voter before it votes
	noWait          bool // a voter that lost its disk reads the others without waiting for a lease duration
	diskLosses      uint8
	changes         uint8
	proposals       uint8
}

func (p modelProposal) config() quorum.Config {
	config := quorum.Config{Voters: modelConfigs[p.voters]}
	if p.jointVoters > 0 {
		config.Joint = modelConfigs[p.jointVoters-1]
	}
	return config
}

// namesOf returns the names of the voters whose bits are set.
func namesOf(mask uint8) (names []string) {
	for index, name := range modelVoterNames {
		if mask&(1<<index) != 0 {
			names = append(names, name)
		}
	}
	return names
}

// quorumCache caches the results of hasQuorum by voters, joint voters and mask, to speed up the search.
var quorumCache = map[[3]uint8]bool{}

func (p modelProposal) hasQuorum(mask uint8) bool {
	key := [3]uint8{p.voters, p.jointVoters, mask}
	isQuorum, known := quorumCache[key]
	if !known {
		isQuorum = p.config().HasQuorum(namesOf(mask))
		quorumCache[key] = isQuorum
	}
	return isQuorum
}

// isChosen reports whether a proposal's value was accepted by a quorum both of the configuration that its proposer read and of its own.
func (s *membershipState) isChosen(number uint8) bool {
	proposal := s.proposals[number]
	if number == 0 {
		return true
	}
	return proposal.proposed && s.proposals[proposal.readProposal].hasQuorum(proposal.accepted) && proposal.hasQuorum(proposal.accepted)
}

// hasDivergentValues reports whether two values were chosen and neither descends from the other.
func (s *membershipState) hasDivergentValues() bool {
	for newer := uint8(1); newer <= modelProposals; newer++ {
		if !s.isChosen(newer) {
			continue
		}
		for older := uint8(1); older < newer; older++ {
			if s.isChosen(older) && !s.descendsFrom(newer, older) {
				return true
			}
		}
	}
	return false
}

func (s *membershipState) descendsFrom(newer, older uint8) bool {
	ancestor := newer
	for ancestor > older {
		ancestor = s.proposals[ancestor].readProposal
	}
	return ancestor == older
}

// knowsChosen reports whether the proposer of a proposal knows that the configuration it read is chosen: one of its own proposals with
// that configuration was chosen, and every later one up to the proposal read is its own and has the same configuration.
func (s *membershipState) knowsChosen(number, read uint8) bool {
	current := s.proposals[read]
	for {
		proposal := s.proposals[read]
		sameConfig := proposal.voters == current.voters && proposal.jointVoters == current.jointVoters
		otherProposer := read != 0 && read%2 != number%2 || read == 0 && number%2 == 0
		if !sameConfig || otherProposer {
			return false
		}
		if s.isChosen(read) {
			return true
		}
		read = proposal.readProposal
	}
}

// next calls visit with every successor of a state.
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
	next.voters[index].promised, next.voters[index].currentPromise, next.voters[index].promisedBeforeDiskLoss = number, number, false
	next.proposals[number].promises[index] = voter.accepted + 1
	visit(next)
}

func (s *membershipState) accept(index int, number uint8, visit func(membershipState)) {
	voter := s.voters[index]
	if !s.proposals[number].proposed || !voter.joined || voter.currentPromise != number || voter.accepted == number {
		return
	}
	next := *s
	next.voters[index].accepted = number
	next.proposals[number].accepted |= 1 << index
	visit(next)
}

// propose visits the successors in which a proposer with a quorum of promises proposes the value that it read, or the next step of a
// membership change.
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
	visitProposal := func(voters, jointVoters, changes uint8) {
		if !(modelProposal{voters: voters, jointVoters: jointVoters}).hasQuorum(mask) {
			return
		}
		next := *s
		next.changes += changes
		proposal := &next.proposals[number]
		proposal.proposed, proposal.readProposal, proposal.voters, proposal.jointVoters = true, highest, voters, jointVoters
		visit(next)
	}
	visitProposal(read.voters, read.jointVoters, 0)
	switch {
	case read.jointVoters > 0:
		if rules.endBeforeChosen || s.knowsChosen(number, highest) {
			visitProposal(read.jointVoters-1, 0, 0)
		}
	case s.changes < rules.changes && s.knowsChosen(number, highest):
		visitChanges(read.voters, rules, visitProposal)
	}
}

// visitChanges calls visitProposal with the first step of every single change of the given voters.
func visitChanges(voters uint8, rules membershipRules, visitProposal func(voters, jointVoters, changes uint8)) {
	for other := range modelConfigs {
		switch {
		case other == int(voters) || !isSingleChange(modelConfigs[voters], modelConfigs[other]):
		case rules.noJointStep:
			visitProposal(uint8(other), 0, 1)
		default:
			visitProposal(voters, uint8(other)+1, 1)
		}
	}
}

// isSingleChange reports whether two sets of voters differ by one voter added, removed or replaced.
func isSingleChange(from, to quorum.Voters) bool {
	without := func(voters, removed quorum.Voters) quorum.Voters {
		return slices.DeleteFunc(slices.Clone(voters), func(name string) bool { return slices.Contains(removed, name) })
	}
	return len(without(from, to)) <= 1 && len(without(to, from)) <= 1
}

// loseDisk visits the successor in which a voter loses its disk.
func (s *membershipState) loseDisk(index int, rules membershipRules, visit func(membershipState)) {
	if s.disksLost >= rules.diskLosses || !s.voters[index].joined {
		return
	}
	next := *s
	next.disksLost++
	next.voters[index] = modelVoter{joined: rules.lostDiskVotes}
	for other := range next.voters {
		next.voters[other].promisedBeforeDiskLoss = next.voters[other].currentPromise > 0
	}
	visit(next)
}

// join visits the successors in which a voter without a register gets one: from a read quorum of the other voters, or, if it is a new
// voter that a proposer has never proposed a configuration with, from that proposer.
func (s *membershipState) join(index int, rules membershipRules, visit func(membershipState)) {
	if s.voters[index].joined {
		return
	}
	joinWith := func(promised, accepted uint8) {
		next := *s
		next.expirePromises(rules)
		next.voters[index] = modelVoter{joined: true, promised: promised, accepted: accepted}
		visit(next)
	}
	for mask := uint8(1); mask < 1<<modelVoters; mask++ {
		if mask&(1<<index) != 0 {
			continue
		}
		promised, accepted, intact := s.readRegisters(mask)
		config := s.proposals[accepted].config()
		enough := config.HasReadQuorum(namesOf(mask)) || rules.readOneVoter && bits.OnesCount8(mask) == 1
		if intact && enough && config.Contains(modelVoterNames[index]) {
			joinWith(promised, accepted)
		}
	}
	for proposer := uint8(0); proposer < 2; proposer++ {
		if number, known := s.newestChosen(proposer); known && !s.proposedConfigWith(proposer, index) {
			joinWith(number, number)
		}
	}
}

// readRegisters returns the highest promised and accepted numbers of some voters, and whether all of them have a register.
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

// expirePromises lets a lease duration pass, unless rules.noWait is set: promises given before a disk was lost are then no longer valid.
func (s *membershipState) expirePromises(rules membershipRules) {
	for other := range s.voters {
		if voter := &s.voters[other]; voter.promisedBeforeDiskLoss && !rules.noWait {
			voter.currentPromise, voter.promisedBeforeDiskLoss = 0, false
		}
	}
}

// newestChosen returns the newest chosen proposal, and whether it belongs to a proposer, which is then the serving primary.
func (s *membershipState) newestChosen(proposer uint8) (number uint8, own bool) {
	for number := uint8(modelProposals); number > 0; number-- {
		if s.isChosen(number) {
			return number, number%2 != proposer
		}
	}
	return 0, proposer == 0
}

// proposedConfigWith reports whether the initial configuration or one that a proposer has proposed contains a voter.
func (s *membershipState) proposedConfigWith(proposer uint8, index int) bool {
	for number, proposal := range s.proposals {
		relevant := number == 0 || proposal.proposed && uint8(number)%2 != proposer
		if relevant && proposal.config().Contains(modelVoterNames[index]) {
			return true
		}
	}
	return false
}

// initialState returns the state in which the first three voters have a register.
func initialState() (start membershipState) {
	for index := range 3 {
		start.voters[index].joined = true
	}
	return start
}

// searchMemberships explores states breadth-first up to a depth. It returns the number of states, the depth reached, and whether
// chosen values diverged.
func searchMemberships(rules membershipRules, maxDepth int) (states, depth int, diverged bool) {
	start := initialState()
	seen, frontier := map[membershipState]struct{}{start: {}}, []membershipState{start}
	for ; len(frontier) > 0 && depth < maxDepth; depth++ {
		var following []membershipState
		for index := range frontier {
			frontier[index].next(rules, func(next membershipState) {
				if _, known := seen[next]; known || diverged {
					return
				}
				seen[next] = struct{}{}
				diverged = next.hasDivergentValues()
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

// walkMemberships takes random walks until no step is possible. It stops at the first walk on which chosen values diverge, and returns
// its index.
func walkMemberships(rules membershipRules, walks int) (walk int, diverged bool) {
	random := rand.New(rand.NewPCG(1, 2))
	for ; walk < walks; walk++ {
		state := initialState()
		for {
			var following []membershipState
			state.next(rules, func(next membershipState) { following = append(following, next) })
			if len(following) == 0 {
				break
			}
			if state = following[random.IntN(len(following))]; state.hasDivergentValues() {
				return walk, true
			}
		}
	}
	return walk, false
}

// TestMembershipChangeSearch explores every order of events, to a limited depth or completely. With all rules chosen values never
// diverge; with one rule disabled the search finds a divergence.
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
		"a voter without a register votes, two proposals":         {membershipRules{diskLosses: 1, lostDiskVotes: true, proposals: 2}, 100, true},
		"a voter without a register reads at once, two proposals": {membershipRules{diskLosses: 1, noWait: true, proposals: 2}, 100, true},
		"a voter without a register reads one, two proposals":     {membershipRules{diskLosses: 1, readOneVoter: true, proposals: 2}, 100, true},
	} {
		t.Run(name, func(t *testing.T) {
			states, depth, diverged := searchMemberships(test.rules, test.depth)
			t.Logf("%d states to depth %d, diverged %v", states, depth, diverged)
			if diverged != test.diverged {
				t.Errorf("two values were chosen and neither descends from the other: %v, at depth %d", diverged, depth)
			}
		})
	}
}

// TestMembershipChangeWalks takes random walks, which go deeper than the complete search can. With all rules chosen values never
// diverge; with one rule disabled some walk finds a divergence.
func TestMembershipChangeWalks(t *testing.T) {
	const walks = 30_000
	for name, test := range map[string]struct {
		rules    membershipRules
		diverged bool
	}{
		"the rules as they are":                    {membershipRules{changes: 2, diskLosses: 2, proposals: 4}, false},
		"no joint step":                            {membershipRules{changes: 1, noJointStep: true, proposals: 4}, true},
		"a voter without a register votes":         {membershipRules{diskLosses: 1, lostDiskVotes: true, proposals: 2}, true},
		"a voter without a register reads one":     {membershipRules{diskLosses: 1, readOneVoter: true, proposals: 3}, true},
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
				t.Errorf("chosen values diverged: %v", diverged)
			}
		})
	}
}
