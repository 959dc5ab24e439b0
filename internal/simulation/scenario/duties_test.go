package scenario

import (
	"encoding/json"
	"fmt"
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/singleton"
	"snowflow/internal/simulation/world"
)

// belief is a span in which a doer thinks that a duty is its own.
type belief struct {
	doer        string
	from, until monotonic.Micros
}

// work has a backend ask for a duty again and again, and note what it believes, counted as docs/interfaces.md says: from
// before it asked.
func (mesh *Mesh) work(one *backend, note func(belief)) {
	for mesh.serving && one.up {
		mesh.Outside.Sleep(500*monotonic.Millisecond + monotonic.Micros(mesh.World.Chance().Uint64N(uint64(monotonic.Second))))
		asked := mesh.World.Now()
		content, err := mesh.Outside.Transact(mesh.World.Node(one.carrier).Address, 5*monotonic.Second, func(*world.Node) ([]byte, error) {
			told, err := mesh.lives[one.carrier].Singleton.Acquire("tally", one.instance, 3*monotonic.Second)
			if err != nil {
				return nil, err
			}
			return json.Marshal(told)
		})
		var told singleton.Grant
		if err != nil || json.Unmarshal(content, &told) != nil || !told.Granted || mesh.World.Now() >= asked+told.Remaining {
			continue
		}
		note(belief{doer: one.instance, from: mesh.World.Now(), until: asked + told.Remaining})
		if mesh.World.Chance().IntN(6) == 0 {
			// Now and then a doer hangs without a word, and others want its duty.
			mesh.Outside.Sleep(4*monotonic.Second + monotonic.Micros(mesh.World.Chance().Uint64N(uint64(6*monotonic.Second))))
		}
	}
}

// duties plays a course in which all backends want one duty, and gives the doers' beliefs in the order of their start.
func duties(name string, seed uint64, breakage Breakage) (beliefs []belief, findings []string) {
	course := Courses[name]
	course.Prepare = func(mesh *Mesh) {
		mesh.serving = true
		for _, one := range mesh.backends {
			mesh.Outside.Go(func() { mesh.work(one, func(fresh belief) { beliefs = append(beliefs, fresh) }) })
		}
	}
	for _, finding := range Run(course, seed, breakage).Findings {
		findings = append(findings, finding.String())
	}
	return beliefs, findings
}

// overlap gives two doers' beliefs that share a moment, or nothing.
func overlap(beliefs []belief) string {
	for index, one := range beliefs {
		for _, other := range beliefs[index+1:] {
			if one.doer != other.doer && other.from < one.until && one.from < other.until {
				return fmt.Sprintf("%s from %d to %d, %s from %d to %d", one.doer, one.from, one.until, other.doer, other.from, other.until)
			}
		}
	}
	return ""
}

// TestDuties: a duty has one doer at a time, whoever fails.
func TestDuties(t *testing.T) {
	for _, name := range []string{"core", "everything"} {
		for _, seed := range seeds(t, 1, 2) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				beliefs, findings := duties(name, seed, Breakage{})
				for _, finding := range findings {
					t.Error(finding)
				}
				doers := map[string]bool{}
				for _, one := range beliefs {
					doers[one.doer] = true
				}
				if len(doers) < 2 {
					t.Errorf("%d grants to %d doers", len(beliefs), len(doers))
				}
				if both := overlap(beliefs); both != "" {
					t.Error(both)
				}
				t.Logf("%d grants to %d doers", len(beliefs), len(doers))
			})
		}
	}
	t.Run("stubborn doers are seen", func(t *testing.T) {
		t.Parallel()
		for seed := uint64(1); seed <= 12; seed++ {
			if beliefs, _ := duties("core", seed, Breakage{Stubborn: true}); overlap(beliefs) != "" {
				return
			}
		}
		t.Error("doers that went on past their tenure were not noticed in 12 seeds")
	})
}
