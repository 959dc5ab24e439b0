package scenario

import (
	"testing"

	"snowflow/internal/configstore/versions"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
)

// late is by how much a carrier serves by an older version than was acknowledged, where carriers serve on: from the acknowledgement, and
// from the moment from which it could reach the core's machines again. Zero: not at all.
type late struct{ acknowledged, back monotonic.Micros }

// cutOff has a carrier miss a version because it's cut off from the core, and come back. also happens at that moment.
func cutOff(t *testing.T, seed uint64, away monotonic.Micros, also func(mesh *Mesh)) late {
	t.Helper()
	sizes := small
	sizes.Bounds = servingOn
	mesh := Build(seed, sizes, Breakage{})
	defer mesh.World.Close()
	mesh.World.Run(mesh.World.Now() + 3*monotonic.Second)
	if tell, _, err := mesh.raise(10, 20*monotonic.Second); err != nil || tell.Outcome != versions.Accepted {
		t.Fatalf("seed %d: %v %v", seed, tell, err)
	}
	mesh.World.Run(mesh.World.Now() + 8*monotonic.Second)
	victim := mesh.carriers[1]
	var acknowledged, back, taken monotonic.Micros
	for _, core := range mesh.cores {
		mesh.cutFor(victim, core, true, away)
	}
	mesh.later(away, func() {
		back = mesh.World.Now()
		if also != nil {
			also(mesh)
		}
	})
	if tell, _, err := mesh.raise(11, 10*monotonic.Second); err != nil || tell.Outcome != versions.Accepted {
		t.Fatalf("seed %d: %v %v", seed, tell, err)
	}
	acknowledged = mesh.World.Now()
	for limit := mesh.World.Now() + 2*monotonic.Minute; taken == 0 && mesh.World.Now() < limit; {
		mesh.World.Run(mesh.World.Now() + monotonic.Millisecond)
		if view, live := mesh.lives[victim].ConfigClient.Current(); !live {
			t.Fatalf("seed %d: it doesn't serve on", seed)
		} else if view.Version == 11 {
			taken = mesh.World.Now()
		}
	}
	if taken == 0 || back == 0 {
		t.Fatalf("seed %d: never taken up", seed)
	}
	return late{max(0, taken-acknowledged), max(0, taken-back)}
}

// TestOutOfTouchIsBounded: where carriers serve on, one that is cut off serves by what it has for as long as it's cut off, and then until its
// next poll reaches a primary: at once where there is one, and after the failover where that has just died.
func TestOutOfTouchIsBounded(t *testing.T) {
	t.Parallel()
	const away = 4 * monotonic.Second
	for name, one := range map[string]struct {
		also func(mesh *Mesh)
		most monotonic.Micros // from its return
	}{
		"the primary lives": {nil, monotonic.Second},
		"the primary dies at its return": {func(mesh *Mesh) {
			mesh.down([]*world.Node{mesh.leader("postmaster")}, 20*monotonic.Second, mesh.World.Kill)
		}, 2500 * monotonic.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worst := late{}
			for _, seed := range seeds(t, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12) {
				found := cutOff(t, seed, away, one.also)
				worst = late{max(worst.acknowledged, found.acknowledged), max(worst.back, found.back)}
				if found.back > one.most {
					t.Errorf("seed %d: taken up %d microseconds after its return", seed, found.back)
				}
				if found.acknowledged <= 2*monotonic.Second {
					t.Errorf("seed %d: it was in time, so nothing was shown", seed)
				}
			}
			t.Logf("at worst taken up %d microseconds after the acknowledgement, %d after its return", worst.acknowledged, worst.back)
		})
	}
}

// TestStaleCopyIsNotServed: a carrier starts again while the primary can be reached, and beside it a postmaster that has only just come back with
// an old copy. The carrier serves by no older version than the primary has.
func TestStaleCopyIsNotServed(t *testing.T) {
	t.Parallel()
	older := 0
	for _, seed := range seeds(t, 1, 2, 3, 4, 5, 6, 7, 8) {
		sizes := small
		sizes.Bounds = servingOn
		mesh := Build(seed, sizes, Breakage{})
		mesh.World.Run(mesh.World.Now() + 3*monotonic.Second)
		raise := func(version uint64) {
			t.Helper()
			if tell, _, err := mesh.raise(version, 20*monotonic.Second); err != nil || tell.Outcome != versions.Accepted {
				t.Fatalf("seed %d: %v %v", seed, tell, err)
			}
		}
		raise(10)
		mesh.World.Run(mesh.World.Now() + 8*monotonic.Second)
		primary := mesh.leader("postmaster")
		for turn, name := range []string{"carrier-1", "carrier-2", "carrier-3", "carrier-4"} {
			for _, stale := range []string{"postmaster-1", "postmaster-2", "postmaster-3"} {
				if stale != primary.Name {
					mesh.World.Kill(mesh.World.Node(stale))
					break
				}
			}
			mesh.World.Run(mesh.World.Now() + 8*monotonic.Second)
			raise(uint64(20 + 10*turn))
			mesh.World.Run(mesh.World.Now() + 3*monotonic.Second)
			mesh.World.Kill(mesh.World.Node(name))
			for _, node := range mesh.World.Nodes() {
				if !node.Up() {
					mesh.World.Start(node)
				}
			}
			for until := mesh.World.Now() + 3*monotonic.Second; mesh.World.Now() < until; {
				mesh.World.Run(mesh.World.Now() + 5*monotonic.Millisecond)
				if view, live := mesh.lives[name].ConfigClient.Current(); live && view.Version < uint64(20+10*turn) {
					older++
					t.Errorf("seed %d: %s serves by version %d, %d is in force", seed, name, view.Version, 20+10*turn)
					break
				}
			}
			primary = mesh.leader("postmaster")
			if primary == nil {
				t.Fatalf("seed %d: nobody leads", seed)
			}
		}
		mesh.World.Close()
	}
}
