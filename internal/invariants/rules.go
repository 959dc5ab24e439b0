package invariants

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"snowflow/internal/monotonic"
)

// Finding is one breach of a rule.
type Finding struct {
	Rule int
	Text string
	// Check names a check that belongs to no rule.
	Check string
	// Blind marks a finding that a checker had nothing to look at.
	Blind bool
}

func (finding Finding) String() string {
	if finding.Check != "" {
		return finding.Check + ": " + finding.Text
	}
	return fmt.Sprintf("rule %d: %s", finding.Rule, finding.Text)
}

// Rule checks one of the twelve. Seen counts what the rule had to look at: a rule that saw nothing proves nothing.
type Rule struct {
	Number int
	Name   string
	Check  func(history *History) (findings []Finding, seen int)
}

const (
	minute       = 60 * monotonic.Second
	promise      = 2 * monotonic.Second
	returnTime   = 15 * monotonic.Second
	tryWindow    = 10 * monotonic.Second
	furtherRatio = 0.2
)

// Rules lists the checkers.
var Rules = []Rule{
	{1, "runs once", runsOnce},
	{2, "not run is true", notRunIsTrue},
	{3, "whole and own answers", ownAnswers},
	{4, "nothing after leaving", nothingAfterLeaving},
	{5, "only where sent", onlyWhereSent},
	{6, "no older configuration", noOlder},
	{7, "configurations kept", configurationsKept},
	{8, "further tries bounded", triesBounded},
	{9, "read is answered", readIsAnswered},
	{10, "verdict and allowance kept", guardsKept},
	{11, "one caller silences nobody", nobodySilenced},
	{12, "back in time", backInTime},
}

// Inspect runs the named rules, or all.
func Inspect(history *History, numbers ...int) (findings []Finding, seen map[int]int) {
	history.lock.Lock()
	defer history.lock.Unlock()
	wanted := map[int]bool{}
	for _, number := range numbers {
		wanted[number] = true
	}
	seen = map[int]int{}
	for _, rule := range Rules {
		if len(wanted) > 0 && !wanted[rule.Number] {
			continue
		}
		found, count := rule.Check(history)
		seen[rule.Number] = count
		findings = append(findings, found...)
	}
	return findings, seen
}

func breach(rule int, format string, arguments ...any) Finding {
	return Finding{Rule: rule, Text: fmt.Sprintf(format, arguments...)}
}

// runsOnce: no key is executed twice within a minute.
func runsOnce(history *History) (findings []Finding, seen int) {
	last := map[string]Run{}
	for _, run := range byTime(history.Runs) {
		if run.Key == "" || !run.Executed {
			continue
		}
		seen++
		if earlier, again := last[run.Key]; again && run.At-earlier.At <= minute {
			findings = append(findings, breach(1, "key %s ran at %d on %s for %s and at %d on %s for %s", run.Key, earlier.At, earlier.Instance, earlier.Attempt, run.At, run.Instance, run.Attempt))
		}
		last[run.Key] = run
	}
	return findings, seen
}

func byTime(runs []Run) []Run {
	ordered := append([]Run(nil), runs...)
	sort.SliceStable(ordered, func(one, other int) bool { return ordered[one].At < ordered[other].At })
	return ordered
}

// notRunIsTrue: an attempt that was refused as not run, read or submission, has no run, before or after; and its key had
// none yet when it was sent, within the time that claims are kept.
func notRunIsTrue(history *History) (findings []Finding, seen int) {
	byAttempt, byKey := map[string]Run{}, map[string][]Run{}
	for _, run := range history.Runs {
		if !run.Executed {
			continue
		}
		byAttempt[run.Attempt] = run
		if run.Key != "" {
			byKey[run.Key] = append(byKey[run.Key], run)
		}
	}
	for _, attempt := range history.Attempts {
		if !attempt.Mesh || !attempt.NotRun {
			continue
		}
		seen++
		if run, ran := byAttempt[attempt.ID]; ran {
			findings = append(findings, breach(2, "%s was refused as not run (cause %d) at %d, but ran at %d on %s", attempt.ID, attempt.Cause, attempt.Ended, run.At, run.Instance))
			continue
		}
		for _, run := range byKey[attempt.Key] {
			if attempt.Key != "" && run.At < attempt.Sent && attempt.Ended-run.At < minute {
				findings = append(findings, breach(2, "%s was refused as not run (cause %d) at %d, but its key ran at %d for %s", attempt.ID, attempt.Cause, attempt.Ended, run.At, run.Attempt))
			}
		}
	}
	return findings, seen
}

// ownAnswers: a success is whole, and content for content the answer that a backend gave to a run of this very request, or,
// for a key, to a run under it.
func ownAnswers(history *History) (findings []Finding, seen int) {
	runs := map[string][]Run{}
	for _, run := range history.Runs {
		if run.Executed {
			runs[run.Attempt] = append(runs[run.Attempt], run)
		}
	}
	for _, attempt := range history.Attempts {
		if attempt.Mesh || attempt.Status < 200 || attempt.Status > 299 {
			continue
		}
		seen++
		echoed := runs[attempt.Echo]
		given := slices.ContainsFunc(echoed, func(run Run) bool { return run.Sum != "" && run.Sum == attempt.Sum })
		switch {
		case !attempt.Whole:
			findings = append(findings, breach(3, "%s got a success that is not whole", attempt.ID))
		case attempt.Key == "" && attempt.Echo != attempt.ID:
			findings = append(findings, breach(3, "%s got the answer to %s", attempt.ID, attempt.Echo))
		case len(echoed) == 0:
			findings = append(findings, breach(3, "%s got a success, but no backend executed %s", attempt.ID, attempt.Echo))
		case attempt.Key != "" && echoed[0].Key != attempt.Key:
			findings = append(findings, breach(3, "%s with key %s got the answer to %s with key %s", attempt.ID, attempt.Key, attempt.Echo, echoed[0].Key))
		case !given:
			findings = append(findings, breach(3, "%s got an answer that no backend gave to %s", attempt.ID, attempt.Echo))
		}
	}
	return findings, seen
}

// nothingAfterLeaving: no request reaches a backend more than 2 s after it said it was leaving.
func nothingAfterLeaving(history *History) (findings []Finding, seen int) {
	lefts := map[string]monotonic.Micros{}
	for _, left := range history.Lefts {
		if at, known := lefts[left.Instance]; !known || left.At < at {
			lefts[left.Instance] = left.At
		}
	}
	for _, run := range history.Runs {
		if left, known := lefts[run.Instance]; known && run.At > left+promise {
			findings = append(findings, breach(4, "%s reached %s at %d, which left at %d", run.Attempt, run.Instance, run.At, left))
		}
	}
	return findings, len(lefts)
}

// onlyWhereSent: a request only runs on services that some configuration, handed in by then, sent its kind to; and
// nothing runs that nobody sent.
func onlyWhereSent(history *History) (findings []Finding, seen int) {
	kinds := map[string]string{}
	for _, attempt := range history.Attempts {
		kinds[attempt.ID] = attempt.Kind
	}
	for _, run := range history.Runs {
		seen++
		kind, known := kinds[run.Attempt]
		if !known {
			findings = append(findings, breach(5, "%s ran on %s at %d, and nobody sent it", run.Attempt, run.Service, run.At))
			continue
		}
		if since, allowed := history.Allowed[kind][run.Service]; !allowed || run.At < since {
			findings = append(findings, breach(5, "%s of kind %s ran on %s at %d, where no configuration had sent it", run.Attempt, kind, run.Service, run.At))
		}
	}
	return findings, seen
}

// noOlder: what is sent more than 2 s after an acknowledgement is handled by that configuration or a newer one; and no
// carrier serves by an older one than it did before, over its restarts too.
func noOlder(history *History) (findings []Finding, seen int) {
	acks := []Applied{}
	for _, applied := range history.Applies {
		if applied.Outcome == "accepted" {
			acks = append(acks, applied)
		}
	}
	sort.SliceStable(acks, func(one, other int) bool { return acks[one].At < acks[other].At })
	inForce := func(sent monotonic.Micros) (serial uint64) {
		for _, ack := range acks {
			if ack.At+promise < sent {
				serial = max(serial, ack.Serial)
			}
		}
		return serial
	}
	for _, attempt := range history.Attempts {
		if attempt.Serial == 0 {
			continue
		}
		seen++
		if wanted := inForce(attempt.Sent); attempt.Serial < wanted {
			findings = append(findings, breach(6, "%s was sent at %d and handled by serial %d; %d was acknowledged more than 2 s before", attempt.ID, attempt.Sent, attempt.Serial, wanted))
		}
	}
	highest := map[string]uint64{}
	for _, adopted := range history.Adopted {
		if adopted.Serial < highest[adopted.Carrier] {
			findings = append(findings, breach(6, "%s served by serial %d at %d, and by %d before", adopted.Carrier, adopted.Serial, adopted.At, highest[adopted.Carrier]))
		}
		highest[adopted.Carrier] = max(highest[adopted.Carrier], adopted.Serial)
	}
	return findings, seen
}

// configurationsKept: nothing invalid is accepted, and all that was accepted reads back the same.
func configurationsKept(history *History) (findings []Finding, seen int) {
	kept, oldest := map[uint64]string{}, uint64(0)
	for index, read := range history.ReadBack {
		kept[read.Serial] = read.Digest
		if index == 0 || read.Serial < oldest {
			oldest = read.Serial
		}
	}
	letGo := func(serial uint64) bool {
		return history.Keeps > 0 && len(history.ReadBack) >= history.Keeps && serial < oldest
	}
	digests := map[uint64]string{}
	for _, applied := range history.Applies {
		seen++
		if applied.Outcome != "accepted" {
			continue
		}
		if !applied.Valid {
			findings = append(findings, breach(7, "an invalid configuration was accepted as serial %d", applied.Serial))
		}
		if other, twice := digests[applied.Serial]; twice && other != applied.Digest {
			findings = append(findings, breach(7, "serial %d was given to two configurations", applied.Serial))
		}
		digests[applied.Serial] = applied.Digest
		if history.Read && kept[applied.Serial] != applied.Digest && !letGo(applied.Serial) {
			findings = append(findings, breach(7, "serial %d was accepted and reads back as %q", applied.Serial, kept[applied.Serial]))
		}
	}
	return findings, seen
}

// triesBounded: in any 10 s, further tries to a service stay within a fifth of its first ones plus the allowance.
func triesBounded(history *History) (findings []Finding, seen int) {
	services := map[string][]Run{}
	for _, run := range byTime(history.Runs) {
		services[run.Service] = append(services[run.Service], run)
		seen++
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		worst, text := 0.0, ""
		first, further, start := 0, 0, 0
		runs := services[name]
		for index := range runs {
			add(&first, &further, runs[index], 1)
			for runs[index].At-runs[start].At > tryWindow {
				add(&first, &further, runs[start], -1)
				start++
			}
			if over := float64(further) - furtherRatio*float64(first) - float64(history.Allowance); over > worst {
				worst, text = over, fmt.Sprintf("%s had %d further and %d first tries in the 10 s up to %d", name, further, first, runs[index].At)
			}
		}
		if worst > 0 {
			findings = append(findings, breach(8, "%s", text))
		}
	}
	return findings, seen
}

func add(first, further *int, run Run, step int) {
	if run.Try <= 1 {
		*first += step
	} else {
		*further += step
	}
}

// WorstTries gives the highest ratio of further to first tries in any 10 s, for the report.
func WorstTries(history *History) map[string]string {
	history.lock.Lock()
	defer history.lock.Unlock()
	worst := map[string]string{}
	highest := map[string]float64{}
	services := map[string][]Run{}
	for _, run := range byTime(history.Runs) {
		services[run.Service] = append(services[run.Service], run)
	}
	for name, runs := range services {
		first, further, start := 0, 0, 0
		for index := range runs {
			add(&first, &further, runs[index], 1)
			for runs[index].At-runs[start].At > tryWindow {
				add(&first, &further, runs[start], -1)
				start++
			}
			if ratio := float64(further) / float64(max(1, first)); first >= 20 && ratio >= highest[name] {
				highest[name], worst[name] = ratio, fmt.Sprintf("%d/%d", further, first)
			}
		}
	}
	return worst
}

// readIsAnswered: while something planned is under way anywhere, a stop of any process or a change, what was read is answered.
func readIsAnswered(history *History) (findings []Finding, seen int) {
	for _, attempt := range history.Attempts {
		index := slices.IndexFunc(history.Plans, func(plan *Planned) bool {
			return (attempt.Ended == 0 || attempt.Ended >= plan.From) && (plan.Until == 0 || attempt.Sent <= plan.Until)
		})
		if index < 0 {
			continue
		}
		seen++
		if attempt.Read && attempt.Status == 0 {
			findings = append(findings, breach(9, "%s was read by %s and dropped without an answer during: %s", attempt.ID, attempt.Caller, history.Plans[index].What))
		}
	}
	return findings, seen
}
