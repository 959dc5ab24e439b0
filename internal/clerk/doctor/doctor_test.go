package doctor

import (
	"strings"
	"testing"

	"snowflow/internal/countersign"
	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
	"snowflow/internal/postmaster"
	"snowflow/internal/sorter"
)

// healthy is a mesh without faults; each test spoils one thing.
func healthy() Mesh {
	mesh := Mesh{Postmasters: map[string]postmaster.Status{}, Sorters: map[string]sorter.Status{}, Asked: 1_000_000_000}
	for _, number := range []string{"1", "2", "3"} {
		core := countersign.Status{Joined: true, Epoch: 4, Settled: true, Answering: number == "1", FreeBytes: 1 << 30, Release: "a", Wall: mesh.Asked}
		master, registry := postmaster.Status{Core: core, Serial: 3}, sorter.Status{Core: core, Now: int64(postmark.Minute)}
		master.Core.Group, master.Core.Name, master.Core.Voters = "postmaster", "postmaster-"+number, []string{"postmaster-1", "postmaster-2", "postmaster-3"}
		registry.Core.Group, registry.Core.Name, registry.Core.Voters = "sorter", "sorter-"+number, []string{"sorter-1", "sorter-2", "sorter-3"}
		registry.Carriers = []*wire.Session{{Carrier: "carrier-1", DesiredSerial: 3, Release: "a", Backends: []*wire.Backend{
			{Service: "forms", Instance: "one", Condition: "working"}, {Service: "forms", Instance: "two", Condition: "alive"}}}}
		mesh.Postmasters[master.Core.Name], mesh.Sorters[registry.Core.Name] = master, registry
	}
	return mesh
}

func spoilSorter(mesh Mesh, name string, spoil func(*sorter.Status)) {
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
		{"copies", Ill, "0 sorters answer", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-1", func(status *sorter.Status) { status.Core.Answering = false })
		}},
		{"copies", Ill, "2 sorters answer", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-2", func(status *sorter.Status) { status.Core.Answering = true })
		}},
		{"copies", Watch, "knows epoch 1", func(mesh Mesh) { spoilSorter(mesh, "sorter-2", func(status *sorter.Status) { status.Core.Epoch = 1 }) }},
		{"copies", Watch, "not joined", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-3", func(status *sorter.Status) { status.Core.Joined = false })
		}},
		{"versions", Watch, "release b", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-3", func(status *sorter.Status) { status.Core.Release = "b" })
		}},
		{"clock", Watch, "wall clock", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-3", func(status *sorter.Status) { status.Core.Wall += int64(postmark.Minute) })
		}},
		{"disk", Ill, "1 MiB", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-3", func(status *sorter.Status) { status.Core.FreeBytes = 1 << 20 })
		}},
		{"disk", Watch, "last write", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-1", func(status *sorter.Status) { status.Core.SyncTime = int64(postmark.Second) })
		}},
		{"carriers", Watch, "serial 2", func(mesh Mesh) { mesh.Sorters["sorter-1"].Carriers[0].DesiredSerial = 2 }},
		{"guards", Ill, "forms is open", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-1", func(status *sorter.Status) { status.Guards = []*wire.GuardRecord{{Service: "forms", State: "open"}} })
		}},
		{"guards", Watch, "half open", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-1", func(status *sorter.Status) {
				status.Guards = []*wire.GuardRecord{{Service: "forms", State: "half_open"}}
			})
		}},
		{"guards", Watch, "stand alone", func(mesh Mesh) {
			spoilSorter(mesh, "sorter-1", func(status *sorter.Status) {
				status.Guards = []*wire.GuardRecord{{Service: "forms", State: "closed", Reports: []*wire.TripReport{{Carrier: "carrier-1"}}}}
			})
		}},
		{"backends", Watch, "stopped beating", func(mesh Mesh) { mesh.Sorters["sorter-1"].Carriers[0].Backends[0].Condition = "overdue" }},
		{"backends", Watch, "single backend", func(mesh Mesh) {
			mesh.Sorters["sorter-1"].Carriers[0].Backends = mesh.Sorters["sorter-1"].Carriers[0].Backends[:1]
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
