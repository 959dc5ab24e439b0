package doctor

import (
	"strings"
	"testing"

	"snowflow/internal/configstore"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// healthy is a mesh without faults; each test spoils one thing.
func healthy() Mesh {
	mesh := Mesh{Postmasters: map[string]configstore.Status{}, Sorters: map[string]registry.Status{}, Asked: 1_000_000_000}
	for _, number := range []string{"1", "2", "3"} {
		core := replication.Status{Joined: true, Epoch: 4, BackupsInSync: true, Serving: number == "1", FreeBytes: 1 << 30, Release: "a", Wall: mesh.Asked}
		master, registry := configstore.Status{Core: core, Version: 3}, registry.Status{Replication: core, LeaderTime: int64(monotonic.Minute)}
		master.Core.Primary, master.Core.Backup = "postmaster-1", "postmaster-2"
		registry.Replication.Primary, registry.Replication.Backup = "sorter-1", "sorter-2"
		master.Core.Group, master.Core.Name, master.Core.Voters = "postmaster", "postmaster-"+number, []string{"postmaster-1", "postmaster-2", "postmaster-3"}
		registry.Replication.Group, registry.Replication.Name, registry.Replication.Voters = "sorter", "sorter-"+number, []string{"sorter-1", "sorter-2", "sorter-3"}
		registry.Proxies = []*wire.Session{{Proxy: "carrier-1", ConfigVersion: 3, Release: "a", Backends: []*wire.Backend{
			{Service: "forms", Instance: "one", Condition: "working"}, {Service: "forms", Instance: "two", Condition: "alive"}}}}
		mesh.Postmasters[master.Core.Name], mesh.Sorters[registry.Replication.Name] = master, registry
	}
	return mesh
}

func spoilSorter(mesh Mesh, name string, spoil func(*registry.Status)) {
	status := mesh.Sorters[name]
	spoil(&status)
	mesh.Sorters[name] = status
}

func TestChecksFindWhatIsSpoiled(t *testing.T) {
	if findings := Check(healthy()); Worst(findings) != Well {
		t.Fatalf("a healthy mesh: %v", findings)
	}
	cases := []struct {
		check, level, says string
		spoil              func(mesh Mesh)
	}{
		{"seeds", Watch, "never heard of", func(mesh Mesh) { delete(mesh.Sorters, "sorter-3") }},
		{"split", Watch, "those seen can decide", func(mesh Mesh) { delete(mesh.Sorters, "sorter-3") }},
		{"split", Ill, "[sorter-3] can be seen and [sorter-1 sorter-2] can't", func(mesh Mesh) {
			delete(mesh.Sorters, "sorter-1")
			delete(mesh.Sorters, "sorter-2")
		}},
		{"copies", Ill, "0 sorters answer", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-1", func(status *registry.Status) { status.Replication.Serving = false })
		}},
		{"copies", Ill, "2 sorters answer", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-2", func(status *registry.Status) { status.Replication.Serving = true })
		}},
		{"copies", Watch, "knows epoch 1", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-2", func(status *registry.Status) { status.Replication.Epoch = 1 })
		}},
		{"copies", Watch, "not joined", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-3", func(status *registry.Status) { status.Replication.Joined = false })
		}},
		{"versions", Watch, "release b", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-3", func(status *registry.Status) { status.Replication.Release = "b" })
		}},
		{"clock", Watch, "wall clock", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-3", func(status *registry.Status) { status.Replication.Wall += int64(monotonic.Minute) })
		}},
		{"disk", Ill, "1 MiB", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-3", func(status *registry.Status) { status.Replication.FreeBytes = 1 << 20 })
		}},
		{"disk", Watch, "last write", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-1", func(status *registry.Status) { status.Replication.SyncTime = int64(monotonic.Second) })
		}},
		{"carriers", Watch, "serial 2", func(mesh Mesh) { mesh.Sorters["sorter-1"].Proxies[0].ConfigVersion = 2 }},
		{"guards", Ill, "forms is open", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-1", func(status *registry.Status) {
				status.Breakers = []*wire.BreakerRecord{{Service: "forms", State: "open"}}
			})
		}},
		{"guards", Watch, "half open", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-1", func(status *registry.Status) {
				status.Breakers = []*wire.BreakerRecord{{Service: "forms", State: "half_open"}}
			})
		}},
		{"guards", Watch, "stand alone", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-1", func(status *registry.Status) {
				status.Breakers = []*wire.BreakerRecord{{Service: "forms", State: "closed", Reports: []*wire.TripReport{{Proxy: "carrier-1"}}}}
			})
		}},
		{"backends", Watch, "stopped beating", func(mesh Mesh) { mesh.Sorters["sorter-1"].Proxies[0].Backends[0].Condition = "overdue" }},
		{"backends", Watch, "single backend", func(mesh Mesh) {
			mesh.Sorters["sorter-1"].Proxies[0].Backends = mesh.Sorters["sorter-1"].Proxies[0].Backends[:1]
		}},
	}
	for _, one := range cases {
		mesh := healthy()
		one.spoil(mesh)
		seen := false
		for _, finding := range Check(mesh) {
			seen = seen || finding.Check == one.check && finding.Level == one.level && strings.Contains(finding.What, one.says) && finding.Advice != ""
		}
		if !seen {
			t.Errorf("%s: no finding that says %q", one.check, one.says)
		}
	}
}

// TestSafeToMove: the next machine may go once both copies and every other voter are there, and not before.
func TestSafeToMove(t *testing.T) {
	machine := []string{"sorter-2", "postmaster-2"}
	for _, one := range []struct {
		what, says string
		names      []string
		spoil      func(mesh Mesh)
	}{
		{"all is well", "", machine, func(Mesh) {}},
		{"it's gone already, as while it moves", "", machine, func(mesh Mesh) { delete(mesh.Sorters, "sorter-2") }},
		{"two of one group", "one process of a group", []string{"sorter-1", "sorter-2"}, func(Mesh) {}},
		{"another is away", "sorter-3 doesn't answer", machine, func(mesh Mesh) { delete(mesh.Sorters, "sorter-3") }},
		{"another is blank", "sorter-1 has not joined", machine, func(mesh Mesh) {
			spoilSorter(mesh, "sorter-1", func(status *registry.Status) { status.Replication.Joined = false })
		}},
		{"a witness is behind", "", machine, func(mesh Mesh) {
			spoilSorter(mesh, "sorter-3", func(status *registry.Status) { status.Replication.Epoch = 3 })
		}},
		{"the other copy is behind", "sorter-2 is behind", []string{"sorter-3"}, func(mesh Mesh) {
			spoilSorter(mesh, "sorter-2", func(status *registry.Status) { status.Replication.Epoch = 3 })
		}},
		{"no backup in step", "no primary answers", machine, func(mesh Mesh) {
			for name := range mesh.Sorters {
				spoilSorter(mesh, name, func(status *registry.Status) { status.Replication.BackupsInSync = false })
			}
		}},
	} {
		mesh := healthy()
		one.spoil(mesh)
		unknown, objections := Safe(mesh, one.names)
		if len(unknown) > 0 || (one.says == "") != (len(objections) == 0) || !strings.Contains(strings.Join(objections, "; "), one.says) {
			t.Errorf("%s: %v %v", one.what, unknown, objections)
		}
	}
	if unknown, _ := Safe(healthy(), []string{"sorter-2", "sorter-9"}); len(unknown) != 1 || unknown[0] != "sorter-9" {
		t.Errorf("unknown: %v", unknown)
	}
}
