package invariants

import (
	"slices"

	"snowflow/internal/monotonic"
)

// The tolerances of the breaker rule: observers read the records at intervals, and see a write some time after it is stamped.
const (
	// maxObservationGap is the longest pause between two readings after which nothing is concluded about the time between.
	maxObservationGap = 400 * monotonic.Millisecond
	// writeDelay bounds the time from the timestamp of a write until its effect is observed.
	writeDelay = 1200 * monotonic.Millisecond
	// leaseSweepSlack is how much longer than its lease a probe may be seen: leases are ended by a periodic sweep, and the
	// leader's clock may stand still during a failover.
	leaseSweepSlack = 3 * monotonic.Second
)

// The states of a breaker record.
const (
	closed   = "closed"
	open     = "open"
	halfOpen = "half_open"
)

// breakerState is one state of one record, from its first reading to its last.
type breakerState struct {
	BreakerObservation                    // the first reading
	lastSeen           BreakerObservation // the last reading
	previousAt         monotonic.Micros   // the time of the last reading of the state before; zero if there was none
	returned           int                // the most probe leases that were seen given back
	continuous         bool               // read without a gap while no proxy went by a verdict of its own
}

func newBreakerState(reading BreakerObservation, previousAt monotonic.Micros) *breakerState {
	return &breakerState{
		BreakerObservation: reading,
		lastSeen:           reading,
		previousAt:         previousAt,
		returned:           reading.Returned,
		continuous:         !reading.LocalDecisions,
	}
}

// extend adds a later reading of the same state.
func (s *breakerState) extend(reading BreakerObservation) {
	s.continuous = s.continuous && !reading.LocalDecisions && reading.At-s.lastSeen.At <= maxObservationGap
	s.lastSeen = reading
	s.returned = max(s.returned, reading.Returned)
}

// checkBreakerRecords is rule 10. A record's version never falls, and its state changes only with its version. The slots of a
// half-open record add up. An open record stays open for its whole wait, and closes only by probes or when it expires.
// Backends see no more probes than are permitted and were given back. No probe outlives its lease.
func checkBreakerRecords(history *History) (findings []Finding, seen int) {
	readings, names := map[string][]BreakerObservation{}, []string{}
	for _, reading := range history.Breakers {
		if readings[reading.Service] == nil {
			names = append(names, reading.Service)
		}
		readings[reading.Service] = append(readings[reading.Service], reading)
	}
	for _, name := range names {
		states, violations := breakerStates(readings[name])
		findings = append(findings, violations...)
		findings = append(findings, checkProbeLeases(readings[name])...)
		for index, state := range states {
			if index > 0 && states[index-1].State == open && state.Version == states[index-1].Version+1 {
				findings = append(findings, checkAfterOpen(states[index-1], state)...)
			}
			if state.State == halfOpen && state.continuous {
				findings = append(findings, checkProbeCalls(history, state)...)
			}
		}
	}
	return findings, len(history.Breakers)
}

// breakerStates groups the readings of one record by its states, and returns what the readings violate by themselves.
func breakerStates(readings []BreakerObservation) (states []*breakerState, findings []Finding) {
	for _, reading := range readings {
		findings = append(findings, checkSlots(reading)...)
		if len(states) == 0 {
			states = append(states, newBreakerState(reading, 0))
			continue
		}
		current := states[len(states)-1]
		switch {
		case reading.Version < current.Version:
			findings = append(findings, ruleViolation(ruleBreakers, "%s fell from version %d to %d at %d (seen at %s)",
				reading.Service, current.Version, reading.Version, reading.At, reading.Source))
		case reading.Version == current.Version && reading.State != current.State:
			findings = append(findings, ruleViolation(ruleBreakers, "%s is %s and %s under version %d",
				reading.Service, current.State, reading.State, reading.Version))
		case reading.Version == current.Version:
			current.extend(reading)
		default:
			states = append(states, newBreakerState(reading, current.lastSeen.At))
		}
	}
	return states, findings
}

// checkSlots checks that every probe slot of a half-open record is free, leased or used, and that every granted lease is
// accounted for.
func checkSlots(reading BreakerObservation) (findings []Finding) {
	if reading.State != halfOpen {
		return nil
	}
	leases := len(reading.ProbeLeases)
	if reading.Budget+leases+reading.ProbeResults != reading.Permitted {
		findings = append(findings, ruleViolation(ruleBreakers, "%s at %d: budget %d + leases %d + results %d is not %d",
			reading.Service, reading.At, reading.Budget, leases, reading.ProbeResults, reading.Permitted))
	}
	if reading.Granted-reading.Returned != leases+reading.ProbeResults {
		findings = append(findings, ruleViolation(ruleBreakers, "%s at %d: %d granted less %d returned is not %d leases + %d results",
			reading.Service, reading.At, reading.Granted, reading.Returned, leases, reading.ProbeResults))
	}
	return findings
}

// checkAfterOpen checks the state that follows an open one.
func checkAfterOpen(before, after *breakerState) (findings []Finding) {
	if after.State == closed && after.EnteredAt < before.lastSeen.ExpiresAt {
		findings = append(findings, ruleViolation(ruleBreakers, "%s closed at %d without a probe", after.Service, after.At))
	}
	if after.State != halfOpen {
		return findings
	}
	if waited := after.EnteredAt - before.EnteredAt; waited < before.Wait {
		findings = append(findings, ruleViolation(ruleBreakers, "%s waited %d of %d in open before it was half open at %d",
			after.Service, waited, before.Wait, after.At))
	}
	// By the observer's own clock. The first reading as open came after the write, which may have waited for a slow disk. So the
	// wait is counted from the reading before, which was not much later than the timestamp of the write.
	if waited := after.At - before.previousAt; before.previousAt > 0 && waited < before.Wait-writeDelay {
		findings = append(findings, ruleViolation(ruleBreakers, "%s was open for %d at the most, not %d, before it was half open at %d",
			after.Service, waited, before.Wait, after.At))
	}
	return findings
}

// checkProbeCalls counts the requests that reached the service's backends in a half-open state, while every proxy went by the
// shared record.
func checkProbeCalls(history *History, state *breakerState) []Finding {
	ran := 0
	for _, run := range history.BackendRequests {
		if run.Service == state.Service && run.At > state.At && run.At < state.lastSeen.At {
			ran++
		}
	}
	if ran <= state.Permitted+state.returned {
		return nil
	}
	return []Finding{ruleViolation(ruleBreakers, "%s: %d calls reached its backends while half open from %d to %d, %d were permitted and %d given back",
		state.Service, ran, state.At, state.lastSeen.At, state.Permitted, state.returned)}
}

// reportedProbe replaces the time at which a probe was first seen once its violation has been reported.
const reportedProbe = monotonic.Micros(-1)

// checkProbeLeases finds probes that outlive their lease while the record was read without a gap.
func checkProbeLeases(readings []BreakerObservation) (findings []Finding) {
	firstSeen, last := map[string]monotonic.Micros{}, monotonic.Micros(0)
	for _, reading := range readings {
		if reading.At-last > maxObservationGap {
			clear(firstSeen)
		}
		last = reading.At
		for id := range firstSeen {
			if !slices.Contains(reading.ProbeLeases, id) {
				delete(firstSeen, id)
			}
		}
		for _, id := range reading.ProbeLeases {
			since, known := firstSeen[id]
			switch {
			case !known:
				firstSeen[id] = reading.At
			case since != reportedProbe && reading.At-since > reading.ProbeLease+leaseSweepSlack:
				findings = append(findings, ruleViolation(ruleBreakers, "%s: probe %s is out for %d at %d, its lease was %d",
					reading.Service, id, reading.At-since, reading.At, reading.ProbeLease))
				firstSeen[id] = reportedProbe
			}
		}
	}
	return findings
}
