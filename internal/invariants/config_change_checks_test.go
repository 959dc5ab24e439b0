package invariants_test

import (
	"testing"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

// TestConfigChangeChecks runs each check on short histories with a violation and on similar ones without.
func TestConfigChangeChecks(t *testing.T) {
	const second = monotonic.Second
	attempt := &invariants.Attempt{ID: "a", Key: "k", Sent: 10 * second, Ended: 11 * second, RejectedByMesh: true, Status: 502}
	request := invariants.BackendRequest{AttemptID: "a", Key: "k", Service: "forms", At: 10 * second, Executed: true}
	secondRequest := invariants.BackendRequest{AttemptID: "a", Key: "k", Service: "forms-next", At: 90 * second, Executed: true}
	withRequests := func(requests ...invariants.BackendRequest) *invariants.History {
		return &invariants.History{Attempts: []*invariants.Attempt{attempt}, BackendRequests: requests}
	}
	killedAt := func(at monotonic.Micros) *invariants.History {
		history := withRequests()
		history.RecordMarker(invariants.MarkerProxyKilled+"c", at)
		return history
	}
	applied := func(version uint64, at monotonic.Micros) invariants.AppliedConfig {
		return invariants.AppliedConfig{Version: version, Outcome: "accepted", At: at * second, Sum: map[uint64]string{1: "one", 2: "two"}[version]}
	}
	active := func(version uint64, sum string, at monotonic.Micros) invariants.ActiveConfig {
		return invariants.ActiveConfig{Proxy: "c", Version: version, Sum: sum, At: at * second}
	}
	firstApplied, bothApplied := []invariants.AppliedConfig{applied(1, 1)}, []invariants.AppliedConfig{applied(1, 1), applied(2, 5)}
	versions := func(applied []invariants.AppliedConfig, active ...invariants.ActiveConfig) *invariants.History {
		return &invariants.History{AppliedConfigs: applied, ActiveConfigs: active}
	}
	counts := func(incarnation uint64, state string, calls uint64, window int) invariants.CallCounts {
		return invariants.CallCounts{Proxy: "c", Incarnation: incarnation, Service: "s", BreakerState: state, Calls: calls, Window: window}
	}
	counted := func(counts ...invariants.CallCounts) *invariants.History {
		return &invariants.History{CallCounts: counts}
	}
	for _, test := range []struct {
		name     string
		check    invariants.Check
		history  *invariants.History
		findings int
	}{
		{"a key that ran once", invariants.KeysExecutedOnce, withRequests(request), 0},
		{"a key that ran nowhere", invariants.KeysExecutedOnce, withRequests(), 1},
		{"a key that ran on two services", invariants.KeysExecutedOnce, withRequests(request, secondRequest), 1},
		{"in flight at a killed proxy", invariants.KeysExecutedOnce, killedAt(10500000), 0},
		{"a proxy killed at another time", invariants.KeysExecutedOnce, killedAt(12 * second), 1},
		{"no key", invariants.KeysExecutedOnce, &invariants.History{}, 1},
		{"adopted in time", invariants.VersionsAdopted, versions(bothApplied, active(1, "one", 2), active(1, "one", 7), active(2, "two", 8)), 0},
		{"adopted late", invariants.VersionsAdopted, versions(bothApplied, active(1, "one", 8)), 1},
		{"another content under the same version", invariants.VersionsAdopted, versions(firstApplied, active(1, "two", 2), active(1, "two", 3)), 1},
		{"counters that grow", invariants.BreakerCountersMonotonic, counted(counts(1, "closed", 5, 5), counts(1, "closed", 9, 9), counts(1, "open", 9, 0), counts(2, "open", 0, 0)), 0},
		{"a window that is lost", invariants.BreakerCountersMonotonic, counted(counts(1, "closed", 5, 5), counts(1, "closed", 6, 1)), 1},
		{"calls that are lost", invariants.BreakerCountersMonotonic, counted(counts(1, "closed", 5, 5), counts(1, "open", 0, 0)), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			if findings, _ := test.check.Run(test.history); len(findings) != test.findings {
				t.Errorf("%d findings, expected %d: %v", len(findings), test.findings, findings)
			}
		})
	}
}
