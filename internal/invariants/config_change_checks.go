package invariants

import (
	"fmt"
	"slices"
	"strings"
)

// checkKeysExecutedOnce holds if callers repeat each key until it succeeds: by the end, each key has been executed once, on one
// service. Only a key whose request was in flight at a proxy that was killed may be without an execution. Nobody knows whether
// it had run, its caller was notified of that, and the key stays claimed until the claim expires.
func checkKeysExecutedOnce(history *History) (findings []Finding, seen int) {
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
		runs := executed[key]
		switch {
		case len(runs) == 0 && !slices.ContainsFunc(attempts[key], history.interruptedByKill):
			findings = append(findings, newFinding("key %s, first sent at %d, was lost", key, attempts[key][0].Sent))
		case len(runs) > 1:
			findings = append(findings, newFinding("key %s ran %d times, on %s at %d and on %s at %d",
				key, len(runs), runs[0].Service, runs[0].At, runs[1].Service, runs[1].At))
		}
	}
	return findings, len(keys)
}

// executionsByKey groups the executed runs by their idempotency keys.
func (h *History) executionsByKey() map[string][]BackendRequest {
	executed := map[string][]BackendRequest{}
	for _, run := range h.BackendRequests {
		if run.Executed && run.Key != "" {
			executed[run.Key] = append(executed[run.Key], run)
		}
	}
	return executed
}

// interruptedByKill reports whether a proxy was killed while an attempt was in flight that ended without a certain outcome.
func (h *History) interruptedByKill(attempt *Attempt) bool {
	ambiguous := attempt.TransportError != "" || attempt.RejectedByMesh && !attempt.NotRun
	return ambiguous && slices.ContainsFunc(h.Markers, func(marker Marker) bool {
		return strings.HasPrefix(marker.What, MarkerProxyKilled) && marker.At >= attempt.Sent && marker.At <= attempt.Ended
	})
}

// checkVersionsAdopted: once the propagation limit has passed since a version's acknowledgement, every proxy that serves does so
// by that version or a newer one; and each version has the same effect on every proxy.
func checkVersionsAdopted(history *History) (findings []Finding, seen int) {
	findings, seen = checkContentMatchesVersion(history)
	for _, active := range history.ActiveConfigs {
		if required := history.requiredVersion(active.At); active.Version < required {
			findings = append(findings, newFinding("%s at %d serves by version %d; %d was acknowledged more than 2 s before",
				active.Proxy, active.At, active.Version, required))
		}
	}
	return findings, seen
}

// checkContentMatchesVersion: on every proxy, each version compiles to what its content says. A proxy is reported once for each
// version.
func checkContentMatchesVersion(history *History) (findings []Finding, seen int) {
	sums := map[uint64]string{}
	for _, applied := range history.AppliedConfigs {
		if applied.accepted() && applied.Sum != "" {
			sums[applied.Version] = applied.Sum
		}
	}
	reported := map[string]bool{}
	for _, active := range history.ActiveConfigs {
		seen++
		sum, known := sums[active.Version]
		what := fmt.Sprint(active.Proxy, active.Version)
		if !known || active.Sum == "" || sum == active.Sum || reported[what] {
			continue
		}
		reported[what] = true
		findings = append(findings, newFinding("%s at %d serves otherwise than version %d says", active.Proxy, active.At, active.Version))
	}
	return findings, seen
}

// checkBreakerCounters: within one incarnation of a proxy the calls that a breaker has counted never decrease, and those in its
// window decrease only if its verdict has changed.
func checkBreakerCounters(history *History) (findings []Finding, seen int) {
	last := map[string]CallCounts{}
	for _, counts := range history.CallCounts {
		breaker := counts.Proxy + "/" + counts.Service
		before, known := last[breaker]
		last[breaker] = counts
		if !known || before.Incarnation != counts.Incarnation || before.Calls == 0 {
			continue
		}
		seen++
		if counts.Calls < before.Calls || counts.BreakerState == before.BreakerState && counts.Window < before.Window {
			findings = append(findings, newFinding("%s lost calls of %s between %d and %d: %d in all and %d in its window, then %d and %d",
				counts.Proxy, counts.Service, before.At, counts.At, before.Calls, before.Window, counts.Calls, counts.Window))
		}
	}
	return findings, seen
}
