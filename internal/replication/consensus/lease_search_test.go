package consensus

import "testing"

// The lease search is a model checker. It explores one voter's leases: the voter grants them to processes of two members, restarts,
// loses its disk, and reads the members; those restart too, and requests of ended processes may still arrive.
//
// Checked: while a process that hasn't ended has a lease granted here, nobody else is promised or granted anything here. Any two
// quorums share a voter, so no two processes then hold leases by quorums at once; that is checked by the quorum package's tests.
//
// Left out: clocks that jump (a jump prevents the wait from being cut short), and message delays: reads happen at an instant,
// which loses nothing, since a process that has ended stays so.

const (
	modelMembers        = 2
	modelLeaseTicks     = 2
	modelProcesses      = 3 // of the first member; the second has one less
	modelVoterRestarts  = 2
	modelVoterDiskLoses = 1
)

// modelGrantee is a process of a member. Process 0 is none.
type modelGrantee struct{ member, process uint8 }

// processSet is a set of processes, by member and process.
type processSet [modelMembers][modelProcesses + 1]bool

// leaseState is one state of the model. It is the key of a map.
type leaseState struct {
	running     [modelMembers]uint8                     // the present process of each member, 0 while it is down
	lastProcess [modelMembers]uint8                     // its newest process
	remaining   [modelMembers][modelProcesses + 1]uint8 // what really remains of leases granted here

	// The voter's disk.
	grantees  processSet
	anyOnDisk bool
	// The voter's memory.
	grant     modelGrantee
	until     uint8               // what remains of the grant
	wait      uint8               // nothing is promised before it ends
	inherited bool                // the wait stands for an earlier process's grants, which are recorded on disk
	seen      [modelMembers]uint8 // the process that answered this voter process's last read

	hasRequested              processSet // processes whose requests may arrive once more
	ended                     processSet
	cutShort                  bool // a wait was cut short, so the search covers that rule
	voterRestarts, diskLosses uint8
}

// leaseDefects are rules that may be left out, to show that the search detects it.
type leaseDefects struct {
	noWait          bool // a restarted voter votes at once
	requestsCount   bool // a request of another process counts like an answer to a read
	anyAnswer       bool // any answer under a grantee's name counts, also of the same process
	blankVotes      bool // a lost disk counts as nothing granted
	recordLate      bool // grantees are recorded only with the next promise
	replaceGrantees bool // a request replaces all grantees although a lease stands
	oneEnded        bool // one grantee that has ended is enough
	anyRelease      bool // a release counts although other processes may hold leases too
	lateRelease     bool // a release counts for any process of its member that holds the lease
}

func (s *leaseState) leaseStands() bool { return s.grant.process > 0 && s.until > 0 }

// isOnlyGrantee reports whether a process is the only grantee on disk.
func (s *leaseState) isOnlyGrantee(member, process uint8) bool {
	var only processSet
	only[member][process] = true
	return s.grantees == only
}

// recordGrantee writes a grantee to disk.
func (s *leaseState) recordGrantee(member, process uint8, defects leaseDefects) {
	if !s.leaseStands() || defects.replaceGrantees {
		s.grantees = processSet{}
	}
	s.grantees[member][process], s.anyOnDisk = true, true
}

// endInheritedWait cuts the wait short if every grantee is known to have ended.
func (s *leaseState) endInheritedWait(defects leaseDefects) {
	if !s.inherited {
		return
	}
	some, all := false, true
	for member, processes := range s.grantees {
		for process, recorded := range processes {
			if !recorded {
				continue
			}
			hasEnded := s.seen[member] != 0 && (s.seen[member] != uint8(process) || defects.anyAnswer)
			some, all = some || hasEnded, all && hasEnded
		}
	}
	if all || defects.oneEnded && some {
		s.cutShort = s.cutShort || s.wait > 0
		s.wait, s.inherited = 0, false
	}
}

// undercut reports whether serving a process undercuts the lease of another one that is running.
func (s *leaseState) undercut(member, process uint8) bool {
	for other := range uint8(modelMembers) {
		for one := range uint8(modelProcesses + 1) {
			isLeased := s.remaining[other][one] > 0 && s.running[other] == one
			if isLeased && (other != member || one != process) && !s.ended[member][process] {
				return true
			}
		}
	}
	return false
}

// next visits every state that may follow, and whether a lease was undercut on the way.
func (s leaseState) next(defects leaseDefects, visit func(next leaseState, undercut bool)) {
	for member := range uint8(modelMembers) {
		for process := uint8(1); process <= modelProcesses; process++ {
			// Requests of the present process, and delayed ones of those that ended.
			if s.running[member] == process || s.hasRequested[member][process] {
				s.request(member, process, defects, visit)
			}
		}
		s.changeProcess(member, defects, visit)
	}
	visit(s.tick(), false)
	s.restartVoter(false, defects, visit)
	s.restartVoter(true, defects, visit)
}

// request has a process request a release, a promise and a lease.
func (s leaseState) request(member, process uint8, defects leaseDefects, visit func(next leaseState, undercut bool)) {
	next := s
	next.hasRequested[member][process] = true
	if defects.requestsCount {
		next.seen[member] = process
		next.endInheritedWait(defects)
	}
	if next.mayRelease(member, process, defects) {
		released := next
		released.grant, released.until, released.remaining[member][process] = modelGrantee{}, 0, 0
		visit(released, false)
	}
	if next.wait > 0 || next.leaseStands() && next.grant.member != member {
		if defects.requestsCount {
			visit(next, false)
		}
		return
	}
	promised, granted := next, next
	promised.recordGrantee(member, process, defects)
	visit(promised, promised.undercut(member, process))
	if !defects.recordLate {
		granted.recordGrantee(member, process, defects)
	}
	granted.grant, granted.until = modelGrantee{member, process}, modelLeaseTicks
	granted.remaining[member][process] = modelLeaseTicks
	visit(granted, s.undercut(member, process))
}

// mayRelease reports whether a release by a process ends the grant.
func (s *leaseState) mayRelease(member, process uint8, defects leaseDefects) bool {
	if s.grant.member != member {
		return false
	}
	isHolder := s.grant.process == process && (s.isOnlyGrantee(member, process) || defects.anyRelease)
	return isHolder || s.grant.process > 0 && defects.lateRelease
}

// changeProcess has a member's process end or answer a read, or its next process start.
func (s leaseState) changeProcess(member uint8, defects leaseDefects, visit func(next leaseState, undercut bool)) {
	if s.running[member] > 0 {
		ended := s
		ended.ended[member][s.running[member]] = true
		ended.running[member] = 0
		visit(ended, false)
		read := s
		read.seen[member] = s.running[member]
		read.endInheritedWait(defects)
		visit(read, false)
	} else if s.lastProcess[member] < modelProcesses-member {
		started := s
		started.lastProcess[member]++
		started.running[member] = started.lastProcess[member]
		visit(started, false)
	}
}

// tick lets time pass alike for the leases and for the voter. The holder of a lease counts from before its request, so less remains
// there.
func (s leaseState) tick() leaseState {
	for member := range s.remaining {
		for process := range s.remaining[member] {
			s.remaining[member][process] = decrement(s.remaining[member][process])
		}
	}
	s.until, s.wait = decrement(s.until), decrement(s.wait)
	return s
}

// restartVoter restarts the voter, perhaps with its disk lost.
func (s leaseState) restartVoter(loseDisk bool, defects leaseDefects, visit func(next leaseState, undercut bool)) {
	if loseDisk {
		if s.diskLosses == modelVoterDiskLoses {
			return
		}
		s.diskLosses++
		s.grantees, s.anyOnDisk = processSet{}, defects.blankVotes
	}
	if s.voterRestarts == modelVoterRestarts {
		return
	}
	s.voterRestarts++
	s.grant, s.until, s.seen = modelGrantee{}, 0, [modelMembers]uint8{}
	s.wait, s.inherited = modelLeaseTicks, s.anyOnDisk
	if defects.noWait {
		s.wait = 0
	}
	if defects.blankVotes && loseDisk {
		s.endInheritedWait(defects)
	}
	visit(s, false)
}

func decrement(remaining uint8) uint8 {
	if remaining > 0 {
		return remaining - 1
	}
	return 0
}

// searchLeases explores every state.
func searchLeases(defects leaseDefects) (states int, cutShort, undercut bool) {
	start := leaseState{running: [modelMembers]uint8{1, 1}, lastProcess: [modelMembers]uint8{1, 1}}
	seen, frontier := map[leaseState]struct{}{start: {}}, []leaseState{start}
	for len(frontier) > 0 && !undercut {
		state := frontier[len(frontier)-1]
		frontier = frontier[:len(frontier)-1]
		state.next(defects, func(next leaseState, undercutHere bool) {
			undercut, cutShort = undercut || undercutHere, cutShort || next.cutShort
			if _, known := seen[next]; !known && !undercut {
				seen[next] = struct{}{}
				frontier = append(frontier, next)
			}
		})
	}
	return len(seen), cutShort, undercut
}

// TestLeaseSearch explores every order of events: with the rules as they are no lease is undercut, though waits are cut short; with
// each rule left out the search detects it.
func TestLeaseSearch(t *testing.T) {
	for name, test := range map[string]struct {
		defects  leaseDefects
		undercut bool
	}{
		"the rules as they are":                               {leaseDefects{}, false},
		"a restarted voter votes at once":                     {leaseDefects{noWait: true}, true},
		"a request counts like an answer to a read":           {leaseDefects{requestsCount: true}, true},
		"the same process's answer counts":                    {leaseDefects{anyAnswer: true}, true},
		"a lost disk counts as nothing granted":               {leaseDefects{blankVotes: true}, true},
		"grantees are recorded late":                          {leaseDefects{recordLate: true}, true},
		"the last request replaces the grantees":              {leaseDefects{replaceGrantees: true}, true},
		"a release although others are grantees":              {leaseDefects{anyRelease: true}, true},
		"a delayed release ends the lease of a later process": {leaseDefects{lateRelease: true}, true},
		"one grantee that has ended is enough":                {leaseDefects{oneEnded: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			states, cutShort, undercut := searchLeases(test.defects)
			t.Logf("%d states, a wait cut short %v, a lease undercut %v", states, cutShort, undercut)
			if undercut != test.undercut {
				t.Errorf("a lease was undercut: %v", undercut)
			}
			if !cutShort && !undercut {
				t.Error("no wait was ever cut short")
			}
		})
	}
}
