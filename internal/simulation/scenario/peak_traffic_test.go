package scenario

import (
	"fmt"
	"slices"
	"testing"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

func TestPeakTrafficRoutes(t *testing.T) { runScenario(t, "friday-routes", 1, 2) }

// peakTrafficRun plays the peak traffic scenario with other faults, and returns its mesh and its result.
func peakTrafficRun(seed uint64, defects Defects, faults []fault) (*Mesh, Result) {
	scenario := Scenarios["friday-routes"]
	scenario.InitialFaults, scenario.Faults = nil, faults
	return captureMesh(scenario, seed, defects)
}

// servedShare returns how many attempts of a kind were sent in a run that has ended, and how many of them were served.
func servedShare(mesh *Mesh, kind string) (servedCount, sent int) {
	for _, attempt := range mesh.History.Attempts {
		if attempt.Kind != kind {
			continue
		}
		sent++
		if served(attempt) {
			servedCount++
		}
	}
	return servedCount, sent
}

// TestRouteChangesCostNothing compares peak traffic during route changes with the same traffic without any. No kind of traffic may have
// a lower share of served requests. The highest latencies are logged.
func TestRouteChangesCostNothing(t *testing.T) {
	changes := []fault{changeRoute, changeRoutesInBurst, changeRoutesConcurrently, changeRoute}
	for _, seed := range seeds(t, 2) {
		calmMesh, calm := peakTrafficRun(seed, Defects{}, []fault{noFault})
		busyMesh, changed := peakTrafficRun(seed, Defects{}, changes)
		for _, finding := range slices.Concat(calm.Findings, changed.Findings) {
			if !finding.NothingExamined || finding.Check != "" {
				t.Errorf("seed %d: %s", seed, finding)
			}
		}
		t.Logf("seed %d: %d versions, changes %v", seed, busyMesh.latestVersion, busyMesh.routeWorkload.Counts)
		if busyMesh.latestVersion < 60 || len(busyMesh.routeWorkload.Counts) < busyMesh.routeWorkload.CombinationCount() {
			t.Errorf("seed %d: only %d versions, changes %v", seed, busyMesh.latestVersion, busyMesh.routeWorkload.Counts)
		}
		for _, family := range slices.Concat(changingFamilies, lookupFamilies) {
			served, sent := servedShare(calmMesh, family.Kind)
			servedBusy, sentBusy := servedShare(busyMesh, family.Kind)
			before, after := calm.Latencies[family.Kind], changed.Latencies[family.Kind]
			t.Logf("seed %d: %s: without changes %d of %d at first, p50 %d p99 %d slowest %d microseconds; with them %d of %d, p50 %d p99 %d slowest %d", seed, family.Kind,
				served, sent, before[len(before)/2], before[len(before)*99/100], before[len(before)-1], servedBusy, sentBusy, after[len(after)/2], after[len(after)*99/100], after[len(after)-1])
			if servedBusy*sent < served*sentBusy {
				t.Errorf("seed %d: %s: %d of %d served with changes, %d of %d without", seed, family.Kind, servedBusy, sentBusy, served, sent)
			}
		}
		differences, fullStates := uint64(0), uint64(0)
		for _, name := range busyMesh.proxyNames {
			adopted := busyMesh.proxies[name].ConfigClient.Stats()
			differences, fullStates = differences+adopted.Differences, fullStates+adopted.FullStates
		}
		t.Logf("seed %d: proxies adopted %d differences and %d full states", seed, differences, fullStates)
		if fullStates != uint64(len(busyMesh.proxyNames)) || differences < 20*fullStates {
			t.Errorf("seed %d: %d differences and %d full states", seed, differences, fullStates)
		}
	}
}

// TestPeakTrafficChecksDetectDefects turns off one part at a time: the check that depends on it must find a violation with some seed, and
// none without the defect.
func TestPeakTrafficChecksDetectDefects(t *testing.T) {
	losing := fault{"backends lose responses", func(mesh *Mesh) {
		for _, backend := range mesh.liveBackends("") {
			if backend.service != "assignment" && backend.service != "eligibility" {
				backend.behavior = "losing"
				mesh.after(monotonic.Second, func() { backend.behavior = "" })
			}
		}
	}}
	changes := Scenarios["friday-routes"].Faults
	for _, test := range []struct {
		name    string
		defects Defects
		faults  []fault
		caught  func(finding invariants.Finding) bool
	}{
		{"a new version resets the counters", Defects{ResetCounters: true}, changes, func(finding invariants.Finding) bool {
			return finding.Check == invariants.BreakerCountersMonotonic.Name
		}},
		{"a difference is applied onto the wrong base", Defects{WrongBase: true}, []fault{changeRoutesDuringPartition, changeRoute}, func(finding invariants.Finding) bool { return finding.Check == invariants.VersionsAdopted.Name }},
		{"a key is claimed for one service only", Defects{ClaimPerService: true}, []fault{losing, changeRoutesInBurst, changeRoute}, func(finding invariants.Finding) bool { return finding.Check == invariants.KeysExecutedOnce.Name }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 4; seed++ {
				_, complete := peakTrafficRun(seed, Defects{}, test.faults)
				for _, finding := range complete.Findings {
					if !finding.NothingExamined && test.caught(finding) {
						t.Fatalf("seed %d: found without anything broken: %s", seed, finding)
					}
				}
				_, broken := peakTrafficRun(seed, test.defects, test.faults)
				for _, finding := range broken.Findings {
					if !finding.NothingExamined && test.caught(finding) {
						t.Logf("seed %d: %s", seed, finding)
						return
					}
				}
			}
			t.Error("the defect was not detected in 4 seeds", fmt.Sprint(test.defects))
		})
	}
}
