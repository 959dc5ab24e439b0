package scenario

import (
	"fmt"
	"slices"
	"testing"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

func TestFridayRoutes(t *testing.T) { play(t, "friday-routes", 1, 2) }

// fridayRun plays the course with other faults, and gives its mesh.
func fridayRun(t *testing.T, seed uint64, breakage Breakage, first, faults []fault) (*Mesh, Result) {
	t.Helper()
	var mesh *Mesh
	course := Courses["friday-routes"]
	course.First, course.Faults = first, faults
	course.Prepare = func(built *Mesh) {
		mesh = built
		fridayPrepare(mesh)
	}
	return mesh, Run(course, seed, breakage)
}

// TestFridayChangesCostNobody pairs a Friday with route changes, and nothing else, with the same Friday without any. With them each
// lookup and each key must be served as without, and no share may be lower; what the slowest took is stated.
func TestFridayChangesCostNobody(t *testing.T) {
	changes := []fault{routeAlone, routeStorm, routeRace, routeAlone}
	for _, seed := range seeds(t, 2) {
		quiet, calm := fridayRun(t, seed, Breakage{}, nil, []fault{nothing})
		busy, changed := fridayRun(t, seed, Breakage{}, nil, changes)
		for _, finding := range slices.Concat(calm.Findings, changed.Findings) {
			if !finding.Blind || finding.Check != "" {
				t.Errorf("seed %d: %s", seed, finding)
			}
		}
		t.Logf("seed %d: %d versions, changes %v", seed, busy.latest, busy.friday.Counts)
		if busy.latest < 60 || len(busy.friday.Counts) < busy.friday.Kinds() {
			t.Errorf("seed %d: only %d versions, changes %v", seed, busy.latest, busy.friday.Counts)
		}
		for _, one := range slices.Concat(families, lookups) {
			served, sent := invariants.Share(quiet.History, one.Kind, 0, quiet.World.Now())
			servedBusy, sentBusy := invariants.Share(busy.History, one.Kind, 0, busy.World.Now())
			before, after := calm.Taken[one.Kind], changed.Taken[one.Kind]
			t.Logf("seed %d: %s: without changes %d of %d at first, p50 %d p99 %d slowest %d microseconds; with them %d of %d, p50 %d p99 %d slowest %d", seed, one.Kind,
				served, sent, before[len(before)/2], before[len(before)*99/100], before[len(before)-1], servedBusy, sentBusy, after[len(after)/2], after[len(after)*99/100], after[len(after)-1])
			if servedBusy*sent < served*sentBusy {
				t.Errorf("seed %d: %s: %d of %d served with changes, %d of %d without", seed, one.Kind, servedBusy, sentBusy, served, sent)
			}
		}
		differences, wholes := uint64(0), uint64(0)
		for _, name := range busy.carriers {
			taken := busy.lives[name].ConfigClient.Stats()
			differences, wholes = differences+taken.Differences, wholes+taken.FullStates
		}
		t.Logf("seed %d: carriers took up %d differences and %d wholes", seed, differences, wholes)
		if wholes != uint64(len(busy.carriers)) || differences < 20*wholes {
			t.Errorf("seed %d: %d differences and %d wholes", seed, differences, wholes)
		}
	}
}

// TestFridayCheckersSee breaks one part at a time; the check that it's for must find something in some seed.
func TestFridayCheckersSee(t *testing.T) {
	losing := fault{"backends lose answers", func(mesh *Mesh) {
		for _, one := range mesh.live("") {
			if one.service != "assignment" && one.service != "eligibility" {
				one.manner = "losing"
				mesh.later(monotonic.Second, func() { one.manner = "" })
			}
		}
	}}
	changes := Courses["friday-routes"].Faults
	for _, one := range []struct {
		name     string
		breakage Breakage
		faults   []fault
		caught   func(finding invariants.Finding) bool
	}{
		{"a version replaces what was counted", Breakage{Forgetful: true}, changes, func(finding invariants.Finding) bool { return finding.Check == invariants.CountersKept.Name }},
		{"a difference is applied onto the wrong base", Breakage{WrongBase: true}, []fault{routeStormUnheard, routeAlone}, func(finding invariants.Finding) bool { return finding.Check == invariants.TakenUp.Name }},
		{"a key is claimed for one service only", Breakage{ByService: true}, []fault{losing, routeStorm, routeAlone}, func(finding invariants.Finding) bool { return finding.Check == invariants.KeysKept.Name }},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 4; seed++ {
				_, whole := fridayRun(t, seed, Breakage{}, nil, one.faults)
				for _, finding := range whole.Findings {
					if !finding.Blind && one.caught(finding) {
						t.Fatalf("seed %d: found without anything broken: %s", seed, finding)
					}
				}
				_, broken := fridayRun(t, seed, one.breakage, nil, one.faults)
				for _, finding := range broken.Findings {
					if !finding.Blind && one.caught(finding) {
						t.Logf("seed %d: %s", seed, finding)
						return
					}
				}
			}
			t.Error("nothing was seen in 4 seeds", fmt.Sprint(one.breakage))
		})
	}
}
