package breakerstore

import (
	"maps"
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// setState changes a record's state and starts its next version. Proxies with failed probes in the round that reopened the record are
// its suspects until the next round has ended.
func setState(record *wire.BreakerRecord, state string, now monotonic.Micros) {
	if record.State != Open {
		record.Suspects = nil
	}
	if record.State == HalfOpen && state == Open {
		record.Suspects = proxiesOf(failedProbes(record))
	}
	record.State = state
	record.EnteredAt = int64(now)
	record.Version++
	record.Budget = 0
	record.ProbeLeases = nil
	record.ProbeResults = nil
	record.RoundCompletedAt = 0
	record.Reports = nil
	record.Shares = nil
	if state == HalfOpen {
		record.Budget = permittedProbes(record)
	}
}

// extendExpiry postpones the time at which an unused record returns to closed. Every applied write calls it.
func extendExpiry(record *wire.BreakerRecord, now monotonic.Micros) {
	if record.Settings != nil {
		record.ExpiresAt = int64(now) + record.Settings.StateTtl
	}
}

// permittedProbes returns the number of probes in a round.
func permittedProbes(record *wire.BreakerRecord) uint32 { return max(1, record.Settings.Permitted) }

// failedProbes returns the results of the round's failed probes.
func failedProbes(record *wire.BreakerRecord) (failed []*wire.ProbeResult) {
	for _, result := range record.ProbeResults {
		if !result.Success {
			failed = append(failed, result)
		}
	}
	return failed
}

// proxiesOf returns the proxies that sent the results, sorted and without duplicates.
func proxiesOf(results []*wire.ProbeResult) []string {
	names := map[string]bool{}
	for _, result := range results {
		names[result.Proxy] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// proxySet returns the set of a proxy and the active proxies.
func proxySet(proxy string, active []string) map[string]bool {
	set := map[string]bool{proxy: true}
	for _, name := range active {
		set[name] = true
	}
	return set
}

// EvaluateRound returns the state that follows a completed round, Open or Closed. It is Open if the share of failed probes reaches the
// threshold and at least two proxies saw failures, or one if only one took part. As with trip reports, a single proxy must not open
// the breaker for others whose probes succeeded. Proxies and Sweep both use it.
func EvaluateRound(record *wire.BreakerRecord) string {
	if len(record.ProbeResults) == 0 {
		return Open
	}
	failing, probing := proxiesOf(failedProbes(record)), proxiesOf(record.ProbeResults)
	if exceedsFailureRate(record) && len(failing) >= min(2, len(probing)) {
		return Open
	}
	return Closed
}

// exceedsFailureRate reports whether the share of failed probes reaches the threshold, regardless of which proxies sent them.
func exceedsFailureRate(record *wire.BreakerRecord) bool {
	return float64(len(failedProbes(record))) >= record.Settings.FailureRate*float64(len(record.ProbeResults))
}
