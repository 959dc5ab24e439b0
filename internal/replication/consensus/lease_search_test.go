package consensus

import "testing"

// The lease search is a model checker for the leases of one voter. The voter grants leases to the processes of two members, reads
// the members' process IDs, restarts and loses its disk. The members restart too, and delayed requests of ended processes arrive.
//
// Property: while a running process has a lease from the voter, the voter promises and grants nothing to another process. Any two
// quorums share a voter (tested in package quorum), so no two processes then have leases from quorums at the same time.
//
// Not modeled: clock jumps (after a jump the wait can't end early), and the delay of reads. A read is instantaneous, which loses no
// behavior because an ended process never runs again.

const (
	modelMembers         = 2
	modelLeaseTicks      = 2
	modelProcesses       = 3 // of the first member; the second has one fewer
	modelVoterRestarts   = 2
	modelVoterDiskLosses = 1
)

// modelGrantee is a process of a member. Process 0 means none.
type modelGrantee struct{ member, process uint8 }

// processSet is a set of processes, indexed by member and process.
type processSet [modelMembers][modelProcesses + 1]bool

// leaseState is one state of the model. It is comparable, since it is used as a map key.
type leaseState struct {
	runningProcess [modelMembers]uint8                     // the current process of each member, 0 while it is down
	lastProcess    [modelMembers]uint8                     // the newest process of each member
	leaseRemaining [modelMembers][modelProcesses + 1]uint8 // the remaining time of each granted lease at its holder

	// The voter's disk.
	grantees  processSet
	anyOnDisk bool // whether a grantee was recorded since the disk was empty
	// The voter's memory.
	grant           modelGrantee
	grantRemaining  uint8               // the remaining time of the grant
	waitRemaining   uint8               // nothing is promised or granted before the wait ends
	waitMayEndEarly bool                // the wait is for grants of an earlier process that are recorded on disk
	lastRead        [modelMembers]uint8 // the process that answered the last read by this process of the voter

	mayRequestAgain           processSet // processes that have sent a request, so delayed ones may arrive
	ended                     processSet
	waitEndedEarly            bool // whether a wait ended early, which shows that the search covers that rule
	voterRestarts, diskLosses uint8
}

// leaseDefects disable rules of the voter, to show that the search detects their absence.
type leaseDefects struct {
	noWait                bool // a restarted voter votes without a wait
	requestsCountAsReads  bool // a request counts as an answer to a read
	sameProcessCounts     bool // an answer of the grantee's own process counts as the end of that process
	lostDiskMeansNoGrants bool // a lost disk is taken to mean that nothing was granted
	recordLate            bool // a grant doesn't record its grantee; only a promise does
	replaceGrantees       bool // a request replaces all grantees even while a lease is active
	oneEndedSuffices      bool // the end of one grantee's process is enough to end the wait
	releaseDespiteOthers  bool // a release counts although other processes may have leases too
	releaseByAnyProcess   bool // a release also ends the lease of another process of the same member
}

func (s *leaseState) leaseActive() bool { return s.grant.process > 0 && s.grantRemaining > 0 }

// isOnlyGrantee reports whether a process is the only grantee on disk.
func (s *leaseState) isOnlyGrantee(member, process uint8) bool {
	var only processSet
	only[member][process] = true
	return s.grantees == only
}

// recordGrantee records a grantee on disk.
func (s *leaseState) recordGrantee(member, process uint8, defects leaseDefects) {
	if !s.leaseActive() || defects.replaceGrantees {
		s.grantees = processSet{}
	}
	s.grantees[member][process], s.anyOnDisk = true, true
}

// endWaitEarly ends the wait if the process of every grantee is known to have ended.
func (s *leaseState) endWaitEarly(defects leaseDefects) {
	if !s.waitMayEndEarly {
		return
	}
	some, all := false, true
	for member, processes := range s.grantees {
		for process, recorded := range processes {
			if !recorded {
				continue
			}
			hasEnded := s.lastRead[member] != 0 && (s.lastRead[member] != uint8(process) || defects.sameProcessCounts)
			some, all = some || hasEnded, all && hasEnded
		}
	}
	if all || defects.oneEndedSuffices && some {
		s.waitEndedEarly = s.waitEndedEarly || s.waitRemaining > 0
		s.waitRemaining, s.waitMayEndEarly = 0, false
	}
}

// violatesLease reports whether a promise or grant to a running process violates the lease of another running process.
func (s *leaseState) violatesLease(member, process uint8) bool {
	for other := range uint8(modelMembers) {
		for otherProcess := range uint8(modelProcesses + 1) {
			hasLease := s.leaseRemaining[other][otherProcess] > 0 && s.runningProcess[other] == otherProcess
			if hasLease && (other != member || otherProcess != process) && !s.ended[member][process] {
				return true
			}
		}
	}
	return false
}

// next calls visit with every successor of a state, and with whether the step to it violated a lease.
func (s leaseState) next(defects leaseDefects, visit func(next leaseState, violated bool)) {
	for member := range uint8(modelMembers) {
		for process := uint8(1); process <= modelProcesses; process++ {
			// The request of a running process, or a delayed one of a process that has ended.
			if s.runningProcess[member] == process || s.mayRequestAgain[member][process] {
				s.request(member, process, defects, visit)
			}
		}
		s.changeProcess(member, defects, visit)
	}
	visit(s.tick(), false)
	s.restartVoter(false, defects, visit)
	s.restartVoter(true, defects, visit)
}

// request visits the successors in which the voter handles a release, a prepare or a lease request of a process.
func (s leaseState) request(member, process uint8, defects leaseDefects, visit func(next leaseState, violated bool)) {
	next := s
	next.mayRequestAgain[member][process] = true
	if defects.requestsCountAsReads {
		next.lastRead[member] = process
		next.endWaitEarly(defects)
	}
	if next.mayRelease(member, process, defects) {
		released := next
		released.grant, released.grantRemaining, released.leaseRemaining[member][process] = modelGrantee{}, 0, 0
		visit(released, false)
	}
	if next.waitRemaining > 0 || next.leaseActive() && next.grant.member != member {
		if defects.requestsCountAsReads {
			visit(next, false)
		}
		return
	}
	promised, granted := next, next
	promised.recordGrantee(member, process, defects)
	visit(promised, promised.violatesLease(member, process))
	if !defects.recordLate {
		granted.recordGrantee(member, process, defects)
	}
	granted.grant, granted.grantRemaining = modelGrantee{member, process}, modelLeaseTicks
	granted.leaseRemaining[member][process] = modelLeaseTicks
	visit(granted, s.violatesLease(member, process))
}

// mayRelease reports whether a release request of a process ends the grant.
func (s *leaseState) mayRelease(member, process uint8, defects leaseDefects) bool {
	if s.grant.member != member {
		return false
	}
	isHolder := s.grant.process == process && (s.isOnlyGrantee(member, process) || defects.releaseDespiteOthers)
	return isHolder || s.grant.process > 0 && defects.releaseByAnyProcess
}

// changeProcess visits the successors in which a member's process ends or answers a read, or its next process starts.
func (s leaseState) changeProcess(member uint8, defects leaseDefects, visit func(next leaseState, violated bool)) {
	if s.runningProcess[member] > 0 {
		ended := s
		ended.ended[member][s.runningProcess[member]] = true
		ended.runningProcess[member] = 0
		visit(ended, false)
		read := s
		read.lastRead[member] = s.runningProcess[member]
		read.endWaitEarly(defects)
		visit(read, false)
	} else if s.lastProcess[member] < modelProcesses-member {
		started := s
		started.lastProcess[member]++
		started.runningProcess[member] = started.lastProcess[member]
		visit(started, false)
	}
}

// tick advances time equally for leases and for the voter. In fact less of a lease remains at its holder, which measures it from
// before its request.
func (s leaseState) tick() leaseState {
	for member := range s.leaseRemaining {
		for process := range s.leaseRemaining[member] {
			s.leaseRemaining[member][process] = decrement(s.leaseRemaining[member][process])
		}
	}
	s.grantRemaining, s.waitRemaining = decrement(s.grantRemaining), decrement(s.waitRemaining)
	return s
}

// restartVoter visits the successor in which the voter restarts, with its disk lost if loseDisk is set.
func (s leaseState) restartVoter(loseDisk bool, defects leaseDefects, visit func(next leaseState, violated bool)) {
	if loseDisk {
		if s.diskLosses == modelVoterDiskLosses {
			return
		}
		s.diskLosses++
		s.grantees, s.anyOnDisk = processSet{}, defects.lostDiskMeansNoGrants
	}
	if s.voterRestarts == modelVoterRestarts {
		return
	}
	s.voterRestarts++
	s.grant, s.grantRemaining, s.lastRead = modelGrantee{}, 0, [modelMembers]uint8{}
	s.waitRemaining, s.waitMayEndEarly = modelLeaseTicks, s.anyOnDisk
	if defects.noWait {
		s.waitRemaining = 0
	}
	if defects.lostDiskMeansNoGrants && loseDisk {
		s.endWaitEarly(defects)
	}
	visit(s, false)
}

func decrement(remaining uint8) uint8 {
	if remaining > 0 {
		return remaining - 1
	}
	return 0
}

// searchLeases explores all reachable states, or until a lease is violated. It returns the number of states seen, whether a wait
// ended early in one of them, and whether a lease was violated.
func searchLeases(defects leaseDefects) (states int, endedEarly, violated bool) {
	start := leaseState{runningProcess: [modelMembers]uint8{1, 1}, lastProcess: [modelMembers]uint8{1, 1}}
	seen, frontier := map[leaseState]struct{}{start: {}}, []leaseState{start}
	for len(frontier) > 0 && !violated {
		state := frontier[len(frontier)-1]
		frontier = frontier[:len(frontier)-1]
		state.next(defects, func(next leaseState, violatedHere bool) {
			violated, endedEarly = violated || violatedHere, endedEarly || next.waitEndedEarly
			if _, known := seen[next]; !known && !violated {
				seen[next] = struct{}{}
				frontier = append(frontier, next)
			}
		})
	}
	return len(seen), endedEarly, violated
}

// TestLeaseSearch explores every order of events. With all rules no lease is violated, although some waits end early; with any one
// rule disabled the search finds a violation.
func TestLeaseSearch(t *testing.T) {
	for name, test := range map[string]struct {
		defects  leaseDefects
		violated bool
	}{
		"the rules as they are":                               {leaseDefects{}, false},
		"a restarted voter votes at once":                     {leaseDefects{noWait: true}, true},
		"a request counts like an answer to a read":           {leaseDefects{requestsCountAsReads: true}, true},
		"the same process's answer counts":                    {leaseDefects{sameProcessCounts: true}, true},
		"a lost disk counts as nothing granted":               {leaseDefects{lostDiskMeansNoGrants: true}, true},
		"grantees are recorded late":                          {leaseDefects{recordLate: true}, true},
		"the last request replaces the grantees":              {leaseDefects{replaceGrantees: true}, true},
		"a release although others are grantees":              {leaseDefects{releaseDespiteOthers: true}, true},
		"a delayed release ends the lease of a later process": {leaseDefects{releaseByAnyProcess: true}, true},
		"one grantee that has ended is enough":                {leaseDefects{oneEndedSuffices: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			states, endedEarly, violated := searchLeases(test.defects)
			t.Logf("%d states, a wait ended early: %v, a lease was violated: %v", states, endedEarly, violated)
			if violated != test.violated {
				t.Errorf("a lease was violated: %v", violated)
			}
			if !endedEarly && !violated {
				t.Error("no wait ended early, so the search doesn't cover that rule")
			}
		})
	}
}
