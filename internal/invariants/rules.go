package invariants

import (
	"fmt"

	"snowflow/internal/monotonic"
)

// Finding is one violation of a rule or check.
type Finding struct {
	// Rule is the number of the violated rule; zero for a check.
	Rule int
	// Text describes the violation.
	Text string
	// Check is the name of the violated check; empty for a rule.
	Check string
	// NothingExamined is set if the finding only says that a checker had nothing to examine.
	NothingExamined bool
}

// String returns the text, preceded by the number of the rule or the name of the check.
func (f Finding) String() string {
	if f.Check != "" {
		return f.Check + ": " + f.Text
	}
	return fmt.Sprintf("rule %d: %s", f.Rule, f.Text)
}

// Rule is one of the twelve rules of docs/rules.md. Check returns the violations and the number of observations that it examined:
// a rule that examined nothing proves nothing.
type Rule struct {
	Number int
	Name   string
	Check  func(history *History) (findings []Finding, examined int)
}

// The numbers of the rules in docs/rules.md.
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

// The limits that docs/rules.md guarantees.
const (
	// idempotencyWindow is how long an idempotency key is remembered.
	idempotencyWindow = 60 * monotonic.Second
	// propagationLimit is how long a change may take to take effect on every proxy.
	propagationLimit = 2 * monotonic.Second
	// recoveryLimit is how long service may take to resume once all faults have ended and all machines run again.
	recoveryLimit = 15 * monotonic.Second
	// retryWindow and maxRetryRatio bound retries: in any window of this length, to this share of the first attempts.
	retryWindow   = 10 * monotonic.Second
	maxRetryRatio = 0.2
)

// Rules lists all rules by number.
var Rules = []Rule{
	{ruleExecutedOnce, "executed at most once", checkExecutedOnce},
	{ruleNotRun, "requests rejected as not run were not executed", checkNotRun},
	{ruleOwnResponses, "responses are complete and belong to their request", checkOwnResponses},
	{ruleDrainedBackends, "no request reaches a drained backend", checkDrainedBackends},
	{ruleRouting, "requests run only where they are routed", checkRouting},
	{ruleVersions, "configuration versions never go back", checkVersionsMonotonic},
	{ruleConfigDurability, "configurations are durable", checkConfigDurability},
	{ruleRetryBudget, "retries are bounded", checkRetryBudget},
	{rulePlannedStops, "planned changes drop no request", checkPlannedStops},
	{ruleBreakers, "shared breaker records are consistent", checkBreakerRecords},
	{ruleCallerIsolation, "one caller's degraded network does not affect others", checkCallerIsolation},
	{ruleRecoveryTime, "service resumes in time after faults", checkRecoveryTime},
}

// CheckRules checks the rules with the given numbers, or all rules if none are given. examined holds the number of observations that
// each rule examined, by the rule's number.
func CheckRules(history *History, numbers ...int) (findings []Finding, examined map[int]int) {
	history.lock.Lock()
	defer history.lock.Unlock()
	wanted := map[int]bool{}
	for _, number := range numbers {
		wanted[number] = true
	}
	examined = map[int]int{}
	for _, rule := range Rules {
		if len(wanted) > 0 && !wanted[rule.Number] {
			continue
		}
		violations, count := rule.Check(history)
		examined[rule.Number] = count
		findings = append(findings, violations...)
	}
	return findings, examined
}

func ruleViolation(rule int, format string, arguments ...any) Finding {
	return Finding{Rule: rule, Text: fmt.Sprintf(format, arguments...)}
}
