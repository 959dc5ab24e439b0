package invariants

import (
	"maps"
	"slices"

	"snowflow/internal/monotonic"
)

const (
	// postRecoveryWindow is the period after the recovery limit in which the ratio of served attempts is measured.
	postRecoveryWindow = 3 * monotonic.Second
	// minServedRatio is the lowest acceptable ratio.
	minServedRatio = 0.9
	// minSamples is the number of attempts below which the ratio is not checked.
	minSamples = 10
)

// recoveryCounts summarizes the attempts of one kind of traffic after the faults have ended.
type recoveryCounts struct {
	firstSuccess monotonic.Micros // zero if there is none
	requested    bool             // at least one attempt was sent early enough to succeed within the limit
	sent, served int              // first attempts within the post-recovery window
}

// checkRecoveryTime is rule 12: within the recovery limit after all faults have ended, each kind of traffic that is sent has a
// success, and in the window after the limit at least 90% of the requests that are sent for the first time succeed. Repeated requests
// are not counted, because their keys may legitimately still be claimed.
func checkRecoveryTime(history *History) (findings []Finding, examined int) {
	firstSent := history.firstSent()
	for _, marker := range history.Markers {
		if marker.What != MarkerFaultsEnded {
			continue
		}
		counts := countAfterFaults(history.Attempts, marker.At, firstSent)
		for _, kind := range slices.Sorted(maps.Keys(counts)) {
			count := counts[kind]
			if !count.requested {
				continue
			}
			examined++
			if count.firstSuccess == 0 || count.firstSuccess > marker.At+recoveryLimit {
				findings = append(findings, ruleViolation(ruleRecoveryTime, "%s had no success within 15 s after the faults ended at %d (first at %d)",
					kind, marker.At, count.firstSuccess))
			} else if count.sent >= minSamples && float64(count.served) < minServedRatio*float64(count.sent) {
				findings = append(findings, ruleViolation(ruleRecoveryTime, "%s: only %d of %d requests succeeded from 15 s to 18 s after the faults ended at %d",
					kind, count.served, count.sent, marker.At))
			}
		}
	}
	return findings, examined
}

// firstSent returns the time at which each idempotency key was first sent.
func (h *History) firstSent() map[string]monotonic.Micros {
	first := map[string]monotonic.Micros{}
	for _, attempt := range h.Attempts {
		if attempt.Key == "" {
			continue
		}
		if since, known := first[attempt.Key]; !known || attempt.Sent < since {
			first[attempt.Key] = attempt.Sent
		}
	}
	return first
}

// countAfterFaults counts the attempts that were sent after the faults had ended, by kind.
func countAfterFaults(attempts []*Attempt, faultsEnded monotonic.Micros, firstSent map[string]monotonic.Micros) map[string]*recoveryCounts {
	counts, limit := map[string]*recoveryCounts{}, faultsEnded+recoveryLimit
	for _, attempt := range attempts {
		if attempt.Sent < faultsEnded {
			continue
		}
		if counts[attempt.Kind] == nil {
			counts[attempt.Kind] = &recoveryCounts{}
		}
		count, success := counts[attempt.Kind], attempt.succeeded() && attempt.Ended > 0
		count.requested = count.requested || attempt.Sent <= limit-propagationLimit
		if success && (count.firstSuccess == 0 || attempt.Ended < count.firstSuccess) {
			count.firstSuccess = attempt.Ended
		}
		repeated := attempt.Key != "" && firstSent[attempt.Key] != attempt.Sent
		if repeated || attempt.Sent <= limit || attempt.Sent > limit+postRecoveryWindow {
			continue
		}
		count.sent++
		if success {
			count.served++
		}
	}
	return counts
}
