package invariants

import (
	"slices"
	"sort"
)

// checkExecutedOnce is rule 1: no idempotency key is executed twice within the time that keys are remembered.
func checkExecutedOnce(history *History) (findings []Finding, seen int) {
	last := map[string]BackendRequest{}
	for _, run := range sortedByTime(history.BackendRequests) {
		if run.Key == "" || !run.Executed {
			continue
		}
		seen++
		if earlier, again := last[run.Key]; again && run.At-earlier.At <= idempotencyWindow {
			findings = append(findings, ruleViolation(ruleExecutedOnce, "key %s ran at %d on %s for %s and at %d on %s for %s",
				run.Key, earlier.At, earlier.Instance, earlier.Attempt, run.At, run.Instance, run.Attempt))
		}
		last[run.Key] = run
	}
	return findings, seen
}

// sortedByTime returns the runs in the order of their times; runs at the same time stay in their order.
func sortedByTime(runs []BackendRequest) []BackendRequest {
	ordered := slices.Clone(runs)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].At < ordered[j].At })
	return ordered
}

// checkNotRun is rule 2: an attempt that was rejected as not run, be it a read or a write, was executed neither before nor
// after the rejection. Nor had its key been executed when it was sent, within the time that keys are remembered.
func checkNotRun(history *History) (findings []Finding, seen int) {
	byAttempt, byKey := map[string]BackendRequest{}, map[string][]BackendRequest{}
	for _, run := range history.BackendRequests {
		if !run.Executed {
			continue
		}
		byAttempt[run.Attempt] = run
		if run.Key != "" {
			byKey[run.Key] = append(byKey[run.Key], run)
		}
	}
	for _, attempt := range history.Attempts {
		if !attempt.RejectedByMesh || !attempt.NotRun {
			continue
		}
		seen++
		if run, ran := byAttempt[attempt.ID]; ran {
			findings = append(findings, ruleViolation(ruleNotRun, "%s was rejected as not run (cause %d) at %d, but ran at %d on %s",
				attempt.ID, attempt.Cause, attempt.Ended, run.At, run.Instance))
			continue
		}
		if attempt.Key == "" {
			continue
		}
		for _, run := range byKey[attempt.Key] {
			if run.At < attempt.Sent && attempt.Ended-run.At < idempotencyWindow {
				findings = append(findings, ruleViolation(ruleNotRun, "%s was rejected as not run (cause %d) at %d, but its key ran at %d for %s",
					attempt.ID, attempt.Cause, attempt.Ended, run.At, run.Attempt))
			}
		}
	}
	return findings, seen
}

// checkOwnResponses is rule 3: a successful response is complete, and is byte for byte what a backend responded to this very
// request or, for an idempotency key, to an earlier request with the key.
func checkOwnResponses(history *History) (findings []Finding, seen int) {
	executions := map[string][]BackendRequest{}
	for _, run := range history.BackendRequests {
		if run.Executed {
			executions[run.Attempt] = append(executions[run.Attempt], run)
		}
	}
	for _, attempt := range history.Attempts {
		if !attempt.succeeded() {
			continue
		}
		seen++
		if text := foreignResponse(attempt, executions[attempt.Echo]); text != "" {
			findings = append(findings, ruleViolation(ruleOwnResponses, "%s %s", attempt.ID, text))
		}
	}
	return findings, seen
}

// foreignResponse returns what is wrong with a successful response, given the executions of the attempt that it names, or
// nothing.
func foreignResponse(attempt *Attempt, executions []BackendRequest) string {
	responded := slices.ContainsFunc(executions, func(run BackendRequest) bool { return run.Sum != "" && run.Sum == attempt.Sum })
	switch {
	case !attempt.Complete:
		return "got a success that is not complete"
	case attempt.Key == "" && attempt.Echo != attempt.ID:
		return "got the response to " + attempt.Echo
	case len(executions) == 0:
		return "got a success, but no backend executed " + attempt.Echo
	case attempt.Key != "" && executions[0].Key != attempt.Key:
		return "with key " + attempt.Key + " got the response to " + attempt.Echo + " with key " + executions[0].Key
	case !responded:
		return "got a response that no backend sent to " + attempt.Echo
	}
	return ""
}

// checkRouting is rule 5: a request runs only on services that some configuration, submitted by then, routes its kind of
// traffic to; and nothing runs that nobody sent.
func checkRouting(history *History) (findings []Finding, seen int) {
	kinds := map[string]string{}
	for _, attempt := range history.Attempts {
		kinds[attempt.ID] = attempt.Kind
	}
	for _, run := range history.BackendRequests {
		seen++
		kind, known := kinds[run.Attempt]
		if !known {
			findings = append(findings, ruleViolation(ruleRouting, "%s ran on %s at %d, and nobody sent it", run.Attempt, run.Service, run.At))
			continue
		}
		if since, allowed := history.AllowedRoutes[kind][run.Service]; !allowed || run.At < since {
			findings = append(findings, ruleViolation(ruleRouting, "%s of kind %s ran on %s at %d, where no configuration had routed it",
				run.Attempt, kind, run.Service, run.At))
		}
	}
	return findings, seen
}
