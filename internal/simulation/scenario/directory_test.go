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

// controlTraffic returns how many bytes per second a proxy sends and receives on average in a mesh without callers. The proxies are
// restarted in turn, one per restartInterval, or not at all if that is zero.
func controlTraffic(t *testing.T, proxyCount int, restartInterval monotonic.Micros) float64 {
	t.Helper()
	const seconds = 30
	mesh := Build(1, Topology{Cores: 3, Proxies: proxyCount, Zones: 3, Backends: proxyCount / 2}, Defects{})
	defer mesh.World.Close()
	mesh.External.Go(func() { mesh.applyDesired(Desired(0), false, 0, 20*monotonic.Second) })
	mesh.runFor(15 * monotonic.Second)
	mesh.World.Bytes = map[string]int{}
	until := mesh.World.Now() + seconds*monotonic.Second
	for turn := 0; mesh.World.Now() < until; turn++ {
		if restartInterval == 0 {
			mesh.World.Run(until)
			break
		}
		node := mesh.World.Node(mesh.proxyNames[turn%proxyCount])
		mesh.World.Kill(node)
		mesh.after(300*monotonic.Millisecond, func() { mesh.World.Start(node) })
		mesh.runFor(restartInterval)
	}
	total := 0
	for node, count := range mesh.World.Bytes {
		if strings.HasPrefix(node, proxyNodePrefix) {
			total += count
		}
	}
	return float64(total) / seconds / float64(proxyCount)
}

// TestControlTrafficPerProxy checks that the control traffic per proxy doesn't grow with the number of proxies, neither without restarts
// nor at a constant rate of restarts.
func TestControlTrafficPerProxy(t *testing.T) {
	const restartInterval = 2 * monotonic.Second
	idle, added := map[int]float64{}, map[int]float64{}
	for _, proxyCount := range []int{20, 40, 80} {
		idle[proxyCount] = controlTraffic(t, proxyCount, 0)
		added[proxyCount] = controlTraffic(t, proxyCount, restartInterval) - idle[proxyCount]
		t.Logf("%d proxies: %.0f bytes per second for each without restarts, %.0f more with a restart every 2 s", proxyCount, idle[proxyCount], added[proxyCount])
	}
	if added[20] < 50 || added[80] > 1.3*added[20] || idle[80] > 1.1*idle[20] {
		t.Errorf("bytes per second for each of 20, 40 and 80 proxies: %v without restarts, %v more with restarts", idle, added)
	}
}

// compareDirectories compares each new directory of each proxy with the registry's full directory of the same version. It calls compared
// for each comparison, and mismatched for each directory that differs.
func (m *Mesh) compareDirectories(compared func(), mismatched func(proxyName string)) {
	type directoryVersion struct{ source, version uint64 }
	published, seen := map[directoryVersion]*session.Directory{}, map[string]*session.Directory{}
	m.onRegistryPoll = func(registryName string, _ *wire.RegistryPollRequest, _ *wire.RegistryPollResponse) {
		snapshot := m.registries[registryName].DirectorySnapshot()
		if current := (directoryVersion{snapshot.Source, snapshot.Version}); published[current] == nil {
			published[current] = session.NewDirectory(snapshot.Sessions)
		}
	}
	m.External.Go(func() {
		for {
			m.External.Sleep(20 * monotonic.Millisecond)
			for name, instance := range m.proxies {
				source, version := instance.Session.Version()
				expected, known := published[directoryVersion{source, version}]
				directory := instance.Session.Directory()
				if !known || seen[name] == directory {
					continue // it was compared before, or is older than the first full directory that was recorded
				}
				seen[name] = directory
				compared()
				if !reflect.DeepEqual(directory, expected) {
					mismatched(name)
				}
			}
		}
	})
}

// TestDirectoryByChanges checks that each proxy's directory, which it maintains from differences, equals the registry's full directory of
// the same version under all faults of several scenarios.
func TestDirectoryByChanges(t *testing.T) {
	for _, name := range []string{"everything", "core", "drains", "backends", "troubled", "clocks", "association"} {
		for _, seed := range seeds(t, 1, 2) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				scenario, compared, adopted := Scenarios[name], 0, session.UpdateCounts{}
				prepare := scenario.Prepare
				scenario.Prepare = func(mesh *Mesh) {
					if prepare != nil {
						prepare(mesh)
					}
					mesh.compareDirectories(func() { compared++ }, func(proxyName string) {
						t.Errorf("seed %d: the directory of %s differs from the full one of its version at %d", seed, proxyName, mesh.World.Now())
					})
					mesh.after(scenario.Duration+20*monotonic.Second, func() {
						for _, instance := range mesh.proxies {
							counts := instance.Session.UpdateCounts()
							adopted.Deltas, adopted.Snapshots, adopted.Rejected = adopted.Deltas+counts.Deltas, adopted.Snapshots+counts.Snapshots, adopted.Rejected+counts.Rejected
						}
					})
				}
				for _, finding := range Run(scenario, seed, Defects{}).Findings {
					t.Errorf("seed %d: %s", seed, finding)
				}
				t.Logf("%d directories compared; updates that the proxies adopted: %+v", compared, adopted)
				if compared == 0 {
					t.Error("no directory was compared")
				}
			})
		}
	}
}

// TestDirectoryCheckDetectsDefect checks that the comparison detects proxies that apply differences to whichever version they have, while
// the registries omit the removals.
func TestDirectoryCheckDetectsDefect(t *testing.T) {
	t.Parallel()
	scenario, mismatched := Scenarios["everything"], 0
	scenario.Prepare = func(mesh *Mesh) {
		mesh.compareDirectories(func() {}, func(string) { mismatched++ })
		compare := mesh.onRegistryPoll
		mesh.onRegistryPoll = func(registryName string, request *wire.RegistryPollRequest, response *wire.RegistryPollResponse) {
			compare(registryName, request, response)
			response.DirectoryRemoved = nil
		}
	}
	Run(scenario, 2, Defects{UncheckedDirectoryDelta: true})
	if mismatched == 0 {
		t.Error("the defect was not detected")
	}
}

// TestDrainingPropagates checks that every proxy learns with its next poll that a backend is draining, by a difference no later than by a
// full directory.
func TestDrainingPropagates(t *testing.T) {
	propagationTime := func(fullStates bool) (last monotonic.Micros) {
		mesh := Build(1, Topology{Cores: 3, Proxies: 20, Zones: 3, Backends: 10}, Defects{})
		defer mesh.World.Close()
		mesh.External.Go(func() { mesh.applyDesired(Desired(0), false, 0, 20*monotonic.Second) })
		mesh.runFor(15 * monotonic.Second)
		if fullStates {
			mesh.onRegistryPoll = func(registryName string, request *wire.RegistryPollRequest, response *wire.RegistryPollResponse) {
				if response.DirectoryIsDelta {
					response.Sessions, response.DirectoryIsDelta = mesh.registries[registryName].DirectorySnapshot().Sessions, false
				}
			}
		}
		draining, began := mesh.liveBackends("forms")[0], mesh.World.Now()
		mesh.drainBackend(draining)
		lists := func(name string) bool {
			return slices.ContainsFunc(mesh.proxies[name].Session.Directory().Candidates["forms"], func(candidate session.Candidate) bool { return candidate.Instance == draining.instance })
		}
		for slices.ContainsFunc(mesh.proxyNames, lists) {
			mesh.runFor(monotonic.Millisecond)
			if mesh.World.Now()-began > 5*monotonic.Second {
				t.Fatal("a proxy still lists the backend after 5 s")
			}
		}
		return mesh.World.Now() - began
	}
	full, differences := propagationTime(true), propagationTime(false)
	t.Logf("the last of 20 proxies learned of it after %d microseconds by full directories, %d by differences", full, differences)
	if differences > full || differences > 1200*monotonic.Millisecond {
		t.Errorf("the last of 20 proxies learned of it after %d microseconds by full directories, %d by differences", full, differences)
	}
}
