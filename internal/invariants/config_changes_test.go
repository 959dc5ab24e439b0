package invariants_test

import (
	"testing"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

// TestConfigChangeChecks: each check finds what it's for, and nothing where all is as it should be.
func TestConfigChangeChecks(t *testing.T) {
	second := monotonic.Second
	sent := &invariants.Attempt{ID: "a", Key: "k", Sent: 10 * second, Ended: 11 * second, Mesh: true, Status: 502}
	run := invariants.Run{Attempt: "a", Key: "k", Service: "forms", At: 10 * second, Executed: true}
	other := invariants.Run{Attempt: "a", Key: "k", Service: "forms-next", At: 90 * second, Executed: true}
	applied := func(version uint64, at monotonic.Micros) invariants.AppliedConfig {
		return invariants.AppliedConfig{Version: version, Outcome: "accepted", At: at * second, Sum: map[uint64]string{1: "one", 2: "two"}[version]}
	}
	serves := func(version uint64, sum string, at monotonic.Micros) invariants.ActiveConfig {
		return invariants.ActiveConfig{Proxy: "c", Version: version, Sum: sum, At: at * second}
	}
	counted := func(incarnation uint64, verdict string, calls uint64, window int) invariants.CallCounts {
		return invariants.CallCounts{Proxy: "c", Incarnation: incarnation, Service: "s", Verdict: verdict, Calls: calls, Window: window}
	}
	for name, one := range map[string]struct {
		check   invariants.Check
		history *invariants.History
		found   int
	}{
		"a key that ran once":                  {invariants.KeysExecutedOnce, &invariants.History{Attempts: []*invariants.Attempt{sent}, Runs: []invariants.Run{run}}, 0},
		"a key that ran nowhere":               {invariants.KeysExecutedOnce, &invariants.History{Attempts: []*invariants.Attempt{sent}}, 1},
		"a key that ran on two services":       {invariants.KeysExecutedOnce, &invariants.History{Attempts: []*invariants.Attempt{sent}, Runs: []invariants.Run{run, other}}, 1},
		"in a killed carrier's hand":           {invariants.KeysExecutedOnce, &invariants.History{Attempts: []*invariants.Attempt{sent}, Markers: []invariants.Marker{{What: invariants.ProxyKilledMarker + "c", At: 10500000}}}, 0},
		"a carrier killed at another time":     {invariants.KeysExecutedOnce, &invariants.History{Attempts: []*invariants.Attempt{sent}, Markers: []invariants.Marker{{What: invariants.ProxyKilledMarker + "c", At: 12 * second}}}, 1},
		"no key":                               {invariants.KeysExecutedOnce, &invariants.History{}, 1},
		"taken up in time":                     {invariants.VersionsAdopted, &invariants.History{AppliedConfigs: []invariants.AppliedConfig{applied(1, 1), applied(2, 5)}, ActiveConfigs: []invariants.ActiveConfig{serves(1, "one", 2), serves(1, "one", 7), serves(2, "two", 8)}}, 0},
		"taken up late":                        {invariants.VersionsAdopted, &invariants.History{AppliedConfigs: []invariants.AppliedConfig{applied(1, 1), applied(2, 5)}, ActiveConfigs: []invariants.ActiveConfig{serves(1, "one", 8)}}, 1},
		"something else under the same serial": {invariants.VersionsAdopted, &invariants.History{AppliedConfigs: []invariants.AppliedConfig{applied(1, 1)}, ActiveConfigs: []invariants.ActiveConfig{serves(1, "two", 2), serves(1, "two", 3)}}, 1},
		"counters that grow":                   {invariants.BreakerCountersMonotonic, &invariants.History{CallCounts: []invariants.CallCounts{counted(1, "closed", 5, 5), counted(1, "closed", 9, 9), counted(1, "open", 9, 0), counted(2, "open", 0, 0)}}, 0},
		"a window that is forgotten":           {invariants.BreakerCountersMonotonic, &invariants.History{CallCounts: []invariants.CallCounts{counted(1, "closed", 5, 5), counted(1, "closed", 6, 1)}}, 1},
		"calls that are forgotten":             {invariants.BreakerCountersMonotonic, &invariants.History{CallCounts: []invariants.CallCounts{counted(1, "closed", 5, 5), counted(1, "open", 0, 0)}}, 1},
	} {
		if findings, _ := one.check.Run(one.history); len(findings) != one.found {
			t.Errorf("%s: %v", name, findings)
		}
	}
}
