package scenario

import (
	"testing"

	"snowflow/internal/invariants"
)

func TestCutOff(t *testing.T) {
	runScenario(t, "cut-off-3", 1, 2)
	runScenario(t, "cut-off-4", 1)
	runScenario(t, "cut-off-5", 1)
}

func TestReplacements(t *testing.T) {
	runScenario(t, "exchanges-3", 1, 2)
	runScenario(t, "exchanges-4", 1)
	runScenario(t, "exchanges-5", 1)
}

func TestManyChanges(t *testing.T) {
	runScenario(t, "many-changes-3", 1, 2)
	runScenario(t, "many-changes-4", 1)
	runScenario(t, "many-changes-5", 1)
}

// TestControlPlaneChecksDetectDefects disables one part of the control plane at a time. The scenario's checkers must detect that with at
// least one of the seeds.
func TestControlPlaneChecksDetectDefects(t *testing.T) {
	for name, test := range map[string]struct {
		scenario string
		defects  Defects
		detects  func(finding invariants.Finding) bool
	}{
		"a primary that answers without a lease":              {"cut-off-5", Defects{NoPrimaryLease: true}, foundByOperatorCalls},
		"a successor without what was confirmed":              {"many-changes-3", Defects{AnySuccessor: true}, foundByOperatorCalls},
		"a version that stands for several contents":          {"cut-off-3", Defects{AllowContentConflicts: true}, foundByOperatorCalls},
		"a planned stop that leaves replica and voter behind": {"exchanges-3", Defects{KeepVoterOnStop: true}, foundByRecoveryTime},
		"syncs that do nothing, and a member that forgot":     {"many-changes-3", Defects{NoSync: true}, func(invariants.Finding) bool { return true }},
		"a planned stop that leaves both behind, core of 5":   {"exchanges-5", Defects{KeepVoterOnStop: true, AnySuccessor: true}, foundByOperatorCalls},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 12; seed++ {
				for _, finding := range Run(Scenarios[test.scenario], seed, test.defects).Findings {
					if !finding.NothingExamined && test.detects(finding) {
						t.Logf("seed %d: %s", seed, finding)
						return
					}
				}
			}
			t.Error("the defect was not detected in 12 seeds")
		})
	}
}

// foundByOperatorCalls reports whether a finding comes from the check that operators' calls are linearizable.
func foundByOperatorCalls(finding invariants.Finding) bool {
	return finding.Check == invariants.OperatorCallsLinearizable.Name
}

// foundByRecoveryTime reports whether a finding comes from rule 12, which limits the recovery time.
func foundByRecoveryTime(finding invariants.Finding) bool { return finding.Rule == 12 }
