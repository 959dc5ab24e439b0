package scenario

import (
	"fmt"
	"slices"
	"testing"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

func TestPeakTrafficRoutes(t *testing.T) { runScenario(t, "friday-routes", 1, 2) }

// peakTrafficRun runs the peak traffic scenario with the given faults instead of its own, and returns the mesh and the result.
func peakTrafficRun(seed uint64, defects Defects, faults []fault) (*Mesh, Result) {
	scenario := Scenarios["friday-routes"]
	scenario.InitialFaults, scenario.Faults = nil, faults
	return captureMesh(scenario, seed, defects)
}

// servedShare returns how many attempts of a kind were sent in a finished run, and how many of them were served.
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

// TestRouteChangesCostNothing compares peak traffic during route changes with the same traffic without them. No kind of traffic may have a
// lower share of served attempts with changes. The latencies are only logged.
func TestRouteChangesCostNothing(t *testing.T) {
	changes := []fault{changeRoute, changeRoutesInBurst, changeRoutesConcurrently, changeRoute}
	for _, seed := range seeds(t, 2) {
		baselineMesh, baseline := peakTrafficRun(seed, Defects{}, []fault{noFault})
		changedMesh, changed := peakTrafficRun(seed, Defects{}, changes)
		for _, finding := range slices.Concat(baseline.Findings, changed.Findings) {
			if !finding.NothingExamined || finding.Check != "" {
				t.Errorf("seed %d: %s", seed, finding)
			}
		}
		t.Logf("seed %d: %d versions, changes %v", seed, changedMesh.latestVersion, changedMesh.routeWorkload.Counts)
		if changedMesh.latestVersion < 60 || len(changedMesh.routeWorkload.Counts) < changedMesh.routeWorkload.CombinationCount() {
			t.Errorf("seed %d: only %d versions, changes %v", seed, changedMesh.latestVersion, changedMesh.routeWorkload.Counts)
		}
		for _, family := range slices.Concat(changingFamilies, lookupFamilies) {
			served, sent := servedShare(baselineMesh, family.Kind)
			servedChanged, sentChanged := servedShare(changedMesh, family.Kind)
			baselineLatencies, changedLatencies := baseline.Latencies[family.Kind], changed.Latencies[family.Kind]
			t.Logf("seed %d: %s: without changes %d of %d served, p50 %d p99 %d slowest %d microseconds; with changes %d of %d served, p50 %d p99 %d slowest %d", seed, family.Kind,
				served, sent, baselineLatencies[len(baselineLatencies)/2], baselineLatencies[len(baselineLatencies)*99/100], baselineLatencies[len(baselineLatencies)-1],
				servedChanged, sentChanged, changedLatencies[len(changedLatencies)/2], changedLatencies[len(changedLatencies)*99/100], changedLatencies[len(changedLatencies)-1])
			if servedChanged*sent < served*sentChanged {
				t.Errorf("seed %d: %s: %d of %d served with changes, %d of %d without", seed, family.Kind, servedChanged, sentChanged, served, sent)
			}
		}
		differences, fullStates := uint64(0), uint64(0)
		for _, name := range changedMesh.proxyNames {
			adopted := changedMesh.proxies[name].ConfigClient.Stats()
			differences, fullStates = differences+adopted.Differences, fullStates+adopted.FullStates
		}
		t.Logf("seed %d: proxies adopted %d differences and %d full states", seed, differences, fullStates)
		if fullStates != uint64(len(changedMesh.proxyNames)) || differences < 20*fullStates {
			t.Errorf("seed %d: %d differences and %d full states", seed, differences, fullStates)
		}
	}
}

// TestPeakTrafficChecksDetectDefects disables one part of the mesh at a time. The check that depends on it must report a violation with at
// least one of the seeds, and none without the defect.
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
		detects func(finding invariants.Finding) bool
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
				_, intact := peakTrafficRun(seed, Defects{}, test.faults)
				for _, finding := range intact.Findings {
					if !finding.NothingExamined && test.detects(finding) {
						t.Fatalf("seed %d: reported without the defect: %s", seed, finding)
					}
				}
				_, defective := peakTrafficRun(seed, test.defects, test.faults)
				for _, finding := range defective.Findings {
					if !finding.NothingExamined && test.detects(finding) {
						t.Logf("seed %d: %s", seed, finding)
						return
					}
				}
			}
			t.Error("the defect was not detected in 4 seeds", fmt.Sprint(test.defects))
		})
	}
}
