package invariants

import (
	"slices"
	"strings"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
)

// serviceRecoveryGrace is how long after a service has recovered callers may still be rejected because of its failure.
const serviceRecoveryGrace = 12 * monotonic.Second

// isolationCauses are the causes of rejections that show that one caller's degraded network affects other callers: the breaker is
// open, no probe is left, no backend is known, or all backends are full.
var isolationCauses = map[apierror.Cause]bool{
	apierror.BreakerOpen: true,
	apierror.NoProbeLeft: true,
	apierror.NoBackend:   true,
	apierror.Overloaded:  true,
}

// degradedPeriod is the period in which only some callers' networks are degraded: those of the listed proxies.
type degradedPeriod struct {
	from, until monotonic.Micros // zero if the period did not begin or end
	proxies     []string
	// exempt are the periods in which a service itself fails or has only just recovered. They are not checked.
	exempt []PlannedChange
}

// findDegradedPeriod returns the period, with its exempt periods, according to the history's markers.
func findDegradedPeriod(markers []Marker) degradedPeriod {
	period := degradedPeriod{}
	for _, marker := range markers {
		proxy, degraded := strings.CutPrefix(marker.What, MarkerNetworkDegraded)
		switch {
		case degraded && proxy != "":
			if period.from == 0 {
				period.from = marker.At
			}
			period.proxies = append(period.proxies, proxy)
		case marker.What == MarkerNetworkRestored:
			period.until = marker.At
		case marker.What == MarkerServiceFailing:
			period.exempt = append(period.exempt, PlannedChange{From: marker.At})
		case marker.What == MarkerServiceRecovered:
			period.exempt[len(period.exempt)-1].Until = marker.At + serviceRecoveryGrace
		}
	}
	return period
}

// mustBeServed reports whether an attempt was sent through a proxy whose network is not degraded, within the period and outside the
// exempt periods.
func (p degradedPeriod) mustBeServed(attempt *Attempt) bool {
	if p.from == 0 || attempt.Sent < p.from || p.until > 0 && attempt.Sent > p.until || slices.Contains(p.proxies, attempt.Proxy) {
		return false
	}
	return !slices.ContainsFunc(p.exempt, func(exempt PlannedChange) bool {
		return attempt.Ended >= exempt.From && (exempt.Until == 0 || attempt.Sent < exempt.Until)
	})
}

// checkCallerIsolation is rule 11: while only some callers' networks are degraded, no other caller is rejected by a breaker or for
// lack of a backend or of capacity. If a service itself fails in this time, this applies again serviceRecoveryGrace after its
// recovery.
func checkCallerIsolation(history *History) (findings []Finding, examined int) {
	period := findDegradedPeriod(history.Markers)
	rejected := 0
	for _, attempt := range history.Attempts {
		if !period.mustBeServed(attempt) {
			continue
		}
		examined++
		if attempt.RejectedByMesh && isolationCauses[apierror.Cause(attempt.Cause)] {
			rejected++
		}
	}
	if rejected > 0 {
		findings = append(findings, ruleViolation(ruleCallerIsolation, "%d of %d requests of other callers were rejected while only the networks of %v were degraded",
			rejected, examined, period.proxies))
	}
	return findings, examined
}
