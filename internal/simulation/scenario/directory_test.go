package scenario

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/session"
	"snowflow/internal/transport/wire"
)

// controlBytes is what a carrier says and hears in a second, both ways, in a mesh in which nobody calls and one carrier after another is
// killed and started again, every so often, or none.
func controlBytes(t *testing.T, carriers int, every monotonic.Micros) float64 {
	t.Helper()
	const seconds = 30
	mesh := Build(1, Sizes{Cores: 3, Carriers: carriers, Zones: 3, Backends: carriers / 2}, Breakage{})
	defer mesh.World.Close()
	mesh.Outside.Go(func() { mesh.apply(Desired(0), false, 0, 20*monotonic.Second) })
	mesh.World.Run(mesh.World.Now() + 15*monotonic.Second)
	mesh.World.Bytes = map[string]int{}
	until := mesh.World.Now() + seconds*monotonic.Second
	for turn := 0; mesh.World.Now() < until; turn++ {
		if every == 0 {
			mesh.World.Run(until)
			break
		}
		node := mesh.World.Node(mesh.carriers[turn%carriers])
		mesh.World.Kill(node)
		mesh.later(300*monotonic.Millisecond, func() { mesh.World.Start(node) })
		mesh.World.Run(mesh.World.Now() + every)
	}
	total := 0
	for node, count := range mesh.World.Bytes {
		if strings.HasPrefix(node, "carrier") {
			total += count
		}
	}
	return float64(total) / seconds / float64(carriers)
}

// TestControlBytes: what the same number of restarts costs each carrier doesn't grow with the carriers.
func TestControlBytes(t *testing.T) {
	const every = 2 * monotonic.Second
	calms, more := map[int]float64{}, map[int]float64{}
	for _, carriers := range []int{20, 40, 80} {
		calms[carriers] = controlBytes(t, carriers, 0)
		more[carriers] = controlBytes(t, carriers, every) - calms[carriers]
		t.Logf("%d carriers: %.0f bytes a second for each in calm, %.0f more with a restart every 2 s", carriers, calms[carriers], more[carriers])
	}
	if more[20] < 50 || more[80] > 1.3*more[20] || calms[80] > 1.1*calms[20] {
		t.Errorf("bytes a second for each of 20, 40 and 80 carriers: %v in calm, %v more with restarts", calms, more)
	}
}

// fed has every carrier's directory compared, after each answer, with what whoever has nothing was told as that version. wrong is told of
// those that differ, and looked of each look.
func (mesh *Mesh) fed(looked func(), wrong func(carrier string)) {
	type version struct{ source, serial uint64 }
	shown, seen := map[version]*session.Directory{}, map[string]*session.Directory{}
	mesh.directed = func(sorter string, _ *wire.RegistryPollRequest, _ *wire.RegistryPollResponse) {
		view := mesh.sorters[sorter].DirectorySnapshot()
		if newest := (version{view.Source, view.Version}); shown[newest] == nil {
			shown[newest] = session.NewDirectory(view.Sessions)
		}
	}
	mesh.Outside.Go(func() {
		for {
			mesh.Outside.Sleep(20 * monotonic.Millisecond)
			for name, life := range mesh.lives {
				source, serial := life.Session.Version()
				whole, known := shown[version{source, serial}]
				present := life.Session.Directory()
				if !known || seen[name] == present {
					continue // from before the looking began
				}
				seen[name] = present
				looked()
				if !reflect.DeepEqual(present, whole) {
					wrong(name)
				}
			}
		}
	})
}

// TestDirectoryByChanges: under every fault that the courses have, each carrier's directory is the whole of the version that it says it has,
// and nearly all of them came as changes.
func TestDirectoryByChanges(t *testing.T) {
	for _, name := range []string{"everything", "core", "drains", "backends", "troubled", "clocks", "association"} {
		for _, seed := range seeds(t, 1, 2) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				course, looked, taken := Courses[name], 0, session.UpdateCounts{}
				prepare := course.Prepare
				course.Prepare = func(mesh *Mesh) {
					if prepare != nil {
						prepare(mesh)
					}
					mesh.fed(func() { looked++ }, func(carrier string) {
						t.Errorf("seed %d: %s has another directory than it says at %d", seed, carrier, mesh.World.Now())
					})
					mesh.later(course.Length+20*monotonic.Second, func() {
						for _, life := range mesh.lives {
							one := life.Session.UpdateCounts()
							taken.Deltas, taken.Snapshots, taken.Rejected = taken.Deltas+one.Deltas, taken.Snapshots+one.Snapshots, taken.Rejected+one.Rejected
						}
					})
				}
				for _, finding := range Run(course, seed, Breakage{}).Findings {
					t.Errorf("seed %d: %s", seed, finding)
				}
				t.Logf("%d directories looked at; in the lives at the end %+v", looked, taken)
				if looked == 0 {
					t.Error("none was looked at")
				}
			})
		}
	}
}

// TestDirectoryCheckSees: a carrier that applies changes onto whatever it has, while sorters leave out who went, is seen.
func TestDirectoryCheckSees(t *testing.T) {
	t.Parallel()
	course, wrong := Courses["everything"], 0
	course.Prepare = func(mesh *Mesh) {
		mesh.fed(func() {}, func(string) { wrong++ })
		look := mesh.directed
		mesh.directed = func(sorter string, ask *wire.RegistryPollRequest, tell *wire.RegistryPollResponse) {
			look(sorter, ask, tell)
			tell.DirectoryRemoved = nil
		}
	}
	Run(course, 2, Breakage{Unchecked: true})
	if wrong == 0 {
		t.Error("nothing was wrong")
	}
}

// TestLeavingIsTold: that a backend leaves reaches every carrier by changes as soon as it does whole: with its next poll.
func TestLeavingIsTold(t *testing.T) {
	told := func(wholes bool) (last monotonic.Micros) {
		mesh := Build(1, Sizes{Cores: 3, Carriers: 20, Zones: 3, Backends: 10}, Breakage{})
		defer mesh.World.Close()
		mesh.Outside.Go(func() { mesh.apply(Desired(0), false, 0, 20*monotonic.Second) })
		mesh.World.Run(mesh.World.Now() + 15*monotonic.Second)
		if wholes {
			mesh.directed = func(sorter string, ask *wire.RegistryPollRequest, tell *wire.RegistryPollResponse) {
				if tell.DirectoryIsDelta {
					tell.Sessions, tell.DirectoryIsDelta = mesh.sorters[sorter].DirectorySnapshot().Sessions, false
				}
			}
		}
		leaving, began := mesh.live("forms")[0], mesh.World.Now()
		mesh.leave(leaving)
		knows := func(name string) bool {
			return slices.ContainsFunc(mesh.lives[name].Session.Directory().Candidates["forms"], func(one session.Candidate) bool { return one.Instance == leaving.instance })
		}
		for slices.ContainsFunc(mesh.carriers, knows) {
			mesh.World.Run(mesh.World.Now() + monotonic.Millisecond)
			if mesh.World.Now()-began > 5*monotonic.Second {
				t.Fatal("some carrier isn't told")
			}
		}
		return mesh.World.Now() - began
	}
	whole, changes := told(true), told(false)
	t.Logf("the last of 20 carriers knows after %d microseconds whole, %d by changes", whole, changes)
	if changes > whole || changes > 1200*monotonic.Millisecond {
		t.Errorf("the last of 20 carriers knows after %d microseconds whole, %d by changes", whole, changes)
	}
}
