package invariants

import (
	"slices"

	"snowflow/internal/monotonic"
)

// The figures by which the checkers of guards allow for what observers can't see at once.
const (
	observed   = 400 * monotonic.Millisecond  // between two readings of a record, at the most, to speak of what was between
	writing    = 1200 * monotonic.Millisecond // from the moment a write is stamped with until its effect is seen
	sweepSlack = 3 * monotonic.Second         // a tenure's end is noticed by a sweep, and holder time may stand still at a failover
	recovery   = 12 * monotonic.Second        // from a service's recovery on, callers are served again within this
)

const (
	closed   = "closed"
	open     = "open"
	halfOpen = "half_open"
)

// round is one state of one record as it was seen, from its first reading to its last.
type round struct {
	GuardSeen // the first reading
	last      GuardSeen
	before    monotonic.Micros // the last reading before it, zero if there was none
	returned  int
	whole     bool // read without a gap, nobody astray
}

// roundsOf sorts a record's readings into its states, and tells what a single reading shows to be wrong.
func roundsOf(readings []GuardSeen) (rounds []*round, findings []Finding) {
	for _, record := range readings {
		if record.State == halfOpen && record.Budget+len(record.Probes)+record.Tallies != record.Permitted {
			findings = append(findings, breach(10, "%s at %d: budget %d + probes %d + tallies %d is not %d", record.Service, record.At, record.Budget, len(record.Probes), record.Tallies, record.Permitted))
		}
		if record.State == halfOpen && record.Granted-record.Returned != len(record.Probes)+record.Tallies {
			findings = append(findings, breach(10, "%s at %d: %d granted less %d returned is not %d probes + %d tallies", record.Service, record.At, record.Granted, record.Returned, len(record.Probes), record.Tallies))
		}
		if len(rounds) == 0 {
			rounds = append(rounds, &round{GuardSeen: record, last: record, returned: record.Returned, whole: !record.Astray})
			continue
		}
		present := rounds[len(rounds)-1]
		switch {
		case record.Serial < present.Serial:
			findings = append(findings, breach(10, "%s fell from serial %d to %d at %d (seen at %s)", record.Service, present.Serial, record.Serial, record.At, record.Source))
		case record.Serial == present.Serial && record.State != present.State:
			findings = append(findings, breach(10, "%s is %s and %s under serial %d", record.Service, present.State, record.State, record.Serial))
		case record.Serial == present.Serial:
			present.whole = present.whole && !record.Astray && record.At-present.last.At <= observed
			present.last, present.returned = record, max(present.returned, record.Returned)
		default:
			rounds = append(rounds, &round{GuardSeen: record, last: record, before: present.last.At, returned: record.Returned, whole: !record.Astray})
		}
	}
	return rounds, findings
}

// guardsKept: a record's serial never falls and a verdict only changes with it; slots always add up; the wait is neither
// skipped nor cut short; it closes only by a trial, or when it expires; backends see no more trial calls than the
// allowance and what went back; no probe is held past its tenure.
func guardsKept(history *History) (findings []Finding, seen int) {
	services := map[string][]GuardSeen{}
	names := []string{}
	for _, record := range history.Guards {
		seen++
		if services[record.Service] == nil {
			names = append(names, record.Service)
		}
		services[record.Service] = append(services[record.Service], record)
	}
	for _, name := range names {
		rounds, found := roundsOf(services[name])
		findings = append(findings, found...)
		findings = append(findings, clinging(services[name])...)
		for index, present := range rounds {
			if index > 0 && rounds[index-1].State == open && present.Serial == rounds[index-1].Serial+1 {
				findings = append(findings, afterOpen(rounds[index-1], present)...)
			}
			if present.State == halfOpen && present.whole {
				findings = append(findings, trialCalls(history, present)...)
			}
		}
	}
	return findings, seen
}

// afterOpen looks at how an open record went on.
func afterOpen(before, after *round) (findings []Finding) {
	if after.State == closed && after.Entered < before.last.Expires {
		findings = append(findings, breach(10, "%s closed at %d without a trial", after.Service, after.At))
	}
	if after.State != halfOpen {
		return findings
	}
	if waited := after.Entered - before.Entered; waited < before.Wait {
		findings = append(findings, breach(10, "%s waited %d of %d in open before its trial at %d", after.Service, waited, before.Wait, after.At))
	}
	// By the observer's own clock: its first reading as open came after the write, which took what a slow disk takes; the
	// reading ahead of that wasn't much later than the moment from which the wait counts.
	if waited := after.At - before.before; before.before > 0 && waited < before.Wait-writing {
		findings = append(findings, breach(10, "%s was open for %d at the most, not %d, before its trial at %d", after.Service, waited, before.Wait, after.At))
	}
	return findings
}

// trialCalls counts what backends saw while nobody could be going by anything but the shared record.
func trialCalls(history *History, present *round) []Finding {
	ran := 0
	for _, run := range history.Runs {
		if run.Service == present.Service && run.At > present.At && run.At < present.last.At {
			ran++
		}
	}
	if ran > present.Permitted+present.returned {
		return []Finding{breach(10, "%s: %d calls reached its backends in the trial from %d to %d, %d were allowed and %d went back", present.Service, ran, present.At, present.last.At, present.Permitted, present.returned)}
	}
	return nil
}

// clinging finds probes that stay out longer than their tenure, while readings came without a gap.
func clinging(readings []GuardSeen) (findings []Finding) {
	first := map[string]monotonic.Micros{}
	last := monotonic.Micros(0)
	for _, record := range readings {
		if record.At-last > observed {
			clear(first)
		}
		last = record.At
		for id := range first {
			if !slices.Contains(record.Probes, id) {
				delete(first, id)
			}
		}
		for _, id := range record.Probes {
			since, known := first[id]
			if !known {
				first[id] = record.At
			} else if since >= 0 && record.At-since > record.Tenure+sweepSlack {
				findings = append(findings, breach(10, "%s: probe %s is out for %d at %d, its tenure was %d", record.Service, id, record.At-since, record.At, record.Tenure))
				first[id] = -1
			}
		}
	}
	return findings
}

// silencing are the refusals by which one caller's trouble would show at others: guard open, no probe left, no backend
// known, more requests than places.
var silencing = map[int]bool{301: true, 302: true, 303: true, 304: true}

// trouble is a span in which only some callers' networks are in trouble.
type trouble struct {
	from, until monotonic.Micros
	callers     []string
}

// nobodySilenced: while only some callers' networks are in trouble, no other caller is refused by a guard, for want of a
// backend or of a place. Where a service itself fails meanwhile ("failing" to "recovered"), others are served again soon after.
func nobodySilenced(history *History) (findings []Finding, seen int) {
	span := trouble{}
	excused := []Planned{} // a service fails, or has only just recovered
	for _, note := range history.Notes {
		switch what := note.What; {
		case len(what) > 9 && what[:9] == "troubled ":
			if span.from == 0 {
				span.from = note.At
			}
			span.callers = append(span.callers, what[9:])
		case what == "untroubled":
			span.until = note.At
		case what == "failing":
			excused = append(excused, Planned{From: note.At})
		case what == "recovered":
			excused[len(excused)-1].Until = note.At + recovery
		}
	}
	refused := 0
	for _, attempt := range history.Attempts {
		if span.from == 0 || slices.Contains(span.callers, attempt.Caller) || attempt.Sent < span.from || span.until > 0 && attempt.Sent > span.until {
			continue
		}
		if slices.ContainsFunc(excused, func(span Planned) bool {
			return attempt.Ended >= span.From && (span.Until == 0 || attempt.Sent < span.Until)
		}) {
			continue
		}
		seen++
		if attempt.Mesh && silencing[attempt.Cause] {
			refused++
		}
	}
	if refused > 0 {
		findings = append(findings, breach(11, "%d of %d requests of other callers were refused while only %v were in trouble", refused, seen, span.callers))
	}
	return findings, seen
}

// The figures by which service counts as back.
const (
	goingOn      = 3 * monotonic.Second // how long after returnTime service is looked at
	mostServed   = 0.9
	leastToJudge = 10
)

// backInTime: within 15 s of a noted return each kind of traffic that is sent has a success, and from then on nine in ten of
// those first sent then are served. Who asks again with a key isn't counted: such a key may rightly be held.
func backInTime(history *History) (findings []Finding, seen int) {
	begun := map[string]monotonic.Micros{}
	for _, attempt := range history.Attempts {
		if since, known := begun[attempt.Key]; attempt.Key != "" && (!known || attempt.Sent < since) {
			begun[attempt.Key] = attempt.Sent
		}
	}
	for _, note := range history.Notes {
		if note.What != "returned" {
			continue
		}
		type count struct {
			first        monotonic.Micros
			sent, served int
			asked        bool
		}
		counts, kinds := map[string]*count{}, []string{}
		for _, attempt := range history.Attempts {
			if attempt.Sent < note.At {
				continue
			}
			present := counts[attempt.Kind]
			if present == nil {
				present = &count{}
				counts[attempt.Kind] = present
				kinds = append(kinds, attempt.Kind)
			}
			success := !attempt.Mesh && attempt.Status >= 200 && attempt.Status < 300 && attempt.Ended > 0
			present.asked = present.asked || attempt.Sent <= note.At+returnTime-promise
			if success && (present.first == 0 || attempt.Ended < present.first) {
				present.first = attempt.Ended
			}
			late := attempt.Sent > note.At+returnTime && attempt.Sent <= note.At+returnTime+goingOn
			if late && (attempt.Key == "" || begun[attempt.Key] == attempt.Sent) {
				present.sent++
				if success {
					present.served++
				}
			}
		}
		slices.Sort(kinds)
		for _, kind := range kinds {
			present := counts[kind]
			if !present.asked {
				continue
			}
			seen++
			if present.first == 0 || present.first > note.At+returnTime {
				findings = append(findings, breach(12, "%s had no success within 15 s of the return at %d (first at %d)", kind, note.At, present.first))
			} else if present.sent >= leastToJudge && float64(present.served) < mostServed*float64(present.sent) {
				findings = append(findings, breach(12, "%s: %d of %d served in the seconds after 15 s from the return at %d", kind, present.served, present.sent, note.At))
			}
		}
	}
	return findings, seen
}
