package configclient

import (
	"testing"

	"snowflow/internal/monotonic"
)

// The revocation search is a model checker. It explores one proxy that polls two configuration stores, of which one at a time has a
// lease as primary, while an operator takes a tenant's key away. Polls and answers are delayed and lost, the proxy is cut off, frozen
// (it does nothing while time passes) and restarted, its clock steps back, and the other store becomes primary.
//
// Checked: no request by that key runs that is sent later than a revocation may take after its acknowledgement.
//
// Left out: that no two stores have a lease at once and that a new primary knows every acknowledged version, which the searches of
// package consensus and package replication check; the proxy beside the backend, since a request is sent before its key is judged.

const (
	modelStores = 2
	// modelRevocationTicks is how long a revocation may take, and modelKeyLeaseTicks the lease that leaves a margin.
	modelRevocationTicks = 4
	modelKeyLeaseTicks   = 3
	modelPrimaryTicks    = 2
	modelRestarts        = 2
	modelElections       = 2
	// modelNow is the time in each state: instead of the clock, recorded times move. Those more than modelPast ago count alike.
	modelNow  = 100
	modelPast = 2 * modelRevocationTicks
)

// pollStage is where the proxy's poll is.
type pollStage uint8

const (
	noPoll pollStage = iota
	pollSent
	pollAnswered
)

// revocationState is one state of the model. It is the key of a map.
type revocationState struct {
	primary      uint8 // the store that was elected last
	primaryLease uint8 // what remains of its lease
	knows        [modelStores]bool
	acknowledged bool
	sinceAck     uint8 // ticks, up to modelPast

	// The proxy's memory.
	keys       keyLease // the real one
	hasAdopted bool     // a version, and with revoked the one without the key
	revoked    bool
	wentBack   bool // its clock did, as it knows

	stage         pollStage
	requestedAt   monotonic.Micros
	answerRevoked bool // the answer's version is the one without the key
	answerPrimary bool // a primary answered

	restarts, elections uint8
	stepped             bool
	lapsed              bool // a request was rejected for want of a lease, so the search covers that rule
}

// revocationDefects are rules that may be left out, to show that the search detects it.
type revocationDefects struct {
	noLease       bool // keys are relied on for good
	fromAnswer    bool // the lease counts from the answer in place of the poll
	anyStore      bool // the answer of a store that isn't the primary confirms too
	unnoticedStep bool // a clock that went back isn't noticed
	electedAtOnce bool // a primary is elected while the former has a lease
	leaseTooLong  bool // the lease is longer than a revocation may take
}

// next visits every state that may follow, and whether a request ran that must not have on the way.
func (s revocationState) next(defects revocationDefects, visit func(next revocationState, violated bool)) {
	visit(s.tick(), false)
	s.changeStores(defects, visit)
	s.poll(defects, visit)
	s.disturbProxy(defects, visit)
	s.sendRequest(defects, visit)
}

// tick lets time pass alike for all.
func (s revocationState) tick() revocationState {
	s.primaryLease = max(s.primaryLease, 1) - 1
	if s.acknowledged {
		s.sinceAck = min(s.sinceAck+1, modelPast)
	}
	s.keys.confirmedAt = max(s.keys.confirmedAt-1, modelNow-modelPast)
	s.requestedAt = max(s.requestedAt-1, modelNow-modelPast)
	return s
}

// changeStores renews the primary's lease, elects a primary, or has it acknowledge the revocation.
func (s revocationState) changeStores(defects revocationDefects, visit func(next revocationState, violated bool)) {
	if s.primaryLease > 0 {
		renewed := s
		renewed.primaryLease = modelPrimaryTicks
		visit(renewed, false)
		if !s.acknowledged {
			revoked := s
			revoked.knows[s.primary], revoked.acknowledged = true, true
			visit(revoked, false)
		}
	}
	if s.elections < modelElections && (s.primaryLease == 0 || defects.electedAtOnce) {
		elected := s
		elected.elections++
		elected.primary = (s.primary + 1) % modelStores
		elected.primaryLease = modelPrimaryTicks
		elected.knows[elected.primary] = s.acknowledged // it has read what a majority has
		visit(elected, false)
	}
}

// poll sends a poll, has one of the stores answer it, or delivers or loses the answer.
func (s revocationState) poll(defects revocationDefects, visit func(next revocationState, violated bool)) {
	switch s.stage {
	case noPoll:
		sent := s
		sent.stage, sent.requestedAt = pollSent, modelNow
		visit(sent, false)
	case pollSent:
		for store := range uint8(modelStores) {
			answered := s
			answered.stage, answered.answerRevoked = pollAnswered, s.knows[store]
			answered.answerPrimary = store == s.primary && s.primaryLease > 0 || defects.electedAtOnce
			visit(answered, false)
		}
	case pollAnswered:
		visit(s.receive(defects), false)
	}
	if s.stage != noPoll {
		lost := s
		lost.forgetPoll()
		visit(lost, false)
	}
}

// receive has the proxy take the answer to its poll.
func (s revocationState) receive(defects revocationDefects) revocationState {
	if s.answerPrimary || defects.anyStore {
		s.hasAdopted, s.revoked = true, s.revoked || s.answerRevoked
		requestedAt := s.requestedAt
		if defects.fromAnswer {
			requestedAt = modelNow
		}
		s.keys.confirm(requestedAt)
	}
	s.forgetPoll()
	return s
}

func (s *revocationState) forgetPoll() {
	s.stage, s.requestedAt, s.answerRevoked, s.answerPrimary = noPoll, modelNow-modelPast, false, false
}

// disturbProxy restarts the proxy or steps its clock back. The watch of the clock notices a step.
func (s revocationState) disturbProxy(defects revocationDefects, visit func(next revocationState, violated bool)) {
	if s.restarts < modelRestarts {
		restarted := s
		restarted.restarts++
		restarted.keys = keyLease{length: s.keys.length}
		restarted.hasAdopted, restarted.revoked, restarted.wentBack = false, false, false
		restarted.forgetPoll()
		visit(restarted, false)
	}
	if !s.stepped {
		stepped := s
		stepped.stepped, stepped.wentBack = true, !defects.unnoticedStep
		stepped.keys.confirmedAt = min(s.keys.confirmedAt+modelRevocationTicks, modelNow)
		visit(stepped, false)
	}
}

// sendRequest has a client send a request by the key right now.
func (s revocationState) sendRequest(defects revocationDefects, visit func(next revocationState, violated bool)) {
	if !s.hasAdopted || s.revoked {
		return // rejected, as by a version without the key
	}
	if !defects.noLease && (s.wentBack || s.keys.remaining(modelNow) == 0) {
		s.lapsed = true
		visit(s, false)
		return
	}
	visit(s, s.acknowledged && s.sinceAck > modelRevocationTicks)
}

// searchRevocations explores every state.
func searchRevocations(defects revocationDefects) (states int, lapsed, violated bool) {
	start := revocationState{primaryLease: modelPrimaryTicks, keys: keyLease{length: modelKeyLeaseTicks}}
	if defects.leaseTooLong {
		start.keys.length = modelRevocationTicks + 2
	}
	start.forgetPoll()
	seen, frontier := map[revocationState]struct{}{start: {}}, []revocationState{start}
	for len(frontier) > 0 && !violated {
		state := frontier[len(frontier)-1]
		frontier = frontier[:len(frontier)-1]
		state.next(defects, func(next revocationState, violatedHere bool) {
			violated, lapsed = violated || violatedHere, lapsed || next.lapsed
			if _, known := seen[next]; !known && !violated {
				seen[next] = struct{}{}
				frontier = append(frontier, next)
			}
		})
	}
	return len(seen), lapsed, violated
}

// TestRevocationSearch explores every order of events: with the rules as they are no key is relied on for too long, though leases
// end; with each rule left out the search detects it.
func TestRevocationSearch(t *testing.T) {
	for name, test := range map[string]struct {
		defects  revocationDefects
		violated bool
	}{
		"the rules as they are":                        {revocationDefects{}, false},
		"keys are relied on for good":                  {revocationDefects{noLease: true}, true},
		"the lease counts from the answer":             {revocationDefects{fromAnswer: true}, true},
		"a store that isn't the primary confirms":      {revocationDefects{anyStore: true}, true},
		"a clock that went back isn't noticed":         {revocationDefects{unnoticedStep: true}, true},
		"the former primary answers after an election": {revocationDefects{electedAtOnce: true}, true},
		"the lease is too long":                        {revocationDefects{leaseTooLong: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			states, lapsed, violated := searchRevocations(test.defects)
			t.Logf("%d states, a lease ended %v, a key relied on for too long %v", states, lapsed, violated)
			if violated != test.violated {
				t.Errorf("a key was relied on for too long: %v", violated)
			}
			if !lapsed && !violated {
				t.Error("no lease ever ended")
			}
		})
	}
}
