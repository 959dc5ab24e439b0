package invariants

import (
	"slices"
	"strings"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
)

// recoveryTime is how long after a failing service's recovery callers may still be rejected because of it.
const recoveryTime = 12 * monotonic.Second

// isolationCauses are the causes of rejection by which one caller's trouble would show at other callers: the breaker is open,
// no probe is left, no backend is known, all backends are full.
var isolationCauses = map[apierror.Cause]bool{
	apierror.BreakerOpen: true,
	apierror.NoProbeLeft: true,
	apierror.NoBackend:   true,
	apierror.Overloaded:  true,
}

// networkTrouble is the period in which the networks of some callers, and of these only, are degraded.
type networkTrouble struct {
	from, until monotonic.Micros // zero if it did not begin or end
	callers     []string
	// excused are the periods in which a service itself fails or has only just recovered.
	excused []PlannedChange
}

// readNetworkTrouble reads the period and its excuses from the history's markers.
func readNetworkTrouble(markers []Marker) networkTrouble {
	trouble := networkTrouble{}
	for _, marker := range markers {
		caller, troubled := strings.CutPrefix(marker.What, MarkerNetworkDegraded)
		switch {
		case troubled && caller != "":
			if trouble.from == 0 {
				trouble.from = marker.At
			}
			trouble.callers = append(trouble.callers, caller)
		case marker.What == MarkerNetworkRestored:
			trouble.until = marker.At
		case marker.What == MarkerServiceFailing:
			trouble.excused = append(trouble.excused, PlannedChange{From: marker.At})
		case marker.What == MarkerServiceRecovered:
			trouble.excused[len(trouble.excused)-1].Until = marker.At + recoveryTime
		}
	}
	return trouble
}

// mustBeServed reports whether an attempt was sent by a caller without trouble, within the period and outside its excuses.
func (t networkTrouble) mustBeServed(attempt *Attempt) bool {
	if t.from == 0 || attempt.Sent < t.from || t.until > 0 && attempt.Sent > t.until || slices.Contains(t.callers, attempt.Proxy) {
		return false
	}
	return !slices.ContainsFunc(t.excused, func(excuse PlannedChange) bool {
		return attempt.Ended >= excuse.From && (excuse.Until == 0 || attempt.Sent < excuse.Until)
	})
}

// checkCallerIsolation is rule 11: while only some callers' networks are degraded, no other caller is rejected by a breaker, or
// for want of a backend or of capacity. Where a service itself fails meanwhile, others are served again soon afterwards.
func checkCallerIsolation(history *History) (findings []Finding, seen int) {
	trouble := readNetworkTrouble(history.Markers)
	rejected := 0
	for _, attempt := range history.Attempts {
		if !trouble.mustBeServed(attempt) {
			continue
		}
		seen++
		if attempt.RejectedByMesh && isolationCauses[apierror.Cause(attempt.Cause)] {
			rejected++
		}
	}
	if rejected > 0 {
		findings = append(findings, ruleViolation(ruleCallerIsolation, "%d of %d requests of other callers were rejected while only %v were in trouble",
			rejected, seen, trouble.callers))
	}
	return findings, seen
}
