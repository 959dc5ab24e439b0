package consensus

import "testing"

// The lease search explores one voter's part in leases: it grants them to lives of two processes, restarts, loses its disk, and
// reads the others; those restart too, and asks of lives that ended may still arrive. What it holds: while a life that is not over
// has a lease granted here, nobody else is promised or granted anything here. Any two quorums share a voter, so no two lives then
// hold leases by quorums at once; that is for TestWeights and TestConfigurationsMeet.
//
// What it leaves out: clocks that leap (a leap ends the wait's being inherited), and how long messages take: reads happen at a moment, which
// loses nothing, since a life that is over stays over.

const (
	leaseLength  = 2 // ticks
	maxProcesses = 3 // of the first holder; the second has one less
)

// leaseGrantee is a life of a holder; life 0 is none.
type leaseGrantee struct{ holder, process uint8 }

type leaseState struct {
	running      [2]uint8                    // the present life of each holder, 1 and up; 0: down
	lastProcess  [2]uint8                    // its last life
	remaining    [2][maxProcesses + 1]uint8  // what is truly left of leases granted here, by holder and life
	disk         [2][maxProcesses + 1]bool   // the grantees on disk
	anyOnDisk    bool                        // there are some on disk
	grant        leaseGrantee                // in memory
	until        uint8                       // what is left of it, by the voter
	wait         uint8                       // nothing is promised before
	inherited    bool                        // the wait stands for an earlier life's grants alone, and the disk tells of them
	seen         [2]uint8                    // the life that each holder last answered a read with, in this life of the voter
	hasRequested [2][maxProcesses + 1]bool   // lives that ever asked something: their asks may come again, late
	ended        [2][maxProcesses + 1]bool   // lives that ended
	cutShort     bool                        // a wait was cut short: the search got somewhere
	done         struct{ voter, disk uint8 } // how often the voter restarted, lost its disk
}

// leaseRules are what may be left out.
type leaseRules struct {
	noWait          bool // a voter that restarted votes at once
	requestsCount   bool // an ask of another life counts like a read
	anyAnswer       bool // any answer of a grantee's name counts, of the same life too
	blankVotes      bool // a lost disk counts as nothing granted
	recordLate      bool // grantees are written down only with the next promise
	replaceGrantees bool // the one who asks replaces all grantees, though a grant stands
	oneEnded        bool // one grantee that's over is enough
	anyRelease      bool // a release counts though other lives may hold leases too
	lateRelease     bool // a release counts for whatever life of its process holds the lease
}

func (state *leaseState) granted() bool { return state.grant.process > 0 && state.until > 0 }

// alone tells whether a life is the only grantee.
func (state *leaseState) onlyGrantee(holder, processID uint8) bool {
	var only [2][maxProcesses + 1]bool
	only[holder][processID] = true
	return state.disk == only
}

// note writes a grantee down.
func (state *leaseState) recordGrantee(holder, processID uint8, rules leaseRules) {
	if !state.granted() || rules.replaceGrantees {
		state.disk = [2][maxProcesses + 1]bool{}
	}
	state.disk[holder][processID], state.anyOnDisk = true, true
}

// inherit cuts the wait short, where it may.
func (state *leaseState) endInheritedWait(rules leaseRules) {
	if !state.inherited {
		return
	}
	any, all := false, true
	for holder, processIDs := range state.disk {
		for processID, noted := range processIDs {
			if !noted {
				continue
			}
			over := state.seen[holder] != 0 && (state.seen[holder] != uint8(processID) || rules.anyAnswer)
			any, all = any || over, all && over
		}
	}
	if all || rules.oneEnded && any {
		state.cutShort = state.cutShort || state.wait > 0
		state.wait, state.inherited = 0, false
	}
}

// broken tells whether somebody else than a holder's life is served though that life has a lease here.
func (state *leaseState) broken(holder, processID uint8) bool {
	for other := range uint8(2) {
		for one := range uint8(maxProcesses + 1) {
			if state.remaining[other][one] > 0 && state.running[other] == one && (other != holder || one != processID) && !state.ended[holder][processID] {
				return true
			}
		}
	}
	return false
}

func (state leaseState) next(rules leaseRules, visit func(fresh leaseState, broken bool)) {
	for holder := range uint8(2) {
		for processID := uint8(1); processID <= maxProcesses; processID++ {
			// Asks of the present life, and late ones of lives that ended.
			if state.running[holder] != processID && !state.hasRequested[holder][processID] {
				continue
			}
			fresh := state
			fresh.hasRequested[holder][processID] = true
			if rules.requestsCount {
				fresh.seen[holder] = processID
				fresh.endInheritedWait(rules)
			}
			if fresh.grant.holder == holder && (fresh.grant.process == processID && (fresh.onlyGrantee(holder, processID) || rules.anyRelease) || fresh.grant.process > 0 && rules.lateRelease) {
				released := fresh
				released.grant, released.until, released.remaining[holder][processID] = leaseGrantee{}, 0, 0
				visit(released, false)
			}
			if fresh.wait > 0 || fresh.granted() && fresh.grant.holder != holder {
				if rules.requestsCount {
					visit(fresh, false)
				}
				continue
			}
			promised, granted := fresh, fresh
			promised.recordGrantee(holder, processID, rules)
			visit(promised, promised.broken(holder, processID))
			if !rules.recordLate {
				granted.recordGrantee(holder, processID, rules)
			}
			granted.grant, granted.until, granted.remaining[holder][processID] = leaseGrantee{holder, processID}, leaseLength, leaseLength
			visit(granted, state.broken(holder, processID))
		}
		if state.running[holder] > 0 {
			fresh := state
			fresh.ended[holder][state.running[holder]] = true
			fresh.running[holder] = 0
			visit(fresh, false)
			read := state
			read.seen[holder] = state.running[holder]
			read.endInheritedWait(rules)
			visit(read, false)
		} else if state.lastProcess[holder] < maxProcesses-holder {
			fresh := state
			fresh.lastProcess[holder]++
			fresh.running[holder] = fresh.lastProcess[holder]
			visit(fresh, false)
		}
	}
	// Time passes alike for the leases and for the voter; a lease's holder counts from before its ask, so less is left there.
	tick := state
	for holder := range tick.remaining {
		for processID := range tick.remaining[holder] {
			tick.remaining[holder][processID] = decrement(tick.remaining[holder][processID])
		}
	}
	tick.until, tick.wait = decrement(tick.until), decrement(tick.wait)
	visit(tick, false)
	for lost := range 2 {
		fresh := state
		if lost == 1 {
			if fresh.done.disk == 1 {
				continue
			}
			fresh.done.disk++
			fresh.disk, fresh.anyOnDisk = [2][maxProcesses + 1]bool{}, rules.blankVotes
		}
		if fresh.done.voter == 2 {
			continue
		}
		fresh.done.voter++
		fresh.grant, fresh.until, fresh.seen = leaseGrantee{}, 0, [2]uint8{}
		fresh.wait, fresh.inherited = leaseLength, fresh.anyOnDisk
		if rules.noWait {
			fresh.wait = 0
		}
		if rules.blankVotes && lost == 1 {
			fresh.endInheritedWait(rules)
		}
		visit(fresh, false)
	}
}

func decrement(left uint8) uint8 {
	if left > 0 {
		return left - 1
	}
	return 0
}

// searchLeases explores to the end.
func searchLeases(rules leaseRules) (states int, early, broken bool) {
	start := leaseState{running: [2]uint8{1, 1}, lastProcess: [2]uint8{1, 1}}
	seen, edge := map[leaseState]struct{}{start: {}}, []leaseState{start}
	for len(edge) > 0 && !broken {
		state := edge[len(edge)-1]
		edge = edge[:len(edge)-1]
		state.next(rules, func(fresh leaseState, wrong bool) {
			broken, early = broken || wrong, early || fresh.cutShort
			if _, known := seen[fresh]; !known && !broken {
				seen[fresh] = struct{}{}
				edge = append(edge, fresh)
			}
		})
	}
	return len(seen), early, broken
}

// TestLeaseSearch explores every order of events: with the rules as they are no life's lease is undercut, though waits are cut
// short; with some left out the search sees it.
func TestLeaseSearch(t *testing.T) {
	for name, one := range map[string]struct {
		rules  leaseRules
		broken bool
	}{
		"the rules as they are":                     {leaseRules{}, false},
		"a voter that restarted votes at once":      {leaseRules{noWait: true}, true},
		"an ask counts like a read":                 {leaseRules{requestsCount: true}, true},
		"the same life's answer counts":             {leaseRules{anyAnswer: true}, true},
		"a lost disk counts as nothing granted":     {leaseRules{blankVotes: true}, true},
		"grantees are written down afterwards":      {leaseRules{recordLate: true}, true},
		"the last to ask replaces the grantees":     {leaseRules{replaceGrantees: true}, true},
		"a release though others are grantees":      {leaseRules{anyRelease: true}, true},
		"a late release ends the next life's lease": {leaseRules{lateRelease: true}, true},
		"one grantee that is over is enough":        {leaseRules{oneEnded: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			states, early, broken := searchLeases(one.rules)
			t.Logf("%d states, a wait cut short %v, a lease undercut %v", states, early, broken)
			if broken != one.broken {
				t.Errorf("a lease was undercut: %v", broken)
			}
			if !early && !broken {
				t.Error("no wait was ever cut short")
			}
		})
	}
}
