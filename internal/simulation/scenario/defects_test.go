package scenario

import (
	"testing"

	"snowflow/internal/registry/breakerstore"
)

// TestRulesDetectDefects disables one part of the mesh at a time. The rule that depends on it must report a violation with at least one of
// the seeds.
func TestRulesDetectDefects(t *testing.T) {
	tests := []struct {
		name      string
		rule      int
		scenario  string
		defects   Defects
		firstSeed uint64
	}{
		{"no claims", 1, "backends", Defects{NoClaims: true}, 1},
		{"no claims, so that not run is uncertain", 2, "backends", Defects{NoClaims: true}, 1},
		{"truncated responses are accepted", 3, "backends", Defects{AcceptTruncated: true}, 1},
		{"leaving ignored", 4, "backends", Defects{IgnoreDraining: true}, 1},
		{"identity not asked", 5, "backends", Defects{NoIdentityCheck: true}, 1},
		{"serving without a lease", 6, "configurations", Defects{NoServingLease: true}, 1},
		{"clocks that stand still in a suspended machine", 6, "configurations", Defects{ClockStopsWhileFrozen: true}, 1},
		{"syncs that do nothing", 7, "acknowledged", Defects{NoSync: true}, 1},
		{"retries without a budget", 8, "backends", Defects{NoRetryBudget: true}, 1},
		{"a planned stop that ends at once", 9, "drains", Defects{NoDrain: true}, 1},
		{"slots that leak", 10, "guards", Defects{BreakerFault: breakerstore.FaultLosesReturnedProbes}, 1},
		{"every trip opens for all", 11, "troubled", Defects{BreakerFault: breakerstore.FaultOpensOnAnyTrip}, 1},
		{"syncs that do nothing, and verdicts lost with them", 10, "written", Defects{NoSync: true}, 60},
		{"a configuration acknowledged by a stepped clock", 6, "clocks", Defects{TrustClock: true}, 2},
		{"a key executed again after a clock step", 1, "clocks", Defects{TrustClock: true}, 11},
		{"one proxy may take all probes and reopen alone", 11, "trials", Defects{BreakerFault: breakerstore.FaultNoProbeShares}, 2},
		{"closed without a probe", 10, "guards", Defects{BreakerFault: breakerstore.FaultSkipsHalfOpen}, 1},
		{"a wait cut short", 10, "guards", Defects{BreakerFault: breakerstore.FaultShortWait}, 1},
		{"probe leases that are never returned", 10, "guards", Defects{BreakerFault: breakerstore.FaultKeepsProbes}, 1},
		{"calls while half open without a probe lease", 10, "trials", Defects{NoProbeLease: true}, 1},
		{"a core that stays away", 12, "core", Defects{NoRecovery: true}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := test.firstSeed; seed < test.firstSeed+12; seed++ {
				for _, finding := range Run(Scenarios[test.scenario], seed, test.defects).Findings {
					// A rule that had nothing to examine doesn't count.
					if finding.Rule == test.rule && !finding.NothingExamined {
						t.Logf("seed %d: %s", seed, finding)
						return
					}
				}
			}
			t.Errorf("rule %d did not detect the defect in 12 seeds", test.rule)
		})
	}
}

// TestRevocationChecksDetectDefects checks that the check of the tenants' keys detects a missing key lease, without which a partitioned
// proxy continues to accept revoked keys.
func TestRevocationChecksDetectDefects(t *testing.T) {
	for seed := range uint64(12) {
		for _, finding := range Run(Scenarios["revocations"], seed+1, Defects{NoKeyLease: true}).Findings {
			if finding.Check == "tenant keys" && !finding.NothingExamined {
				t.Logf("seed %d: %s", seed+1, finding)
				return
			}
		}
	}
	t.Error("the defect was not detected in 12 seeds")
}
