package invariants

import (
	"slices"

	"snowflow/internal/monotonic"
)

// The tolerances of the breaker rule: observers read the records at intervals and see a write some time after its timestamp.
const (
	// maxObservationGap is the longest interval between two readings that still allows conclusions about the time between them.
	maxObservationGap = 400 * monotonic.Millisecond
	// writeDelay bounds the time from the timestamp of a write to the first reading that shows it.
	writeDelay = 1200 * monotonic.Millisecond
	// leaseSweepSlack is how long after its expiry a probe lease may still be in the record: a periodic sweep removes expired leases,
	// and the leader clock may stand still during a failover.
	leaseSweepSlack = 3 * monotonic.Second
)

// The states of a breaker record.
const (
	closed   = "closed"
	open     = "open"
	halfOpen = "half_open"
)

// breakerState covers the consecutive readings of one record in the same version.
type breakerState struct {
	BreakerObservation                    // the first reading
	lastSeen           BreakerObservation // the last reading
	previousSeenAt     monotonic.Micros   // the time of the last reading of the previous state; zero if there is none
	maxReturned        int                // the highest number of returned probe leases in any reading
	continuous         bool               // read without gaps, and no proxy could decide by its own window
}

func newBreakerState(reading BreakerObservation, previousSeenAt monotonic.Micros) *breakerState {
	return &breakerState{
		BreakerObservation: reading,
		lastSeen:           reading,
		previousSeenAt:     previousSeenAt,
		maxReturned:        reading.Returned,
		continuous:         !reading.LocalDecisions,
	}
}

// extend adds a later reading of the same state.
func (s *breakerState) extend(reading BreakerObservation) {
	s.continuous = s.continuous && !reading.LocalDecisions && reading.At-s.lastSeen.At <= maxObservationGap
	s.lastSeen = reading
	s.maxReturned = max(s.maxReturned, reading.Returned)
}

// checkBreakerRecords is rule 10. A record's version never decreases, and its state changes only together with its version. The
// probe slots of a half-open record add up. An open record stays open for its whole wait, and it closes only through probes or when
// it expires. Backends receive no more probes than were permitted, plus the returned ones. No probe outlives its lease.
func checkBreakerRecords(history *History) (findings []Finding, examined int) {
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

// breakerStates groups the readings of one record by state, and returns the violations in single readings and between two of them.
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
			findings = append(findings, ruleViolation(ruleBreakers, "%s went back from version %d to %d at %d (read from %s)",
				reading.Service, current.Version, reading.Version, reading.At, reading.Source))
		case reading.Version == current.Version && reading.State != current.State:
			findings = append(findings, ruleViolation(ruleBreakers, "%s is both %s and %s in version %d",
				reading.Service, current.State, reading.State, reading.Version))
		case reading.Version == current.Version:
			current.extend(reading)
		default:
			states = append(states, newBreakerState(reading, current.lastSeen.At))
		}
	}
	return states, findings
}

// checkSlots checks that every probe slot of a half-open record is free, leased or used, and that every granted lease is returned,
// outstanding or has a result.
func checkSlots(reading BreakerObservation) (findings []Finding) {
	if reading.State != halfOpen {
		return nil
	}
	leases := len(reading.ProbeLeases)
	if reading.Budget+leases+reading.ProbeResults != reading.Permitted {
		findings = append(findings, ruleViolation(ruleBreakers, "%s at %d: budget %d + leases %d + results %d is not the %d permitted probes",
			reading.Service, reading.At, reading.Budget, leases, reading.ProbeResults, reading.Permitted))
	}
	if reading.Granted-reading.Returned != leases+reading.ProbeResults {
		findings = append(findings, ruleViolation(ruleBreakers, "%s at %d: %d granted - %d returned is not %d leases + %d results",
			reading.Service, reading.At, reading.Granted, reading.Returned, leases, reading.ProbeResults))
	}
	return findings
}

// checkAfterOpen checks the state that directly follows an open state.
func checkAfterOpen(before, after *breakerState) (findings []Finding) {
	if after.State == closed && after.EnteredAt < before.lastSeen.ExpiresAt {
		findings = append(findings, ruleViolation(ruleBreakers, "%s closed at %d without a probe", after.Service, after.At))
	}
	if after.State != halfOpen {
		return findings
	}
	if waited := after.EnteredAt - before.EnteredAt; waited < before.Wait {
		findings = append(findings, ruleViolation(ruleBreakers, "%s stayed open for only %d of %d before it became half-open at %d",
			after.Service, waited, before.Wait, after.At))
	}
	// The same by the observer's clock, in case the leader clock was stepped. The wait is measured from the last reading of the state
	// before the open state, which is at most writeDelay after the timestamp of the write that opened the breaker. The first reading as
	// open may come later, since a slow disk may delay the write.
	if waited := after.At - before.previousSeenAt; before.previousSeenAt > 0 && waited < before.Wait-writeDelay {
		findings = append(findings, ruleViolation(ruleBreakers, "%s was open for at most %d instead of %d before it became half-open at %d",
			after.Service, waited, before.Wait, after.At))
	}
	return findings
}

// checkProbeCalls checks the number of requests that reached the service's backends in a half-open state in which every proxy
// decided by the shared record.
func checkProbeCalls(history *History, state *breakerState) []Finding {
	calls := 0
	for _, request := range history.BackendRequests {
		if request.Service == state.Service && request.At > state.At && request.At < state.lastSeen.At {
			calls++
		}
	}
	if calls <= state.Permitted+state.maxReturned {
		return nil
	}
	return []Finding{ruleViolation(ruleBreakers, "%s: %d calls reached its backends while half-open from %d to %d (permitted: %d, returned leases: %d)",
		state.Service, calls, state.At, state.lastSeen.At, state.Permitted, state.maxReturned)}
}

// reportedProbe replaces the time of the first reading with a probe after its violation has been reported.
const reportedProbe = monotonic.Micros(-1)

// checkProbeLeases finds probes that outlive their lease while the record is read without gaps.
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
				findings = append(findings, ruleViolation(ruleBreakers, "%s: probe %s is still leased after %d at %d, its lease lasts %d",
					reading.Service, id, reading.At-since, reading.At, reading.ProbeLease))
				firstSeen[id] = reportedProbe
			}
		}
	}
	return findings
}
