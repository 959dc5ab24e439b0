package scenario

import (
	"fmt"
	"slices"
	"testing"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

func TestPeakTrafficRoutes(t *testing.T) { runScenario(t, "friday-routes", 1, 2) }

// peakTrafficRun plays the course with other faults, and gives its mesh.
func peakTrafficRun(t *testing.T, seed uint64, defects Defects, first, faults []fault) (*Mesh, Result) {
	t.Helper()
	var mesh *Mesh
	scenario := Scenarios["friday-routes"]
	scenario.InitialFaults, scenario.Faults = first, faults
	scenario.Prepare = func(built *Mesh) {
		mesh = built
		preparePeakTraffic(mesh)
	}
	return mesh, Run(scenario, seed, defects)
}

// TestRouteChangesCostNothing pairs a Friday with route changes, and nothing else, with the same Friday without any. With them each
// lookup and each key must be served as without, and no share may be lower; what the slowest took is stated.
func TestRouteChangesCostNothing(t *testing.T) {
	changes := []fault{changeRoute, changeRoutesInBurst, changeRoutesConcurrently, changeRoute}
	for _, seed := range seeds(t, 2) {
		startDelay, calm := peakTrafficRun(t, seed, Defects{}, nil, []fault{noFault})
		busy, changed := peakTrafficRun(t, seed, Defects{}, nil, changes)
		for _, finding := range slices.Concat(calm.Findings, changed.Findings) {
			if !finding.NothingExamined || finding.Check != "" {
				t.Errorf("seed %d: %s", seed, finding)
			}
		}
		t.Logf("seed %d: %d versions, changes %v", seed, busy.latestVersion, busy.routeWorkload.Counts)
		if busy.latestVersion < 60 || len(busy.routeWorkload.Counts) < busy.routeWorkload.KindCount() {
			t.Errorf("seed %d: only %d versions, changes %v", seed, busy.latestVersion, busy.routeWorkload.Counts)
		}
		for _, one := range slices.Concat(changingFamilies, lookupFamilies) {
			served, sent := invariants.ServedShare(startDelay.History, one.Kind, 0, startDelay.World.Now())
			servedBusy, sentBusy := invariants.ServedShare(busy.History, one.Kind, 0, busy.World.Now())
			before, after := calm.Latencies[one.Kind], changed.Latencies[one.Kind]
			t.Logf("seed %d: %s: without changes %d of %d at first, p50 %d p99 %d slowest %d microseconds; with them %d of %d, p50 %d p99 %d slowest %d", seed, one.Kind,
				served, sent, before[len(before)/2], before[len(before)*99/100], before[len(before)-1], servedBusy, sentBusy, after[len(after)/2], after[len(after)*99/100], after[len(after)-1])
			if servedBusy*sent < served*sentBusy {
				t.Errorf("seed %d: %s: %d of %d served with changes, %d of %d without", seed, one.Kind, servedBusy, sentBusy, served, sent)
			}
		}
		differences, fullStates := uint64(0), uint64(0)
		for _, name := range busy.proxyNames {
			adopted := busy.proxies[name].ConfigClient.Stats()
			differences, fullStates = differences+adopted.Differences, fullStates+adopted.FullStates
		}
		t.Logf("seed %d: carriers took up %d differences and %d wholes", seed, differences, fullStates)
		if fullStates != uint64(len(busy.proxyNames)) || differences < 20*fullStates {
			t.Errorf("seed %d: %d differences and %d wholes", seed, differences, fullStates)
		}
	}
}

// TestPeakTrafficChecksDetectDefects breaks one part at a time; the check that it's for must find something in some seed.
func TestPeakTrafficChecksDetectDefects(t *testing.T) {
	losing := fault{"backends lose answers", func(mesh *Mesh) {
		for _, one := range mesh.liveBackends("") {
			if one.service != "assignment" && one.service != "eligibility" {
				one.behavior = "losing"
				mesh.after(monotonic.Second, func() { one.behavior = "" })
			}
		}
	}}
	changes := Scenarios["friday-routes"].Faults
	for _, one := range []struct {
		name    string
		defects Defects
		faults  []fault
		caught  func(finding invariants.Finding) bool
	}{
		{"a version replaces what was counted", Defects{ResetCounters: true}, changes, func(finding invariants.Finding) bool {
			return finding.Check == invariants.BreakerCountersMonotonic.Name
		}},
		{"a difference is applied onto the wrong base", Defects{WrongBase: true}, []fault{changeRoutesDuringPartition, changeRoute}, func(finding invariants.Finding) bool { return finding.Check == invariants.VersionsAdopted.Name }},
		{"a key is claimed for one service only", Defects{ClaimPerService: true}, []fault{losing, changeRoutesInBurst, changeRoute}, func(finding invariants.Finding) bool { return finding.Check == invariants.KeysExecutedOnce.Name }},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 4; seed++ {
				_, complete := peakTrafficRun(t, seed, Defects{}, nil, one.faults)
				for _, finding := range complete.Findings {
					if !finding.NothingExamined && one.caught(finding) {
						t.Fatalf("seed %d: found without anything broken: %s", seed, finding)
					}
				}
				_, broken := peakTrafficRun(t, seed, one.defects, nil, one.faults)
				for _, finding := range broken.Findings {
					if !finding.NothingExamined && one.caught(finding) {
						t.Logf("seed %d: %s", seed, finding)
						return
					}
				}
			}
			t.Error("nothing was seen in 4 seeds", fmt.Sprint(one.defects))
		})
	}
}
