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

// healthyMesh returns the status of a mesh without faults. Each test case changes one thing in it.
func healthyMesh() MeshStatus {
	mesh := MeshStatus{ConfigStores: map[string]configstore.Status{}, Registries: map[string]registry.Status{}, QueriedAt: 1_000_000_000}
	for _, number := range []string{"1", "2", "3"} {
		core := replication.Status{Joined: true, Epoch: 4, BackupsInSync: true, Serving: number == "1", FreeBytes: 1 << 30, Release: "a", Wall: mesh.QueriedAt}
		store, registry := configstore.Status{Core: core, Version: 3, Leases: []configstore.LeaseStatus{{Proxy: "proxy-1"}}}, registry.Status{Replication: core, LeaderTime: int64(monotonic.Minute)}
		store.Core.Primary, store.Core.Backup = "postmaster-1", "postmaster-2"
		registry.Replication.Primary, registry.Replication.Backup = "sorter-1", "sorter-2"
		store.Core.Group, store.Core.Name, store.Core.Voters = "postmaster", "postmaster-"+number, []string{"postmaster-1", "postmaster-2", "postmaster-3"}
		registry.Replication.Group, registry.Replication.Name, registry.Replication.Voters = "sorter", "sorter-"+number, []string{"sorter-1", "sorter-2", "sorter-3"}
		registry.Proxies = []*wire.Session{{Proxy: "proxy-1", ConfigVersion: 3, Release: "a", Backends: []*wire.Backend{
			{Service: "forms", Instance: "one", Condition: "working"}, {Service: "forms", Instance: "two", Condition: "alive"}}}}
		mesh.ConfigStores[store.Core.Name], mesh.Registries[registry.Replication.Name] = store, registry
	}
	return mesh
}

// changeRegistry applies a change to the status of one registry process.
func changeRegistry(mesh MeshStatus, name string, change func(*registry.Status)) {
	status := mesh.Registries[name]
	change(&status)
	mesh.Registries[name] = status
}

// TestChecksFindFaults checks that a healthy mesh has no findings, and that each fault is found at its level, with advice.
func TestChecksFindFaults(t *testing.T) {
	if findings := Check(healthyMesh()); MostSevere(findings) != Healthy {
		t.Fatalf("findings for a healthy mesh: %v", findings)
	}
	cases := []struct {
		check, level, contains string
		change                 func(mesh MeshStatus)
	}{
		{"seeds", Warning, "never heard of", func(mesh MeshStatus) { delete(mesh.Registries, "sorter-3") }},
		{"split", Warning, ": a quorum is reachable", func(mesh MeshStatus) { delete(mesh.Registries, "sorter-3") }},
		{"split", Unhealthy, "can reach [sorter-3] but not [sorter-1 sorter-2]: no quorum", func(mesh MeshStatus) {
			delete(mesh.Registries, "sorter-1")
			delete(mesh.Registries, "sorter-2")
		}},
		{"copies", Unhealthy, "0 members of the registry serve", func(mesh MeshStatus) {
			changeRegistry(mesh, "sorter-1", func(status *registry.Status) { status.Replication.Serving = false })
		}},
		{"copies", Unhealthy, "2 members of the registry serve", func(mesh MeshStatus) {
			changeRegistry(mesh, "sorter-2", func(status *registry.Status) { status.Replication.Serving = true })
		}},
		{"copies", Warning, "knows epoch 1", func(mesh MeshStatus) {
			changeRegistry(mesh, "sorter-2", func(status *registry.Status) { status.Replication.Epoch = 1 })
		}},
		{"copies", Warning, "not joined", func(mesh MeshStatus) {
			changeRegistry(mesh, "sorter-3", func(status *registry.Status) { status.Replication.Joined = false })
		}},
		{"versions", Warning, "release b", func(mesh MeshStatus) {
			changeRegistry(mesh, "sorter-3", func(status *registry.Status) { status.Replication.Release = "b" })
		}},
		{"clock", Warning, "wall clock", func(mesh MeshStatus) {
			changeRegistry(mesh, "sorter-3", func(status *registry.Status) { status.Replication.Wall += int64(monotonic.Minute) })
		}},
		{"disk", Unhealthy, "1 MiB", func(mesh MeshStatus) {
			changeRegistry(mesh, "sorter-3", func(status *registry.Status) { status.Replication.FreeBytes = 1 << 20 })
		}},
		{"disk", Warning, "last write", func(mesh MeshStatus) {
			changeRegistry(mesh, "sorter-1", func(status *registry.Status) { status.Replication.SyncTime = int64(monotonic.Second) })
		}},
		{"carriers", Warning, "version 2", func(mesh MeshStatus) { mesh.Registries["sorter-1"].Proxies[0].ConfigVersion = 2 }},
		{"leases", Warning, "proxy-1 has no lease", func(mesh MeshStatus) {
			store := mesh.ConfigStores["postmaster-1"]
			store.Leases = nil
			mesh.ConfigStores["postmaster-1"] = store
		}},
		{"guards", Unhealthy, "forms is open", func(mesh MeshStatus) {
			changeRegistry(mesh, "sorter-1", func(status *registry.Status) {
				status.Breakers = []*wire.BreakerRecord{{Service: "forms", State: "open"}}
			})
		}},
		{"guards", Warning, "half open", func(mesh MeshStatus) {
			changeRegistry(mesh, "sorter-1", func(status *registry.Status) {
				status.Breakers = []*wire.BreakerRecord{{Service: "forms", State: "half_open"}}
			})
		}},
		{"guards", Warning, "too few proxies agree", func(mesh MeshStatus) {
			changeRegistry(mesh, "sorter-1", func(status *registry.Status) {
				status.Breakers = []*wire.BreakerRecord{{Service: "forms", State: "closed", Reports: []*wire.TripReport{{Proxy: "proxy-1"}}}}
			})
		}},
		{"backends", Warning, "stopped sending heartbeats", func(mesh MeshStatus) { mesh.Registries["sorter-1"].Proxies[0].Backends[0].Condition = "overdue" }},
		{"backends", Warning, "single backend", func(mesh MeshStatus) {
			mesh.Registries["sorter-1"].Proxies[0].Backends = mesh.Registries["sorter-1"].Proxies[0].Backends[:1]
		}},
	}
	for _, test := range cases {
		t.Run(test.check+": "+test.contains, func(t *testing.T) {
			mesh := healthyMesh()
			test.change(mesh)
			found := false
			for _, finding := range Check(mesh) {
				found = found || finding.Check == test.check && finding.Level == test.level && strings.Contains(finding.Message, test.contains) && finding.Advice != ""
			}
			if !found {
				t.Error("no such finding with advice")
			}
		})
	}
}

// TestSafeToMove checks that a host can be stopped only if both replicas are in sync and every other voter responds.
func TestSafeToMove(t *testing.T) {
	hostProcesses := []string{"sorter-2", "postmaster-2"}
	for _, test := range []struct {
		name, contains string
		names          []string
		change         func(mesh MeshStatus)
	}{
		{"healthy mesh", "", hostProcesses, func(MeshStatus) {}},
		{"already stopped, as during a move", "", hostProcesses, func(mesh MeshStatus) { delete(mesh.Registries, "sorter-2") }},
		{"two processes of one group", "one process of a group", []string{"sorter-1", "sorter-2"}, func(MeshStatus) {}},
		{"another process is down", "sorter-3 does not respond", hostProcesses, func(mesh MeshStatus) { delete(mesh.Registries, "sorter-3") }},
		{"another process has an empty disk", "sorter-1 has not joined", hostProcesses, func(mesh MeshStatus) {
			changeRegistry(mesh, "sorter-1", func(status *registry.Status) { status.Replication.Joined = false })
		}},
		{"a voter without a replica is behind", "", hostProcesses, func(mesh MeshStatus) {
			changeRegistry(mesh, "sorter-3", func(status *registry.Status) { status.Replication.Epoch = 3 })
		}},
		{"the other replica is behind", "sorter-2 is behind", []string{"sorter-3"}, func(mesh MeshStatus) {
			changeRegistry(mesh, "sorter-2", func(status *registry.Status) { status.Replication.Epoch = 3 })
		}},
		{"no backup in sync", "no primary serves", hostProcesses, func(mesh MeshStatus) {
			for name := range mesh.Registries {
				changeRegistry(mesh, name, func(status *registry.Status) { status.Replication.BackupsInSync = false })
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			mesh := healthyMesh()
			test.change(mesh)
			unknown, objections := StopObjections(mesh, test.names)
			if len(unknown) > 0 || (test.contains == "") != (len(objections) == 0) || !strings.Contains(strings.Join(objections, "; "), test.contains) {
				t.Errorf("got unknown names %v and objections %v", unknown, objections)
			}
		})
	}
	if unknown, _ := StopObjections(healthyMesh(), []string{"sorter-2", "sorter-9"}); len(unknown) != 1 || unknown[0] != "sorter-9" {
		t.Errorf("got unknown names %v, want sorter-9 only", unknown)
	}
}
