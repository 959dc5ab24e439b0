package configclient

import (
	"testing"

	"snowflow/internal/monotonic"
)

// The revocation search is a model checker. It explores one proxy that polls two configuration stores, of which at most one has a lease
// as primary, while an operator revokes a tenant's key. Polls and responses are delayed and lost, the proxy is cut off, frozen (it does
// nothing while time passes) and restarted, its clock steps back, and the other store becomes primary.
//
// It checks that no request with that key runs if it is sent more than modelRevocationTicks after the revocation is acknowledged.
//
// Not covered: that no two stores have a lease at once and that a new primary knows every acknowledged version, which the searches of
// package consensus and package replication check; the proxy on the backend's host, because the time limit counts until the request
// is sent, which is before its key is checked.

const (
	modelStores = 2
	// modelRevocationTicks is how long a revocation may take to become effective. modelKeyLeaseTicks is the length of the key lease,
	// which is shorter by a margin.
	modelRevocationTicks = 4
	modelKeyLeaseTicks   = 3
	modelPrimaryTicks    = 2 // length of the primary's lease
	modelRestarts        = 2 // maximum number of restarts of the proxy
	modelElections       = 2 // maximum number of elections
	// modelNow is the current time in every state: a tick decreases the recorded times instead. Times more than modelHorizon before it
	// are not distinguished.
	modelNow     = 100
	modelHorizon = 2 * modelRevocationTicks
)

// pollStage is the state of the proxy's poll.
type pollStage uint8

const (
	noPoll pollStage = iota
	pollSent
	pollAnswered
)

// revocationState is one state of the model. It is used as a map key.
type revocationState struct {
	primary      uint8             // the store that was elected last
	primaryLease uint8             // remaining ticks of its lease
	knows        [modelStores]bool // whether each store has the version without the key
	acknowledged bool              // whether the revocation is acknowledged
	sinceAck     uint8             // ticks since the acknowledgement, at most modelHorizon

	// The proxy's memory.
	tenantKeyLease keyLease // the type under test
	hasAdopted     bool     // the proxy has adopted a version
	revoked        bool     // that version is the one without the key
	wentBack       bool     // the proxy has detected that its clock went back

	stage         pollStage
	requestedAt   monotonic.Micros
	answerRevoked bool // the response has the version without the key
	answerPrimary bool // the response is from a primary

	restarts, elections uint8
	clockStepped        bool
	leaseExpired        bool // a request was rejected because the lease had expired, so the search covers that rule
}

// revocationDefects selects rules that are left out, to show that the search detects it.
type revocationDefects struct {
	noLease       bool // keys are valid forever
	fromAnswer    bool // the lease counts from the response instead of the poll
	anyStore      bool // a response of a store that isn't the primary also confirms the version
	unnoticedStep bool // the proxy doesn't detect that its clock went back
	electedAtOnce bool // a primary is elected while the former primary still has a lease
	leaseTooLong  bool // the lease is longer than a revocation may take
}

// next visits every state that may follow. violated is true if a request with the revoked key ran too late in that transition.
func (s revocationState) next(defects revocationDefects, visit func(next revocationState, violated bool)) {
	visit(s.tick(), false)
	s.changeStores(defects, visit)
	s.poll(defects, visit)
	s.disturbProxy(defects, visit)
	s.sendRequest(defects, visit)
}

// tick advances the time of all processes by one tick.
func (s revocationState) tick() revocationState {
	s.primaryLease = max(s.primaryLease, 1) - 1
	if s.acknowledged {
		s.sinceAck = min(s.sinceAck+1, modelHorizon)
	}
	s.tenantKeyLease.confirmedAt = max(s.tenantKeyLease.confirmedAt-1, modelNow-modelHorizon)
	s.requestedAt = max(s.requestedAt-1, modelNow-modelHorizon)
	return s
}

// changeStores renews the primary's lease, acknowledges the revocation at the primary, or elects the other store.
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
		elected.knows[elected.primary] = s.acknowledged // a new primary reads the versions that a majority has
		visit(elected, false)
	}
}

// poll sends a poll, lets one of the stores respond, delivers the response, or loses the poll or the response.
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

// receive delivers the response to the proxy's poll.
func (s revocationState) receive(defects revocationDefects) revocationState {
	if s.answerPrimary || defects.anyStore {
		s.hasAdopted, s.revoked = true, s.revoked || s.answerRevoked
		requestedAt := s.requestedAt
		if defects.fromAnswer {
			requestedAt = modelNow
		}
		s.tenantKeyLease.confirm(requestedAt)
	}
	s.forgetPoll()
	return s
}

func (s *revocationState) forgetPoll() {
	s.stage, s.requestedAt, s.answerRevoked, s.answerPrimary = noPoll, modelNow-modelHorizon, false, false
}

// disturbProxy restarts the proxy or steps its clock back. The clock watcher detects the step.
func (s revocationState) disturbProxy(defects revocationDefects, visit func(next revocationState, violated bool)) {
	if s.restarts < modelRestarts {
		restarted := s
		restarted.restarts++
		restarted.tenantKeyLease = keyLease{length: s.tenantKeyLease.length}
		restarted.hasAdopted, restarted.revoked, restarted.wentBack = false, false, false
		restarted.forgetPoll()
		visit(restarted, false)
	}
	if !s.clockStepped {
		stepped := s
		stepped.clockStepped, stepped.wentBack = true, !defects.unnoticedStep
		stepped.tenantKeyLease.confirmedAt = min(s.tenantKeyLease.confirmedAt+modelRevocationTicks, modelNow)
		visit(stepped, false)
	}
}

// sendRequest sends a client's request with the key at the current time.
func (s revocationState) sendRequest(defects revocationDefects, visit func(next revocationState, violated bool)) {
	if !s.hasAdopted || s.revoked {
		return // rejected: there is no version, or it is the one without the key
	}
	if !defects.noLease && (s.wentBack || s.tenantKeyLease.remaining(modelNow) == 0) {
		s.leaseExpired = true
		visit(s, false)
		return
	}
	visit(s, s.acknowledged && s.sinceAck > modelRevocationTicks)
}

// searchRevocations explores every reachable state until a violation is found.
func searchRevocations(defects revocationDefects) (states int, leaseExpired, violated bool) {
	start := revocationState{primaryLease: modelPrimaryTicks, tenantKeyLease: keyLease{length: modelKeyLeaseTicks}}
	if defects.leaseTooLong {
		start.tenantKeyLease.length = modelRevocationTicks + 2
	}
	start.forgetPoll()
	seen, frontier := map[revocationState]struct{}{start: {}}, []revocationState{start}
	for len(frontier) > 0 && !violated {
		state := frontier[len(frontier)-1]
		frontier = frontier[:len(frontier)-1]
		state.next(defects, func(next revocationState, violatedHere bool) {
			violated, leaseExpired = violated || violatedHere, leaseExpired || next.leaseExpired
			if _, known := seen[next]; !known && !violated {
				seen[next] = struct{}{}
				frontier = append(frontier, next)
			}
		})
	}
	return len(seen), leaseExpired, violated
}

// TestRevocationSearch explores every order of events. With all rules in place no key is relied on for too long, and some leases
// expire; if one rule is left out, the search detects a violation.
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
			states, leaseExpired, violated := searchRevocations(test.defects)
			t.Logf("%d states; a lease expired: %v; a key was relied on for too long: %v", states, leaseExpired, violated)
			if violated != test.violated {
				t.Errorf("a key was relied on for too long: %v", violated)
			}
			if !leaseExpired && !violated {
				t.Error("no lease expired")
			}
		})
	}
}
