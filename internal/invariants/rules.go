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
	// NothingExamined marks a finding that a checker had nothing to look at.
	NothingExamined bool
}

func (f Finding) String() string {
	if f.Check != "" {
		return f.Check + ": " + f.Text
	}
	return fmt.Sprintf("rule %d: %s", f.Rule, f.Text)
}

// Rule checks one of the twelve. Seen counts what the rule had to look at: a rule that saw nothing proves nothing.
type Rule struct {
	Number int
	Name   string
	Check  func(history *History) (findings []Finding, seen int)
}

const (
	idempotencyWindow = 60 * monotonic.Second
	propagationLimit  = 2 * monotonic.Second
	recoveryLimit     = 15 * monotonic.Second
	retryWindow       = 10 * monotonic.Second
	maxRetryRatio     = 0.2
)

// Rules lists the checkers.
var Rules = []Rule{
	{1, "runs once", checkExecutedOnce},
	{2, "not run is true", checkNotRun},
	{3, "whole and own answers", checkOwnResponses},
	{4, "nothing after leaving", checkNothingAfterLeaving},
	{5, "only where sent", checkRouting},
	{6, "no older configuration", checkVersionsMonotonic},
	{7, "configurations kept", checkConfigDurability},
	{8, "further tries bounded", checkRetryBudget},
	{9, "read is answered", checkPlannedStops},
	{10, "verdict and allowance kept", checkBreakerRecords},
	{11, "one caller silences nobody", checkCallerIsolation},
	{12, "back in time", checkRecoveryTime},
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

func ruleViolation(rule int, format string, arguments ...any) Finding {
	return Finding{Rule: rule, Text: fmt.Sprintf(format, arguments...)}
}

// checkExecutedOnce: no key is executed twice within a minute.
func checkExecutedOnce(history *History) (findings []Finding, seen int) {
	last := map[string]Run{}
	for _, run := range sortedByTime(history.Runs) {
		if run.Key == "" || !run.Executed {
			continue
		}
		seen++
		if earlier, again := last[run.Key]; again && run.At-earlier.At <= idempotencyWindow {
			findings = append(findings, ruleViolation(1, "key %s ran at %d on %s for %s and at %d on %s for %s", run.Key, earlier.At, earlier.Instance, earlier.Attempt, run.At, run.Instance, run.Attempt))
		}
		last[run.Key] = run
	}
	return findings, seen
}

func sortedByTime(runs []Run) []Run {
	ordered := append([]Run(nil), runs...)
	sort.SliceStable(ordered, func(one, other int) bool { return ordered[one].At < ordered[other].At })
	return ordered
}

// checkNotRun: an attempt that was refused as not run, read or submission, has no run, before or after; and its key had
// none yet when it was sent, within the time that claims are kept.
func checkNotRun(history *History) (findings []Finding, seen int) {
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
			findings = append(findings, ruleViolation(2, "%s was refused as not run (cause %d) at %d, but ran at %d on %s", attempt.ID, attempt.Cause, attempt.Ended, run.At, run.Instance))
			continue
		}
		for _, run := range byKey[attempt.Key] {
			if attempt.Key != "" && run.At < attempt.Sent && attempt.Ended-run.At < idempotencyWindow {
				findings = append(findings, ruleViolation(2, "%s was refused as not run (cause %d) at %d, but its key ran at %d for %s", attempt.ID, attempt.Cause, attempt.Ended, run.At, run.Attempt))
			}
		}
	}
	return findings, seen
}

// checkOwnResponses: a success is whole, and content for content the answer that a backend gave to a run of this very request, or,
// for a key, to a run under it.
func checkOwnResponses(history *History) (findings []Finding, seen int) {
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
		case !attempt.Complete:
			findings = append(findings, ruleViolation(3, "%s got a success that is not whole", attempt.ID))
		case attempt.Key == "" && attempt.Echo != attempt.ID:
			findings = append(findings, ruleViolation(3, "%s got the answer to %s", attempt.ID, attempt.Echo))
		case len(echoed) == 0:
			findings = append(findings, ruleViolation(3, "%s got a success, but no backend executed %s", attempt.ID, attempt.Echo))
		case attempt.Key != "" && echoed[0].Key != attempt.Key:
			findings = append(findings, ruleViolation(3, "%s with key %s got the answer to %s with key %s", attempt.ID, attempt.Key, attempt.Echo, echoed[0].Key))
		case !given:
			findings = append(findings, ruleViolation(3, "%s got an answer that no backend gave to %s", attempt.ID, attempt.Echo))
		}
	}
	return findings, seen
}

// checkNothingAfterLeaving: no request reaches a backend more than 2 s after it said it was leaving.
func checkNothingAfterLeaving(history *History) (findings []Finding, seen int) {
	departures := map[string]monotonic.Micros{}
	for _, departure := range history.Departures {
		if at, known := departures[departure.Instance]; !known || departure.At < at {
			departures[departure.Instance] = departure.At
		}
	}
	for _, run := range history.Runs {
		if departure, known := departures[run.Instance]; known && run.At > departure+propagationLimit {
			findings = append(findings, ruleViolation(4, "%s reached %s at %d, which left at %d", run.Attempt, run.Instance, run.At, departure))
		}
	}
	return findings, len(departures)
}

// checkRouting: a request only runs on services that some configuration, handed in by then, sent its kind to; and
// nothing runs that nobody sent.
func checkRouting(history *History) (findings []Finding, seen int) {
	kinds := map[string]string{}
	for _, attempt := range history.Attempts {
		kinds[attempt.ID] = attempt.Kind
	}
	for _, run := range history.Runs {
		seen++
		kind, known := kinds[run.Attempt]
		if !known {
			findings = append(findings, ruleViolation(5, "%s ran on %s at %d, and nobody sent it", run.Attempt, run.Service, run.At))
			continue
		}
		if since, allowed := history.AllowedRoutes[kind][run.Service]; !allowed || run.At < since {
			findings = append(findings, ruleViolation(5, "%s of kind %s ran on %s at %d, where no configuration had sent it", run.Attempt, kind, run.Service, run.At))
		}
	}
	return findings, seen
}

// checkVersionsMonotonic: what is sent more than 2 s after an acknowledgement is handled by that configuration or a newer one; and no
// carrier serves by an older one than it did before, over its restarts too.
func checkVersionsMonotonic(history *History) (findings []Finding, seen int) {
	acknowledged := []AppliedConfig{}
	for _, applied := range history.AppliedConfigs {
		if applied.Outcome == "accepted" {
			acknowledged = append(acknowledged, applied)
		}
	}
	sort.SliceStable(acknowledged, func(one, other int) bool { return acknowledged[one].At < acknowledged[other].At })
	requiredVersion := func(sent monotonic.Micros) (version uint64) {
		for _, apply := range acknowledged {
			if apply.At+propagationLimit < sent {
				version = max(version, apply.Version)
			}
		}
		return version
	}
	for _, attempt := range history.Attempts {
		if attempt.Version == 0 {
			continue
		}
		seen++
		if wanted := requiredVersion(attempt.Sent); attempt.Version < wanted {
			findings = append(findings, ruleViolation(6, "%s was sent at %d and handled by serial %d; %d was acknowledged more than 2 s before", attempt.ID, attempt.Sent, attempt.Version, wanted))
		}
	}
	highest := map[string]uint64{}
	for _, adopted := range history.ActiveConfigs {
		if adopted.Version < highest[adopted.Proxy] {
			findings = append(findings, ruleViolation(6, "%s served by serial %d at %d, and by %d before", adopted.Proxy, adopted.Version, adopted.At, highest[adopted.Proxy]))
		}
		highest[adopted.Proxy] = max(highest[adopted.Proxy], adopted.Version)
	}
	return findings, seen
}

// checkConfigDurability: nothing invalid is accepted, and all that was accepted reads back the same.
func checkConfigDurability(history *History) (findings []Finding, seen int) {
	stored, oldest := map[uint64]string{}, uint64(0)
	for index, read := range history.ReadBack {
		stored[read.Version] = read.Digest
		if index == 0 || read.Version < oldest {
			oldest = read.Version
		}
	}
	discarded := func(version uint64) bool {
		return history.RetainedVersions > 0 && len(history.ReadBack) >= history.RetainedVersions && version < oldest
	}
	digests := map[uint64]string{}
	for _, applied := range history.AppliedConfigs {
		seen++
		if applied.Outcome != "accepted" {
			continue
		}
		if !applied.Valid {
			findings = append(findings, ruleViolation(7, "an invalid configuration was accepted as serial %d", applied.Version))
		}
		if other, twice := digests[applied.Version]; twice && other != applied.Digest {
			findings = append(findings, ruleViolation(7, "serial %d was given to two configurations", applied.Version))
		}
		digests[applied.Version] = applied.Digest
		if history.ReadBackComplete && stored[applied.Version] != applied.Digest && !discarded(applied.Version) {
			findings = append(findings, ruleViolation(7, "serial %d was accepted and reads back as %q", applied.Version, stored[applied.Version]))
		}
	}
	return findings, seen
}

// checkRetryBudget: in any 10 s, further tries to a service stay within a fifth of its first ones plus the allowance.
func checkRetryBudget(history *History) (findings []Finding, seen int) {
	services := map[string][]Run{}
	for _, run := range sortedByTime(history.Runs) {
		services[run.Service] = append(services[run.Service], run)
		seen++
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		highestExcess, text := 0.0, ""
		firstAttempts, retries, start := 0, 0, 0
		runs := services[name]
		for index := range runs {
			countAttempt(&firstAttempts, &retries, runs[index], 1)
			for runs[index].At-runs[start].At > retryWindow {
				countAttempt(&firstAttempts, &retries, runs[start], -1)
				start++
			}
			if excess := float64(retries) - maxRetryRatio*float64(firstAttempts) - float64(history.RetryAllowance); excess > highestExcess {
				highestExcess, text = excess, fmt.Sprintf("%s had %d further and %d first tries in the 10 s up to %d", name, retries, firstAttempts, runs[index].At)
			}
		}
		if highestExcess > 0 {
			findings = append(findings, ruleViolation(8, "%s", text))
		}
	}
	return findings, seen
}

func countAttempt(firstAttempts, retries *int, run Run, step int) {
	if run.AttemptNumber <= 1 {
		*firstAttempts += step
	} else {
		*retries += step
	}
}

// HighestRetryRatios gives the highest ratio of further to first tries in any 10 s, for the report.
func HighestRetryRatios(history *History) map[string]string {
	history.lock.Lock()
	defer history.lock.Unlock()
	ratios := map[string]string{}
	highest := map[string]float64{}
	services := map[string][]Run{}
	for _, run := range sortedByTime(history.Runs) {
		services[run.Service] = append(services[run.Service], run)
	}
	for name, runs := range services {
		firstAttempts, retries, start := 0, 0, 0
		for index := range runs {
			countAttempt(&firstAttempts, &retries, runs[index], 1)
			for runs[index].At-runs[start].At > retryWindow {
				countAttempt(&firstAttempts, &retries, runs[start], -1)
				start++
			}
			if ratio := float64(retries) / float64(max(1, firstAttempts)); firstAttempts >= 20 && ratio >= highest[name] {
				highest[name], ratios[name] = ratio, fmt.Sprintf("%d/%d", retries, firstAttempts)
			}
		}
	}
	return ratios
}

// checkPlannedStops: while something planned is under way anywhere, a stop of any process or a change, what was read is answered.
func checkPlannedStops(history *History) (findings []Finding, seen int) {
	for _, attempt := range history.Attempts {
		index := slices.IndexFunc(history.PlannedChanges, func(plan *PlannedChange) bool {
			return (attempt.Ended == 0 || attempt.Ended >= plan.From) && (plan.Until == 0 || attempt.Sent <= plan.Until)
		})
		if index < 0 {
			continue
		}
		seen++
		if attempt.Read && attempt.Status == 0 {
			findings = append(findings, ruleViolation(9, "%s was read by %s and dropped without an answer during: %s", attempt.ID, attempt.Caller, history.PlannedChanges[index].What))
		}
	}
	return findings, seen
}
