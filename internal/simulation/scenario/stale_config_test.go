package scenario

import (
	"testing"

	"snowflow/internal/configstore"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
)

// staleness is how long a proxy serves by an older version than was acknowledged: since the acknowledgement, and since it could reach
// the core's machines again. Zero means not at all.
type staleness struct{ acknowledged, afterReturn monotonic.Micros }

// measureStaleness lets a proxy miss a version because it is cut off from the core, and come back. also, unless nil, is called at its
// return.
func measureStaleness(t *testing.T, seed uint64, outage monotonic.Micros, also func(mesh *Mesh)) staleness {
	t.Helper()
	topology := smallTopology
	topology.Timeouts = serveStaleTimeouts
	mesh := Build(seed, topology, Defects{})
	defer mesh.World.Close()
	mesh.runFor(3 * monotonic.Second)
	if response, _, err := mesh.applyVersion(10, 20*monotonic.Second); err != nil || response.Outcome != versions.Accepted {
		t.Fatalf("seed %d: %v %v", seed, response, err)
	}
	mesh.runFor(8 * monotonic.Second)
	victim := mesh.proxyNames[1]
	var acknowledged, returnedAt, adopted monotonic.Micros
	for _, core := range mesh.coreMachines {
		mesh.partitionFor(victim, core, true, outage)
	}
	mesh.after(outage, func() {
		returnedAt = mesh.World.Now()
		if also != nil {
			also(mesh)
		}
	})
	if response, _, err := mesh.applyVersion(11, 10*monotonic.Second); err != nil || response.Outcome != versions.Accepted {
		t.Fatalf("seed %d: %v %v", seed, response, err)
	}
	acknowledged = mesh.World.Now()
	for limit := mesh.World.Now() + 2*monotonic.Minute; adopted == 0 && mesh.World.Now() < limit; {
		mesh.runFor(monotonic.Millisecond)
		if snapshot, live := mesh.proxies[victim].ConfigClient.Current(); !live {
			t.Fatalf("seed %d: it does not serve on", seed)
		} else if snapshot.Version == 11 {
			adopted = mesh.World.Now()
		}
	}
	if adopted == 0 || returnedAt == 0 {
		t.Fatalf("seed %d: never adopted", seed)
	}
	return staleness{max(0, adopted-acknowledged), max(0, adopted-returnedAt)}
}

// TestStalenessIsBounded: if proxies serve on, one that is cut off serves by the version that it has until its first poll after its
// return reaches a primary: at once if there is one, or after the failover if it has just died.
func TestStalenessIsBounded(t *testing.T) {
	t.Parallel()
	const outage = 4 * monotonic.Second
	for name, test := range map[string]struct {
		also func(mesh *Mesh)
		most monotonic.Micros // since its return
	}{
		"the primary lives": {nil, monotonic.Second},
		"the primary dies at its return": {func(mesh *Mesh) {
			mesh.restartAfter([]*world.Node{mesh.primary(configstore.Group)}, 20*monotonic.Second, mesh.World.Kill)
		}, 2500 * monotonic.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			highest := staleness{}
			for _, seed := range seeds(t, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12) {
				found := measureStaleness(t, seed, outage, test.also)
				highest = staleness{max(highest.acknowledged, found.acknowledged), max(highest.afterReturn, found.afterReturn)}
				if found.afterReturn > test.most {
					t.Errorf("seed %d: adopted %d microseconds after its return", seed, found.afterReturn)
				}
				if found.acknowledged <= 2*monotonic.Second {
					t.Errorf("seed %d: it was in time, so the test shows nothing", seed)
				}
			}
			t.Logf("at worst adopted %d microseconds after the acknowledgement, %d after its return", highest.acknowledged, highest.afterReturn)
		})
	}
}

// TestStaleReplicaIsNotServed: a proxy restarts while the primary can be reached and a configuration store process has only just come
// back with an old replica. The proxy serves by no older version than the primary has.
func TestStaleReplicaIsNotServed(t *testing.T) {
	t.Parallel()
	older := 0
	for _, seed := range seeds(t, 1, 2, 3, 4, 5, 6, 7, 8) {
		topology := smallTopology
		topology.Timeouts = serveStaleTimeouts
		mesh := Build(seed, topology, Defects{})
		mesh.runFor(3 * monotonic.Second)
		raise := func(version uint64) {
			t.Helper()
			if response, _, err := mesh.applyVersion(version, 20*monotonic.Second); err != nil || response.Outcome != versions.Accepted {
				t.Fatalf("seed %d: %v %v", seed, response, err)
			}
		}
		raise(10)
		mesh.runFor(8 * monotonic.Second)
		primary := mesh.primary(configstore.Group)
		for turn, name := range []string{"carrier-1", "carrier-2", "carrier-3", "carrier-4"} {
			for _, stale := range []string{"postmaster-1", "postmaster-2", "postmaster-3"} {
				if stale != primary.Name {
					mesh.World.Kill(mesh.World.Node(stale))
					break
				}
			}
			mesh.runFor(8 * monotonic.Second)
			raise(uint64(20 + 10*turn))
			mesh.runFor(3 * monotonic.Second)
			mesh.World.Kill(mesh.World.Node(name))
			for _, node := range mesh.World.Nodes() {
				if !node.Up() {
					mesh.World.Start(node)
				}
			}
			for until := mesh.World.Now() + 3*monotonic.Second; mesh.World.Now() < until; {
				mesh.runFor(5 * monotonic.Millisecond)
				if snapshot, live := mesh.proxies[name].ConfigClient.Current(); live && snapshot.Version < uint64(20+10*turn) {
					older++
					t.Errorf("seed %d: %s serves by version %d, %d is in force", seed, name, snapshot.Version, 20+10*turn)
					break
				}
			}
			primary = mesh.primary(configstore.Group)
			if primary == nil {
				t.Fatalf("seed %d: nobody leads", seed)
			}
		}
		mesh.World.Close()
	}
}
