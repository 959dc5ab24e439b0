package consensus

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"snowflow/internal/replication/quorum"
	"testing"
)

// The search explores the register's rules with four processes, of which three vote at first: ballots of two proposers whose
// messages come in any order or not at all, changes of the roster, and lost disks. A state is small enough to be a map's key.
//
// What it leaves out: time, but for the tenure after which a promise isn't followed by an acceptance any more; leases, which
// only keep more from happening; and copies.

const (
	searchProcesses = 4 // a, b, c and d
	maxProposals    = 4 // besides ballot 0, which all of the first roster have accepted; odd ones are the first proposer's
)

// searchVoterSets are those that a change may lead to.
var searchVoterSets = []quorum.Voters{{"a", "b", "c"}, {"a", "b", "d"}, {"a", "b", "c", "d"}, {"d", "b", "c"}}

var searchNames = []string{"a", "b", "c", "d"}

type searchVoter struct {
	joined   bool
	promised uint8
	fresh    uint8 // the ballot that was promised in this life within the last tenure, or 0
	aged     bool  // the promise is older than the wipe that some voter must wait out
	accepted uint8
}

type searchProposal struct {
	promises [searchProcesses]uint8 // 0: no promise; else one more than the ballot that the voter had accepted
	proposed bool
	parent   uint8
	voterSet uint8 // index into searchVoterSets
	joint    uint8 // index, one higher; 0: not joint
	accepted uint8 // who ever accepted it, as bits
}

type searchState struct {
	voters    [searchProcesses]searchVoter
	proposals [maxProposals + 1]searchProposal
	disksLost uint8 // how often a disk was lost
	changed   uint8 // how many changes were begun
}

// searchRules are what may be left out of the rules, to show that the search sees it.
type searchRules struct {
	noJoint         bool // a roster is written straight away
	endBeforeChosen bool // a change is ended before its joint value was chosen
	blankVotes      bool // a voter that lost its disk goes on as if it had never voted
	readOne         bool // it reads one other only
	noWait          bool // it reads the others without waiting for a tenure
	diskLosses      uint8
	changes         uint8
	proposals       uint8 // how many there may be
}

func (proposal searchProposal) configuration() quorum.Config {
	current := quorum.Config{Voters: searchVoterSets[proposal.voterSet]}
	if proposal.joint > 0 {
		current.Joint = searchVoterSets[proposal.joint-1]
	}
	return current
}

func namesOf(mask uint8) (names []string) {
	for index, name := range searchNames {
		if mask&(1<<index) != 0 {
			names = append(names, name)
		}
	}
	return names
}

// searchDecides remembers what configurations decide, for speed.
var searchDecides = map[[3]uint8]bool{}

func (proposal searchProposal) decides(mask uint8) bool {
	key := [3]uint8{proposal.voterSet, proposal.joint, mask}
	decided, known := searchDecides[key]
	if !known {
		decided = proposal.configuration().HasQuorum(namesOf(mask))
		searchDecides[key] = decided
	}
	return decided
}

func (state *searchState) chosen(number uint8) bool {
	proposal := state.proposals[number]
	if number == 0 {
		return true
	}
	return proposal.proposed && state.proposals[proposal.parent].decides(proposal.accepted) && proposal.decides(proposal.accepted)
}

// split tells whether two values were chosen of which neither came of the other.
func (state *searchState) diverged() bool {
	for newer := uint8(1); newer <= maxProposals; newer++ {
		if !state.chosen(newer) {
			continue
		}
		for earlier := uint8(1); earlier < newer; earlier++ {
			if !state.chosen(earlier) {
				continue
			}
			ancestor := newer
			for ancestor > earlier {
				ancestor = state.proposals[ancestor].parent
			}
			if ancestor != earlier {
				return true
			}
		}
	}
	return false
}

// knows tells whether the proposer of a ballot had this very configuration chosen itself, and nobody came in between.
func (state *searchState) knows(number, read uint8) bool {
	current := state.proposals[read]
	for {
		proposal := state.proposals[read]
		if proposal.voterSet != current.voterSet || proposal.joint != current.joint || read != 0 && read%2 != number%2 || read == 0 && number%2 == 0 {
			return false
		}
		if state.chosen(read) {
			return true
		}
		read = proposal.parent
	}
}

func (state *searchState) next(rules searchRules, visit func(searchState)) {
	for number := uint8(1); number <= rules.proposals; number++ {
		proposal := &state.proposals[number]
		for index := range searchProcesses {
			v := state.voters[index]
			if v.joined && v.promised < number && !proposal.proposed {
				fresh := *state
				fresh.voters[index].promised, fresh.voters[index].fresh, fresh.voters[index].aged = number, number, false
				fresh.proposals[number].promises[index] = v.accepted + 1
				visit(fresh)
			}
			if proposal.proposed && v.joined && v.fresh == number && v.accepted != number {
				fresh := *state
				fresh.voters[index].accepted = number
				fresh.proposals[number].accepted |= 1 << index
				visit(fresh)
			}
		}
		if !proposal.proposed {
			state.propose(number, rules, visit)
		}
	}
	for index := range searchProcesses {
		state.lose(index, rules, visit)
		state.join(index, rules, visit)
	}
}

// propose has a ballot's proposer write, if it has heard enough.
func (state *searchState) propose(number uint8, rules searchRules, visit func(searchState)) {
	proposal := state.proposals[number]
	var mask, highest uint8
	for index, heard := range proposal.promises {
		if heard > 0 {
			mask |= 1 << index
			highest = max(highest, heard-1)
		}
	}
	read := state.proposals[highest]
	if !read.decides(mask) {
		return
	}
	write := func(voters, joint, changed uint8) {
		written := searchProposal{voterSet: voters, joint: joint}
		if !written.decides(mask) {
			return
		}
		fresh := *state
		fresh.changed += changed
		fresh.proposals[number].proposed, fresh.proposals[number].parent = true, highest
		fresh.proposals[number].voterSet, fresh.proposals[number].joint = voters, joint
		visit(fresh)
	}
	write(read.voterSet, read.joint, 0)
	switch {
	case read.joint > 0 && (rules.endBeforeChosen || state.knows(number, highest)):
		write(read.joint-1, 0, 0)
	case read.joint == 0 && state.changed < rules.changes && state.knows(number, highest):
		for other := range searchVoterSets {
			switch {
			case other == int(read.voterSet) || !neighbouring(searchVoterSets[read.voterSet], searchVoterSets[other]):
			case rules.noJoint:
				write(uint8(other), 0, 1)
			default:
				write(read.voterSet, uint8(other)+1, 1)
			}
		}
	}
}

// neighbouring tells whether one change leads from a roster to another.
func neighbouring(one, other quorum.Voters) bool {
	return len(slices.DeleteFunc(slices.Clone(one), func(name string) bool { return slices.Contains(other, name) })) <= 1 &&
		len(slices.DeleteFunc(slices.Clone(other), func(name string) bool { return slices.Contains(one, name) })) <= 1
}

// lose has a voter lose its disk, one at a time.
func (state *searchState) lose(index int, rules searchRules, visit func(searchState)) {
	if state.disksLost >= rules.diskLosses || !state.voters[index].joined {
		return
	}
	fresh := *state
	fresh.disksLost++
	fresh.voters[index] = searchVoter{joined: rules.blankVotes}
	for other := range fresh.voters {
		fresh.voters[other].aged = fresh.voters[other].fresh > 0
	}
	visit(fresh)
}

// join has a blank voter read others, or a stranger be enrolled by a proposer.
func (state *searchState) join(index int, rules searchRules, visit func(searchState)) {
	if state.voters[index].joined {
		return
	}
	for mask := uint8(1); mask < 1<<searchProcesses; mask++ {
		if mask&(1<<index) != 0 {
			continue
		}
		var promised, accepted uint8
		blank := false
		for other, v := range state.voters {
			if mask&(1<<other) != 0 {
				blank = blank || !v.joined
				promised, accepted = max(promised, v.promised), max(accepted, v.accepted)
			}
		}
		current := state.proposals[accepted].configuration()
		enough := current.HasReadQuorum(namesOf(mask)) || rules.readOne && bits.OnesCount8(mask) == 1
		if blank || !current.Contains(searchNames[index]) || !enough {
			continue
		}
		fresh := *state
		fresh.wait(rules)
		fresh.voters[index] = searchVoter{joined: true, promised: promised, accepted: accepted}
		visit(fresh)
	}
	for owner := uint8(0); owner < 2; owner++ {
		if number, known := state.newest(owner); known && !state.proposedVoter(owner, index) {
			fresh := *state
			fresh.wait(rules)
			fresh.voters[index] = searchVoter{joined: true, promised: number, accepted: number}
			visit(fresh)
		}
	}
}

// wait lets a tenure pass: promises from before the disk was lost are not followed by acceptances any more.
func (state *searchState) wait(rules searchRules) {
	for other := range state.voters {
		if v := &state.voters[other]; v.aged && !rules.noWait {
			v.fresh, v.aged = 0, false
		}
	}
}

// newest is the last value that a proposer had chosen, if it's still the one that answers: nobody had another chosen since.
func (state *searchState) newest(owner uint8) (uint8, bool) {
	for number := uint8(maxProposals); number > 0; number-- {
		if state.chosen(number) {
			return number, number%2 != owner
		}
	}
	return 0, owner == 0
}

// named tells whether a proposer has proposed a roster with a process, or the one it goes by has it.
func (state *searchState) proposedVoter(owner uint8, index int) bool {
	for number, proposal := range state.proposals {
		if (number == 0 || proposal.proposed && uint8(number)%2 != owner) && proposal.configuration().Contains(searchNames[index]) {
			return true
		}
	}
	return false
}

func searchStart() (start searchState) {
	for index := range 3 {
		start.voters[index].joined = true
	}
	return start
}

// search explores breadth first and tells how many states there are and whether one is split, with its depth.
func search(rules searchRules, most int) (states, depth int, split bool) {
	start := searchStart()
	seen, edge := map[searchState]struct{}{start: {}}, []searchState{start}
	for ; len(edge) > 0 && depth < most; depth++ {
		var following []searchState
		for index := range edge {
			edge[index].next(rules, func(fresh searchState) {
				if _, known := seen[fresh]; known || split {
					return
				}
				seen[fresh] = struct{}{}
				split = fresh.diverged()
				following = append(following, fresh)
			})
			if split {
				return len(seen), depth + 1, true
			}
		}
		edge = following
	}
	return len(seen), depth, false
}

// walk takes random ways to their ends, and tells on which one a state was split.
func walk(rules searchRules, ways int) (way int, split bool) {
	chance := rand.New(rand.NewPCG(1, 2))
	for ; way < ways; way++ {
		state := searchStart()
		for {
			var following []searchState
			state.next(rules, func(fresh searchState) { following = append(following, fresh) })
			if len(following) == 0 {
				break
			}
			if state = following[chance.IntN(len(following))]; state.diverged() {
				return way, true
			}
		}
	}
	return way, false
}

// TestMembershipChangeSearch explores every order of events to a depth, or to the end where there is one: with the rules as they are nothing
// is decided apart, and with some left out the search sees it.
func TestMembershipChangeSearch(t *testing.T) {
	for name, one := range map[string]struct {
		rules searchRules
		depth int
		split bool
	}{
		"a lost disk, two ballots, to the end":       {searchRules{diskLosses: 1, proposals: 2}, 100, false},
		"a change, two ballots, to the end":          {searchRules{changes: 1, proposals: 2}, 100, false},
		"a change and a lost disk, two ballots":      {searchRules{changes: 1, diskLosses: 1, proposals: 2}, 12, false},
		"two changes and a lost disk, four ballots":  {searchRules{changes: 2, diskLosses: 1, proposals: 4}, 7, false},
		"a blank voter votes, two ballots":           {searchRules{diskLosses: 1, blankVotes: true, proposals: 2}, 100, true},
		"a blank voter reads at once, two ballots":   {searchRules{diskLosses: 1, noWait: true, proposals: 2}, 100, true},
		"a blank voter reads one other, two ballots": {searchRules{diskLosses: 1, readOne: true, proposals: 2}, 100, true},
	} {
		t.Run(name, func(t *testing.T) {
			states, depth, split := search(one.rules, one.depth)
			t.Logf("%d states to depth %d, decided apart %v", states, depth, split)
			if split != one.split {
				t.Errorf("two values that don't come of one another were chosen: %v, at depth %d", split, depth)
			}
		})
	}
}

// TestMembershipChangeWalks takes random ways, longer than can be searched, with the rules as they are; and with one left out until it sees
// what that brings.
func TestMembershipChangeWalks(t *testing.T) {
	const ways = 30_000
	for name, one := range map[string]struct {
		rules searchRules
		split bool
	}{
		"the rules as they are":            {searchRules{changes: 2, diskLosses: 2, proposals: 4}, false},
		"no joint step":                    {searchRules{changes: 1, noJoint: true, proposals: 4}, true},
		"a blank voter votes":              {searchRules{diskLosses: 1, blankVotes: true, proposals: 2}, true},
		"a blank voter reads one other":    {searchRules{diskLosses: 1, readOne: true, proposals: 3}, true},
		"a blank voter reads at once":      {searchRules{diskLosses: 1, noWait: true, proposals: 2}, true},
		"a change ended before it's known": {searchRules{changes: 1, endBeforeChosen: true, proposals: 4}, true},
	} {
		t.Run(name, func(t *testing.T) {
			most := ways
			if one.split {
				most *= 30
			}
			way, split := walk(one.rules, most)
			t.Logf("split %v after %d ways", split, way)
			if split != one.split {
				t.Errorf("split %v", split)
			}
		})
	}
}
