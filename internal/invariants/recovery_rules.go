package invariants

import (
	"maps"
	"slices"

	"snowflow/internal/monotonic"
)

const (
	// postRecoveryWindow is the period after the recovery limit in which the share of served attempts is measured.
	postRecoveryWindow = 3 * monotonic.Second
	// minServedRatio is the least share of them that must be served.
	minServedRatio = 0.9
	// minSamples is the least number of them by which the share is judged.
	minSamples = 10
)

// recoveryCounts are the attempts of one kind of traffic after a return.
type recoveryCounts struct {
	firstSuccess monotonic.Micros // zero if there was none
	requested    bool             // some attempt was sent early enough to succeed within the limit
	sent, served int              // first attempts within the post-recovery window
}

// checkRecoveryTime is rule 12: within the recovery limit after the machines have returned, each kind of traffic that is sent
// has a success, and from then on nine in ten of the requests that are sent for the first time succeed. Repeated requests are
// not counted: their key may rightly be claimed still.
func checkRecoveryTime(history *History) (findings []Finding, seen int) {
	firstSent := history.firstSent()
	for _, marker := range history.Markers {
		if marker.What != MarkerFaultsEnded {
			continue
		}
		counts := countAfterReturn(history.Attempts, marker.At, firstSent)
		for _, kind := range slices.Sorted(maps.Keys(counts)) {
			count := counts[kind]
			if !count.requested {
				continue
			}
			seen++
			if count.firstSuccess == 0 || count.firstSuccess > marker.At+recoveryLimit {
				findings = append(findings, ruleViolation(ruleRecoveryTime, "%s had no success within 15 s of the return at %d (first at %d)",
					kind, marker.At, count.firstSuccess))
			} else if count.sent >= minSamples && float64(count.served) < minServedRatio*float64(count.sent) {
				findings = append(findings, ruleViolation(ruleRecoveryTime, "%s: %d of %d served in the seconds after 15 s from the return at %d",
					kind, count.served, count.sent, marker.At))
			}
		}
	}
	return findings, seen
}

// firstSent returns for each idempotency key when it was first sent.
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

// countAfterReturn counts the attempts sent since a return, by their kind.
func countAfterReturn(attempts []*Attempt, returned monotonic.Micros, firstSent map[string]monotonic.Micros) map[string]*recoveryCounts {
	counts, limit := map[string]*recoveryCounts{}, returned+recoveryLimit
	for _, attempt := range attempts {
		if attempt.Sent < returned {
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
