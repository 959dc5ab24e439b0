package invariants

import (
	"fmt"
	"slices"
	"strings"
)

// checkKeysExecutedOnce applies if callers repeat each key until it succeeds: by the end, each key has been executed exactly once,
// on one service. Only a key whose request was in flight at a killed proxy may have no execution: nobody knows whether that request
// was executed, its caller was told so, and the key stays claimed until the claim expires.
func checkKeysExecutedOnce(history *History) (findings []Finding, examined int) {
	executed, attempts, keys := history.executionsByKey(), map[string][]*Attempt{}, []string{}
	for _, attempt := range history.Attempts {
		if attempt.Key == "" {
			continue
		}
		if attempts[attempt.Key] == nil {
			keys = append(keys, attempt.Key)
		}
		attempts[attempt.Key] = append(attempts[attempt.Key], attempt)
	}
	for _, key := range keys {
		executions := executed[key]
		switch {
		case len(executions) == 0 && !slices.ContainsFunc(attempts[key], history.interruptedByKill):
			findings = append(findings, newFinding("key %s, first sent at %d, was never executed", key, attempts[key][0].Sent))
		case len(executions) > 1:
			findings = append(findings, newFinding("key %s ran %d times, on %s at %d and on %s at %d",
				key, len(executions), executions[0].Service, executions[0].At, executions[1].Service, executions[1].At))
		}
	}
	return findings, len(keys)
}

// executionsByKey groups the executed requests by their idempotency keys.
func (h *History) executionsByKey() map[string][]BackendRequest {
	executed := map[string][]BackendRequest{}
	for _, request := range h.BackendRequests {
		if request.Executed && request.Key != "" {
			executed[request.Key] = append(executed[request.Key], request)
		}
	}
	return executed
}

// interruptedByKill reports whether an attempt's outcome is unknown and a proxy was killed while it was in flight.
func (h *History) interruptedByKill(attempt *Attempt) bool {
	ambiguous := attempt.TransportError != "" || attempt.RejectedByMesh && !attempt.NotRun
	return ambiguous && slices.ContainsFunc(h.Markers, func(marker Marker) bool {
		return strings.HasPrefix(marker.What, MarkerProxyKilled) && marker.At >= attempt.Sent && marker.At <= attempt.Ended
	})
}

// checkVersionsAdopted checks that every serving proxy uses a version or a newer one once the propagation limit has passed since the
// version's acknowledgement, and that each version has the same effect on every proxy.
func checkVersionsAdopted(history *History) (findings []Finding, examined int) {
	findings, examined = checkContentMatchesVersion(history)
	for _, active := range history.ActiveConfigs {
		if required := history.requiredVersion(active.At); active.Version < required {
			findings = append(findings, newFinding("%s at %d uses version %d; %d had been acknowledged more than 2 s before",
				active.Proxy, active.At, active.Version, required))
		}
	}
	return findings, examined
}

// checkContentMatchesVersion checks that on every proxy each version compiles to the same configuration as at the observer. A proxy
// is reported once per version.
func checkContentMatchesVersion(history *History) (findings []Finding, examined int) {
	sums := map[uint64]string{}
	for _, applied := range history.AppliedConfigs {
		if applied.accepted() && applied.Sum != "" {
			sums[applied.Version] = applied.Sum
		}
	}
	reported := map[string]bool{}
	for _, active := range history.ActiveConfigs {
		examined++
		sum, known := sums[active.Version]
		what := fmt.Sprint(active.Proxy, active.Version)
		if !known || active.Sum == "" || sum == active.Sum || reported[what] {
			continue
		}
		reported[what] = true
		findings = append(findings, newFinding("%s at %d uses a configuration that differs from the content of version %d", active.Proxy, active.At, active.Version))
	}
	return findings, examined
}

// checkBreakerCounters checks that within one incarnation of a proxy a breaker's count of all calls never decreases, and that the
// calls in its window decrease only if its state has changed.
func checkBreakerCounters(history *History) (findings []Finding, examined int) {
	last := map[string]CallCounts{}
	for _, counts := range history.CallCounts {
		breaker := counts.Proxy + "/" + counts.Service
		before, known := last[breaker]
		last[breaker] = counts
		if !known || before.Incarnation != counts.Incarnation || before.Calls == 0 {
			continue
		}
		examined++
		if counts.Calls < before.Calls || counts.BreakerState == before.BreakerState && counts.Window < before.Window {
			findings = append(findings, newFinding("%s lost counted calls of %s between %d and %d: %d in total and %d in the window, then %d and %d",
				counts.Proxy, counts.Service, before.At, counts.At, before.Calls, before.Window, counts.Calls, counts.Window))
		}
	}
	return findings, examined
}
