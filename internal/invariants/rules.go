package invariants

import (
	"fmt"

	"snowflow/internal/monotonic"
)

// Finding is one violation of a rule or check.
type Finding struct {
	// Rule is the number of the rule, zero for a check.
	Rule int
	// Text describes the violation.
	Text string
	// Check is the name of the check; empty for a rule.
	Check string
	// NothingExamined marks the finding that a checker had nothing to examine.
	NothingExamined bool
}

// String returns the finding with the number of its rule or the name of its check.
func (f Finding) String() string {
	if f.Check != "" {
		return f.Check + ": " + f.Text
	}
	return fmt.Sprintf("rule %d: %s", f.Rule, f.Text)
}

// Rule is one of the twelve rules of docs/rules.md. Check returns its violations, and as seen how many observations it
// examined: a rule that examined nothing proves nothing.
type Rule struct {
	Number int
	Name   string
	Check  func(history *History) (findings []Finding, seen int)
}

// The numbers of the rules.
const (
	ruleExecutedOnce = iota + 1
	ruleNotRun
	ruleOwnResponses
	ruleDrainedBackends
	ruleRouting
	ruleVersions
	ruleConfigDurability
	ruleRetryBudget
	rulePlannedStops
	ruleBreakers
	ruleCallerIsolation
	ruleRecoveryTime
)

// The limits that docs/rules.md promises.
const (
	// idempotencyWindow is how long an idempotency key is remembered.
	idempotencyWindow = 60 * monotonic.Second
	// propagationLimit is how long a change may take to reach every proxy.
	propagationLimit = 2 * monotonic.Second
	// recoveryLimit is how long service may take to resume once all machines have returned.
	recoveryLimit = 15 * monotonic.Second
	// retryWindow and maxRetryRatio bound retries: within any window, to this share of first attempts.
	retryWindow   = 10 * monotonic.Second
	maxRetryRatio = 0.2
)

// Rules are the rules in the order of their numbers.
var Rules = []Rule{
	{ruleExecutedOnce, "executed once", checkExecutedOnce},
	{ruleNotRun, "not run is true", checkNotRun},
	{ruleOwnResponses, "complete and own responses", checkOwnResponses},
	{ruleDrainedBackends, "nothing reaches a drained backend", checkNothingAfterLeaving},
	{ruleRouting, "only where routed", checkRouting},
	{ruleVersions, "no older configuration", checkVersionsMonotonic},
	{ruleConfigDurability, "configurations are durable", checkConfigDurability},
	{ruleRetryBudget, "retries bounded", checkRetryBudget},
	{rulePlannedStops, "planned changes drop nothing", checkPlannedStops},
	{ruleBreakers, "shared breaker records consistent", checkBreakerRecords},
	{ruleCallerIsolation, "one caller's trouble stays its own", checkCallerIsolation},
	{ruleRecoveryTime, "service resumes in time", checkRecoveryTime},
}

// CheckRules checks the rules with the given numbers, or all rules if none are given. seen holds, by the rule's number, how many
// observations the rule examined.
func CheckRules(history *History, numbers ...int) (findings []Finding, seen map[int]int) {
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
		violations, examined := rule.Check(history)
		seen[rule.Number] = examined
		findings = append(findings, violations...)
	}
	return findings, seen
}

func ruleViolation(rule int, format string, arguments ...any) Finding {
	return Finding{Rule: rule, Text: fmt.Sprintf(format, arguments...)}
}
