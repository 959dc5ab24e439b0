package scenario

import (
	"testing"

	"snowflow/internal/invariants"
)

func TestCutOff(t *testing.T) {
	play(t, "cut-off-3", 1, 2)
	play(t, "cut-off-4", 1)
	play(t, "cut-off-5", 1)
}

func TestExchanges(t *testing.T) {
	play(t, "exchanges-3", 1, 2)
	play(t, "exchanges-4", 1)
	play(t, "exchanges-5", 1)
}

func TestManyChanges(t *testing.T) {
	play(t, "many-changes-3", 1, 2)
	play(t, "many-changes-4", 1)
	play(t, "many-changes-5", 1)
}

// TestWorstDaysCheckersSee breaks one part of the control side at a time: its course's checkers must find something in some seed.
func TestWorstDaysCheckersSee(t *testing.T) {
	for name, one := range map[string]struct {
		course string
		broken Breakage
		sees   func(finding invariants.Finding) bool
	}{
		"a primary that answers without a lease":            {"cut-off-5", Breakage{NoLease: true}, byOrders},
		"a successor that lacks what was confirmed":         {"many-changes-3", Breakage{AnySuccessor: true}, byOrders},
		"a number that stands for several contents":         {"cut-off-3", Breakage{AnyContent: true}, byOrders},
		"a planned stop that leaves copy and seat behind":   {"exchanges-3", Breakage{Abandon: true}, byReturn},
		"syncs that do nothing, and a member that forgot":   {"many-changes-3", Breakage{NoSync: true}, func(invariants.Finding) bool { return true }},
		"a planned stop that leaves both behind, core of 5": {"exchanges-5", Breakage{Abandon: true, AnySuccessor: true}, byOrders},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 12; seed++ {
				for _, finding := range Run(Courses[one.course], seed, one.broken).Findings {
					if !finding.Blind && one.sees(finding) {
						t.Logf("seed %d: %s", seed, finding)
						return
					}
				}
			}
			t.Error("nothing was seen in 12 seeds")
		})
	}
}

// byOrders and byReturn tell by which checker something was found.
func byOrders(finding invariants.Finding) bool { return finding.Check == invariants.OrdersKept.Name }

func byReturn(finding invariants.Finding) bool { return finding.Rule == 12 }
