package invariants

import (
	"slices"
	"sort"
)

// checkExecutedOnce is rule 1: no idempotency key is executed twice within the idempotency window.
func checkExecutedOnce(history *History) (findings []Finding, examined int) {
	last := map[string]BackendRequest{}
	for _, request := range sortedByTime(history.BackendRequests) {
		if request.Key == "" || !request.Executed {
			continue
		}
		examined++
		if earlier, again := last[request.Key]; again && request.At-earlier.At <= idempotencyWindow {
			findings = append(findings, ruleViolation(ruleExecutedOnce, "key %s ran at %d on %s for %s and at %d on %s for %s",
				request.Key, earlier.At, earlier.Instance, earlier.AttemptID, request.At, request.Instance, request.AttemptID))
		}
		last[request.Key] = request
	}
	return findings, examined
}

// sortedByTime returns the requests sorted by time. The sort is stable.
func sortedByTime(requests []BackendRequest) []BackendRequest {
	ordered := slices.Clone(requests)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].At < ordered[j].At })
	return ordered
}

// checkNotRun is rule 2: an attempt that was rejected as not run, whether a read or a write, was executed neither before nor after
// the rejection. Its key, too, had not been executed within the idempotency window before the attempt was sent.
func checkNotRun(history *History) (findings []Finding, examined int) {
	byAttempt, byKey := map[string]BackendRequest{}, map[string][]BackendRequest{}
	for _, request := range history.BackendRequests {
		if !request.Executed {
			continue
		}
		byAttempt[request.AttemptID] = request
		if request.Key != "" {
			byKey[request.Key] = append(byKey[request.Key], request)
		}
	}
	for _, attempt := range history.Attempts {
		if !attempt.RejectedByMesh || !attempt.NotRun {
			continue
		}
		examined++
		if request, executed := byAttempt[attempt.ID]; executed {
			findings = append(findings, ruleViolation(ruleNotRun, "%s was rejected as not run (cause %d) at %d, but ran at %d on %s",
				attempt.ID, attempt.Cause, attempt.Ended, request.At, request.Instance))
			continue
		}
		if attempt.Key == "" {
			continue
		}
		for _, request := range byKey[attempt.Key] {
			if request.At < attempt.Sent && attempt.Ended-request.At < idempotencyWindow {
				findings = append(findings, ruleViolation(ruleNotRun, "%s was rejected as not run (cause %d) at %d, but its key ran at %d for %s",
					attempt.ID, attempt.Cause, attempt.Ended, request.At, request.AttemptID))
			}
		}
	}
	return findings, examined
}

// checkOwnResponses is rule 3: a successful response is complete, and its body is exactly what a backend sent in response to this
// request or, with an idempotency key, to an earlier request with the same key.
func checkOwnResponses(history *History) (findings []Finding, examined int) {
	executions := map[string][]BackendRequest{}
	for _, request := range history.BackendRequests {
		if request.Executed {
			executions[request.AttemptID] = append(executions[request.AttemptID], request)
		}
	}
	for _, attempt := range history.Attempts {
		if !attempt.succeeded() {
			continue
		}
		examined++
		if text := responseViolation(attempt, executions[attempt.Echo]); text != "" {
			findings = append(findings, ruleViolation(ruleOwnResponses, "%s %s", attempt.ID, text))
		}
	}
	return findings, examined
}

// responseViolation returns what is wrong with a successful response, or an empty string. executions are those of the attempt that
// the response says it belongs to.
func responseViolation(attempt *Attempt, executions []BackendRequest) string {
	responded := slices.ContainsFunc(executions, func(request BackendRequest) bool { return request.Sum != "" && request.Sum == attempt.Sum })
	switch {
	case !attempt.Complete:
		return "received a successful but incomplete response"
	case attempt.Key == "" && attempt.Echo != attempt.ID:
		return "received the response to " + attempt.Echo
	case len(executions) == 0:
		return "received a successful response, but no backend executed " + attempt.Echo
	case attempt.Key != "" && executions[0].Key != attempt.Key:
		return "with key " + attempt.Key + " received the response to " + attempt.Echo + " with key " + executions[0].Key
	case !responded:
		return "received a response that no backend sent to " + attempt.Echo
	}
	return ""
}

// checkRouting is rule 5: a request runs only on services to which a configuration submitted by that time routes its kind of traffic,
// and only if a caller sent it.
func checkRouting(history *History) (findings []Finding, examined int) {
	kinds := map[string]string{}
	for _, attempt := range history.Attempts {
		kinds[attempt.ID] = attempt.Kind
	}
	for _, request := range history.BackendRequests {
		examined++
		kind, known := kinds[request.AttemptID]
		if !known {
			findings = append(findings, ruleViolation(ruleRouting, "%s ran on %s at %d, but no caller sent it", request.AttemptID, request.Service, request.At))
			continue
		}
		if since, allowed := history.AllowedRoutes[kind][request.Service]; !allowed || request.At < since {
			findings = append(findings, ruleViolation(ruleRouting, "%s of kind %s ran on %s at %d, but no configuration had routed it there",
				request.AttemptID, kind, request.Service, request.At))
		}
	}
	return findings, examined
}
