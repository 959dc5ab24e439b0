package invariants

import (
	"slices"

	"snowflow/internal/monotonic"
)

// The figures by which the checkers of guards allow for what observers can't see at once.
const (
	maxObservationGap = 400 * monotonic.Millisecond  // between two readings of a record, at the most, to speak of what was between
	writeDelay        = 1200 * monotonic.Millisecond // from the moment a write is stamped with until its effect is seen
	leaseSweepSlack   = 3 * monotonic.Second         // a tenure's end is noticed by a sweep, and holder time may stand still at a failover
	recoveryTime      = 12 * monotonic.Second        // from a service's recovery on, callers are served again within this
)

const (
	closed   = "closed"
	open     = "open"
	halfOpen = "half_open"
)

// round is one state of one record as it was seen, from its first reading to its last.
type breakerState struct {
	BreakerObservation // the first reading
	lastSeen           BreakerObservation
	previousAt         monotonic.Micros // the last reading before it, zero if there was none
	returned           int
	continuous         bool // read without a gap, nobody astray
}

// breakerStates sorts a record's readings into its states, and tells what a single reading shows to be wrong.
func breakerStates(readings []BreakerObservation) (states []*breakerState, findings []Finding) {
	for _, record := range readings {
		if record.State == halfOpen && record.Budget+len(record.ProbeLeases)+record.ProbeResults != record.Permitted {
			findings = append(findings, ruleViolation(10, "%s at %d: budget %d + probes %d + tallies %d is not %d", record.Service, record.At, record.Budget, len(record.ProbeLeases), record.ProbeResults, record.Permitted))
		}
		if record.State == halfOpen && record.Granted-record.Returned != len(record.ProbeLeases)+record.ProbeResults {
			findings = append(findings, ruleViolation(10, "%s at %d: %d granted less %d returned is not %d probes + %d tallies", record.Service, record.At, record.Granted, record.Returned, len(record.ProbeLeases), record.ProbeResults))
		}
		if len(states) == 0 {
			states = append(states, &breakerState{BreakerObservation: record, lastSeen: record, returned: record.Returned, continuous: !record.LocalVerdict})
			continue
		}
		current := states[len(states)-1]
		switch {
		case record.Version < current.Version:
			findings = append(findings, ruleViolation(10, "%s fell from serial %d to %d at %d (seen at %s)", record.Service, current.Version, record.Version, record.At, record.Source))
		case record.Version == current.Version && record.State != current.State:
			findings = append(findings, ruleViolation(10, "%s is %s and %s under serial %d", record.Service, current.State, record.State, record.Version))
		case record.Version == current.Version:
			current.continuous = current.continuous && !record.LocalVerdict && record.At-current.lastSeen.At <= maxObservationGap
			current.lastSeen, current.returned = record, max(current.returned, record.Returned)
		default:
			states = append(states, &breakerState{BreakerObservation: record, lastSeen: record, previousAt: current.lastSeen.At, returned: record.Returned, continuous: !record.LocalVerdict})
		}
	}
	return states, findings
}

// checkBreakerRecords: a record's serial never falls and a verdict only changes with it; slots always add up; the wait is neither
// skipped nor cut short; it closes only by a trial, or when it expires; backends see no more trial calls than the
// allowance and what went back; no probe is held past its tenure.
func checkBreakerRecords(history *History) (findings []Finding, seen int) {
	services := map[string][]BreakerObservation{}
	names := []string{}
	for _, record := range history.Breakers {
		seen++
		if services[record.Service] == nil {
			names = append(names, record.Service)
		}
		services[record.Service] = append(services[record.Service], record)
	}
	for _, name := range names {
		states, found := breakerStates(services[name])
		findings = append(findings, found...)
		findings = append(findings, checkProbeLeases(services[name])...)
		for index, current := range states {
			if index > 0 && states[index-1].State == open && current.Version == states[index-1].Version+1 {
				findings = append(findings, checkAfterOpen(states[index-1], current)...)
			}
			if current.State == halfOpen && current.continuous {
				findings = append(findings, checkTrialCalls(history, current)...)
			}
		}
	}
	return findings, seen
}

// checkAfterOpen looks at how an open record went on.
func checkAfterOpen(before, after *breakerState) (findings []Finding) {
	if after.State == closed && after.EnteredAt < before.lastSeen.ExpiresAt {
		findings = append(findings, ruleViolation(10, "%s closed at %d without a trial", after.Service, after.At))
	}
	if after.State != halfOpen {
		return findings
	}
	if waited := after.EnteredAt - before.EnteredAt; waited < before.Wait {
		findings = append(findings, ruleViolation(10, "%s waited %d of %d in open before its trial at %d", after.Service, waited, before.Wait, after.At))
	}
	// By the observer's own clock: its first reading as open came after the write, which took what a slow disk takes; the
	// reading ahead of that wasn't much later than the moment from which the wait counts.
	if waited := after.At - before.previousAt; before.previousAt > 0 && waited < before.Wait-writeDelay {
		findings = append(findings, ruleViolation(10, "%s was open for %d at the most, not %d, before its trial at %d", after.Service, waited, before.Wait, after.At))
	}
	return findings
}

// checkTrialCalls counts what backends saw while nobody could be going by anything but the shared record.
func checkTrialCalls(history *History, current *breakerState) []Finding {
	ran := 0
	for _, run := range history.Runs {
		if run.Service == current.Service && run.At > current.At && run.At < current.lastSeen.At {
			ran++
		}
	}
	if ran > current.Permitted+current.returned {
		return []Finding{ruleViolation(10, "%s: %d calls reached its backends in the trial from %d to %d, %d were allowed and %d went back", current.Service, ran, current.At, current.lastSeen.At, current.Permitted, current.returned)}
	}
	return nil
}

// clinging finds probes that stay out longer than their tenure, while readings came without a gap.
func checkProbeLeases(readings []BreakerObservation) (findings []Finding) {
	firstSeen := map[string]monotonic.Micros{}
	last := monotonic.Micros(0)
	for _, record := range readings {
		if record.At-last > maxObservationGap {
			clear(firstSeen)
		}
		last = record.At
		for id := range firstSeen {
			if !slices.Contains(record.ProbeLeases, id) {
				delete(firstSeen, id)
			}
		}
		for _, id := range record.ProbeLeases {
			since, known := firstSeen[id]
			if !known {
				firstSeen[id] = record.At
			} else if since >= 0 && record.At-since > record.ProbeLease+leaseSweepSlack {
				findings = append(findings, ruleViolation(10, "%s: probe %s is out for %d at %d, its tenure was %d", record.Service, id, record.At-since, record.At, record.ProbeLease))
				firstSeen[id] = -1
			}
		}
	}
	return findings
}

// silencing are the refusals by which one caller's trouble would show at others: guard open, no probe left, no backend
// known, more requests than places.
var isolationCauses = map[int]bool{301: true, 302: true, 303: true, 304: true}

// trouble is a span in which only some callers' networks are in trouble.
type networkTrouble struct {
	from, until monotonic.Micros
	callers     []string
}

// checkCallerIsolation: while only some callers' networks are in trouble, no other caller is refused by a guard, for want of a
// backend or of a place. Where a service itself fails meanwhile ("failing" to "recovered"), others are served again soon after.
func checkCallerIsolation(history *History) (findings []Finding, seen int) {
	troubled := networkTrouble{}
	excused := []PlannedChange{} // a service fails, or has only just recovered
	for _, note := range history.Markers {
		switch what := note.What; {
		case len(what) > 9 && what[:9] == "troubled ":
			if troubled.from == 0 {
				troubled.from = note.At
			}
			troubled.callers = append(troubled.callers, what[9:])
		case what == "untroubled":
			troubled.until = note.At
		case what == "failing":
			excused = append(excused, PlannedChange{From: note.At})
		case what == "recovered":
			excused[len(excused)-1].Until = note.At + recoveryTime
		}
	}
	refused := 0
	for _, attempt := range history.Attempts {
		if troubled.from == 0 || slices.Contains(troubled.callers, attempt.Caller) || attempt.Sent < troubled.from || troubled.until > 0 && attempt.Sent > troubled.until {
			continue
		}
		if slices.ContainsFunc(excused, func(troubled PlannedChange) bool {
			return attempt.Ended >= troubled.From && (troubled.Until == 0 || attempt.Sent < troubled.Until)
		}) {
			continue
		}
		seen++
		if attempt.Mesh && isolationCauses[attempt.Cause] {
			refused++
		}
	}
	if refused > 0 {
		findings = append(findings, ruleViolation(11, "%d of %d requests of other callers were refused while only %v were in trouble", refused, seen, troubled.callers))
	}
	return findings, seen
}

// The figures by which service counts as back.
const (
	postRecoveryWindow = 3 * monotonic.Second // how long after recoveryLimit service is looked at
	minServedRatio     = 0.9
	minSamples         = 10
)

// checkRecoveryTime: within 15 s of a noted return each kind of traffic that is sent has a success, and from then on nine in ten of
// those first sent then are served. Who asks again with a key isn't counted: such a key may rightly be held.
func checkRecoveryTime(history *History) (findings []Finding, seen int) {
	firstSent := map[string]monotonic.Micros{}
	for _, attempt := range history.Attempts {
		if since, known := firstSent[attempt.Key]; attempt.Key != "" && (!known || attempt.Sent < since) {
			firstSent[attempt.Key] = attempt.Sent
		}
	}
	for _, note := range history.Markers {
		if note.What != "returned" {
			continue
		}
		type count struct {
			first        monotonic.Micros
			sent, served int
			requested    bool
		}
		counts, kinds := map[string]*count{}, []string{}
		for _, attempt := range history.Attempts {
			if attempt.Sent < note.At {
				continue
			}
			current := counts[attempt.Kind]
			if current == nil {
				current = &count{}
				counts[attempt.Kind] = current
				kinds = append(kinds, attempt.Kind)
			}
			success := !attempt.Mesh && attempt.Status >= 200 && attempt.Status < 300 && attempt.Ended > 0
			current.requested = current.requested || attempt.Sent <= note.At+recoveryLimit-propagationLimit
			if success && (current.first == 0 || attempt.Ended < current.first) {
				current.first = attempt.Ended
			}
			afterRecovery := attempt.Sent > note.At+recoveryLimit && attempt.Sent <= note.At+recoveryLimit+postRecoveryWindow
			if afterRecovery && (attempt.Key == "" || firstSent[attempt.Key] == attempt.Sent) {
				current.sent++
				if success {
					current.served++
				}
			}
		}
		slices.Sort(kinds)
		for _, kind := range kinds {
			current := counts[kind]
			if !current.requested {
				continue
			}
			seen++
			if current.first == 0 || current.first > note.At+recoveryLimit {
				findings = append(findings, ruleViolation(12, "%s had no success within 15 s of the return at %d (first at %d)", kind, note.At, current.first))
			} else if current.sent >= minSamples && float64(current.served) < minServedRatio*float64(current.sent) {
				findings = append(findings, ruleViolation(12, "%s: %d of %d served in the seconds after 15 s from the return at %d", kind, current.served, current.sent, note.At))
			}
		}
	}
	return findings, seen
}
