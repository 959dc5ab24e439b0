package scenario

import (
	"testing"

	"snowflow/internal/configstore"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
)

// staleness is how long a proxy serves from an older version than the acknowledged one: from the acknowledgement, and from the end of the
// partition. Zero means not at all.
type staleness struct{ sinceAcknowledgement, sinceHeal monotonic.Micros }

// measureStaleness partitions a proxy from the core, applies a version that the proxy misses, and measures until it has adopted it. onHeal,
// unless nil, is called when the partition ends.
func measureStaleness(t *testing.T, seed uint64, duration monotonic.Micros, onHeal func(mesh *Mesh)) staleness {
	t.Helper()
	topology := smallTopology
	topology.Timeouts = serveStaleTimeouts
	mesh := Build(seed, topology, Defects{})
	defer mesh.World.Close()
	mesh.runFor(3 * monotonic.Second)
	if response, _, err := mesh.applyVersion(10, 20*monotonic.Second); err != nil || response.Outcome != versions.Accepted {
		t.Fatalf("seed %d: applying version 10: %v %v", seed, response, err)
	}
	mesh.runFor(8 * monotonic.Second)
	isolated := mesh.proxyNames[1]
	var acknowledged, healedAt, adopted monotonic.Micros
	for _, core := range mesh.coreMachines {
		mesh.partitionFor(isolated, core, true, duration)
	}
	mesh.after(duration, func() {
		healedAt = mesh.World.Now()
		if onHeal != nil {
			onHeal(mesh)
		}
	})
	if response, _, err := mesh.applyVersion(11, 10*monotonic.Second); err != nil || response.Outcome != versions.Accepted {
		t.Fatalf("seed %d: applying version 11: %v %v", seed, response, err)
	}
	acknowledged = mesh.World.Now()
	for limit := mesh.World.Now() + 2*monotonic.Minute; adopted == 0 && mesh.World.Now() < limit; {
		mesh.runFor(monotonic.Millisecond)
		if snapshot, live := mesh.proxies[isolated].ConfigClient.Current(); !live {
			t.Fatalf("seed %d: the proxy stopped serving", seed)
		} else if snapshot.Version == 11 {
			adopted = mesh.World.Now()
		}
	}
	if adopted == 0 || healedAt == 0 {
		t.Fatalf("seed %d: the version was not adopted", seed)
	}
	return staleness{max(0, adopted-acknowledged), max(0, adopted-healedAt)}
}

// TestStalenessIsBounded checks that a partitioned proxy that may serve without a lease serves from an old version until its first poll
// after the partition reaches a primary: at once if there is one, or after the failover if the primary has just ended.
func TestStalenessIsBounded(t *testing.T) {
	t.Parallel()
	const duration = 4 * monotonic.Second
	for name, test := range map[string]struct {
		onHeal func(mesh *Mesh)
		limit  monotonic.Micros // of staleness.sinceHeal
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
				found := measureStaleness(t, seed, duration, test.onHeal)
				highest = staleness{max(highest.sinceAcknowledgement, found.sinceAcknowledgement), max(highest.sinceHeal, found.sinceHeal)}
				if found.sinceHeal > test.limit {
					t.Errorf("seed %d: adopted %d microseconds after the end of the partition", seed, found.sinceHeal)
				}
				if found.sinceAcknowledgement <= 2*monotonic.Second {
					t.Errorf("seed %d: the proxy adopted the version too early, so the test proves nothing", seed)
				}
			}
			t.Logf("adopted at most %d microseconds after the acknowledgement, %d after the end of the partition", highest.sinceAcknowledgement, highest.sinceHeal)
		})
	}
}

// TestStaleReplicaIsNotServed restarts a proxy together with a configuration store process whose replica is out of date, while a primary
// can be reached. The proxy must not serve from an older version than the primary's.
func TestStaleReplicaIsNotServed(t *testing.T) {
	t.Parallel()
	staleCount := 0
	for _, seed := range seeds(t, 1, 2, 3, 4, 5, 6, 7, 8) {
		topology := smallTopology
		topology.Timeouts = serveStaleTimeouts
		mesh := Build(seed, topology, Defects{})
		mesh.runFor(3 * monotonic.Second)
		apply := func(version uint64) {
			t.Helper()
			if response, _, err := mesh.applyVersion(version, 20*monotonic.Second); err != nil || response.Outcome != versions.Accepted {
				t.Fatalf("seed %d: applying a version: %v %v", seed, response, err)
			}
		}
		apply(10)
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
			apply(uint64(20 + 10*turn))
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
					staleCount++
					t.Errorf("seed %d: %s serves from version %d, the primary has %d", seed, name, snapshot.Version, 20+10*turn)
					break
				}
			}
			primary = mesh.primary(configstore.Group)
			if primary == nil {
				t.Fatalf("seed %d: no primary", seed)
			}
		}
		mesh.World.Close()
	}
}
