package inspector

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"snowflow/internal/postmark"
)

// Finding is one breach of a rule.
type Finding struct {
	Rule int
	Text string
	// Blind marks a finding that a checker had nothing to look at.
	Blind bool
}

func (finding Finding) String() string { return fmt.Sprintf("rule %d: %s", finding.Rule, finding.Text) }

// Rule checks one of the twelve. Seen counts what the rule had to look at: a rule that saw nothing proves nothing.
type Rule struct {
	Number int
	Name   string
	Check  func(history *History) (findings []Finding, seen int)
}

const (
	minute       = 60 * postmark.Second
	promise      = 2 * postmark.Second
	returnTime   = 15 * postmark.Second
	tryWindow    = 10 * postmark.Second
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

// notRunIsTrue: an attempt that was refused as not run has no run, before or after; and its key had none yet when the
// refusal was sent, within the time that claims are kept.
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
		if run, ran := byAttempt[attempt.ID]; ran && attempt.Key != "" {
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

// ownAnswers: a success is whole, and the answer to the request that got it, and was run by a backend.
func ownAnswers(history *History) (findings []Finding, seen int) {
	ran := map[string]bool{}
	byKey := map[string]bool{}
	for _, run := range history.Runs {
		ran[run.Attempt] = true
		byKey[run.Key] = true
	}
	for _, attempt := range history.Attempts {
		if attempt.Mesh || attempt.Status < 200 || attempt.Status > 299 {
			continue
		}
		seen++
		switch {
		case !attempt.Whole:
			findings = append(findings, breach(3, "%s got a success that is not whole", attempt.ID))
		case attempt.Key == "" && attempt.Echo != attempt.ID:
			findings = append(findings, breach(3, "%s got the answer to %s", attempt.ID, attempt.Echo))
		case attempt.Key == "" && !ran[attempt.ID] || attempt.Key != "" && !byKey[attempt.Key]:
			findings = append(findings, breach(3, "%s got a success, but no backend ran it", attempt.ID))
		}
	}
	return findings, seen
}

// nothingAfterLeaving: no request reaches a backend more than 2 s after it said it was leaving.
func nothingAfterLeaving(history *History) (findings []Finding, seen int) {
	lefts := map[string]postmark.Micros{}
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

// onlyWhereSent: a request only runs on services that some configuration sent its kind to.
func onlyWhereSent(history *History) (findings []Finding, seen int) {
	kinds := map[string]string{}
	for _, attempt := range history.Attempts {
		kinds[attempt.ID] = attempt.Kind
	}
	for _, run := range history.Runs {
		kind, known := kinds[run.Attempt]
		if !known {
			continue
		}
		seen++
		if !history.Allowed[kind][run.Service] {
			findings = append(findings, breach(5, "%s of kind %s ran on %s", run.Attempt, kind, run.Service))
		}
	}
	return findings, seen
}

// noOlder: what is sent more than 2 s after an acknowledgement is handled by that configuration or a newer one; and no
// carrier falls back.
func noOlder(history *History) (findings []Finding, seen int) {
	acks := []Applied{}
	for _, applied := range history.Applies {
		if applied.Outcome == "accepted" {
			acks = append(acks, applied)
		}
	}
	sort.SliceStable(acks, func(one, other int) bool { return acks[one].At < acks[other].At })
	inForce := func(sent postmark.Micros) (serial uint64) {
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
	return findings, seen
}

// configurationsKept: nothing invalid is accepted, and all that was accepted reads back the same.
func configurationsKept(history *History) (findings []Finding, seen int) {
	kept := map[uint64]string{}
	for _, read := range history.ReadBack {
		kept[read.Serial] = read.Digest
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
		if history.Read && kept[applied.Serial] != applied.Digest {
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

// readIsAnswered: an attempt sent to a carrier in a planned stop is answered, or was never taken.
func readIsAnswered(history *History) (findings []Finding, seen int) {
	for _, attempt := range history.Attempts {
		if !attempt.Planned {
			continue
		}
		seen++
		if attempt.Transport == "dropped" {
			findings = append(findings, breach(9, "%s was read by %s and dropped without an answer in a planned stop", attempt.ID, attempt.Caller))
		}
	}
	return findings, seen
}

// guardsKept: a record's serial never falls, its slots always add up, and a verdict only changes with its serial.
func guardsKept(history *History) (findings []Finding, seen int) {
	type memory struct {
		serial uint64
		state  string
	}
	last := map[string]memory{}
	for _, record := range history.Guards {
		seen++
		if record.State == "half_open" && record.Budget+record.Probes+record.Tallies != record.Permitted {
			findings = append(findings, breach(10, "%s at %d: budget %d + probes %d + tallies %d is not %d", record.Service, record.At, record.Budget, record.Probes, record.Tallies, record.Permitted))
		}
		earlier, known := last[record.Service]
		if known && record.Serial < earlier.serial {
			findings = append(findings, breach(10, "%s fell from serial %d to %d at %d (seen at %s)", record.Service, earlier.serial, record.Serial, record.At, record.Source))
		}
		if known && record.Serial == earlier.serial && record.State != earlier.state {
			findings = append(findings, breach(10, "%s is %s and %s under serial %d", record.Service, earlier.state, record.State, record.Serial))
		}
		if !known || record.Serial >= earlier.serial {
			last[record.Service] = memory{record.Serial, record.State}
		}
	}
	return findings, seen
}

// nobodySilenced: while a scenario has only one caller's network in trouble, no other caller is refused by a guard.
func nobodySilenced(history *History) (findings []Finding, seen int) {
	var from, until postmark.Micros
	troubled := ""
	for _, note := range history.Notes {
		if len(note.What) > 9 && note.What[:9] == "troubled " {
			from, troubled = note.At, note.What[9:]
		}
		if note.What == "untroubled" {
			until = note.At
		}
	}
	if troubled == "" {
		return nil, 0
	}
	refused := 0
	for _, attempt := range history.Attempts {
		if attempt.Caller == troubled || attempt.Sent < from || (until > 0 && attempt.Sent > until) {
			continue
		}
		seen++
		if attempt.Mesh && (attempt.Cause == 301 || attempt.Cause == 302) {
			refused++
		}
	}
	if refused > 0 {
		findings = append(findings, breach(11, "%d requests of other callers were refused by a guard while only %s was in trouble", refused, troubled))
	}
	return findings, seen
}

// backInTime: within 15 s of a noted return each kind of traffic that is sent has a success.
func backInTime(history *History) (findings []Finding, seen int) {
	for _, note := range history.Notes {
		if note.What != "returned" {
			continue
		}
		first := map[string]postmark.Micros{}
		sent := map[string]bool{}
		for _, attempt := range history.Attempts {
			if attempt.Sent < note.At {
				continue
			}
			if attempt.Sent <= note.At+returnTime-promise {
				sent[attempt.Kind] = true
			}
			if !attempt.Mesh && attempt.Status >= 200 && attempt.Status < 300 && attempt.Ended > 0 {
				if at, known := first[attempt.Kind]; !known || attempt.Ended < at {
					first[attempt.Kind] = attempt.Ended
				}
			}
		}
		for _, kind := range slices.Sorted(maps.Keys(sent)) {
			seen++
			if at, known := first[kind]; !known || at > note.At+returnTime {
				findings = append(findings, breach(12, "%s had no success within 15 s of the return at %d (first at %d)", kind, note.At, first[kind]))
			}
		}
	}
	return findings, seen
}
