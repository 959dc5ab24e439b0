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

// controlTraffic returns the bytes that a proxy sends and receives per second in a mesh without callers. One proxy after another is
// restarted at an interval, or none if that is zero.
func controlTraffic(t *testing.T, proxyCount int, every monotonic.Micros) float64 {
	t.Helper()
	const seconds = 30
	mesh := Build(1, Topology{Cores: 3, Proxies: proxyCount, Zones: 3, Backends: proxyCount / 2}, Defects{})
	defer mesh.World.Close()
	mesh.External.Go(func() { mesh.applyDesired(Desired(0), false, 0, 20*monotonic.Second) })
	mesh.runFor(15 * monotonic.Second)
	mesh.World.Bytes = map[string]int{}
	until := mesh.World.Now() + seconds*monotonic.Second
	for turn := 0; mesh.World.Now() < until; turn++ {
		if every == 0 {
			mesh.World.Run(until)
			break
		}
		node := mesh.World.Node(mesh.proxyNames[turn%proxyCount])
		mesh.World.Kill(node)
		mesh.after(300*monotonic.Millisecond, func() { mesh.World.Start(node) })
		mesh.runFor(every)
	}
	total := 0
	for node, count := range mesh.World.Bytes {
		if strings.HasPrefix(node, proxyNodePrefix) {
			total += count
		}
	}
	return float64(total) / seconds / float64(proxyCount)
}

// TestControlTrafficPerProxy: what the same number of restarts costs each proxy does not grow with the number of proxies.
func TestControlTrafficPerProxy(t *testing.T) {
	const every = 2 * monotonic.Second
	calms, more := map[int]float64{}, map[int]float64{}
	for _, proxyCount := range []int{20, 40, 80} {
		calms[proxyCount] = controlTraffic(t, proxyCount, 0)
		more[proxyCount] = controlTraffic(t, proxyCount, every) - calms[proxyCount]
		t.Logf("%d proxies: %.0f bytes a second for each in calm, %.0f more with a restart every 2 s", proxyCount, calms[proxyCount], more[proxyCount])
	}
	if more[20] < 50 || more[80] > 1.3*more[20] || calms[80] > 1.1*calms[20] {
		t.Errorf("bytes a second for each of 20, 40 and 80 proxies: %v in calm, %v more with restarts", calms, more)
	}
}

// compareDirectories compares each new directory of each proxy with the full directory of the same version at the registry. It calls
// compared for each comparison, and mismatched for each directory that differs.
func (m *Mesh) compareDirectories(compared func(), mismatched func(proxyName string)) {
	type directoryVersion struct{ source, version uint64 }
	published, seen := map[directoryVersion]*session.Directory{}, map[string]*session.Directory{}
	m.onRegistryPoll = func(registryName string, _ *wire.RegistryPollRequest, _ *wire.RegistryPollResponse) {
		snapshot := m.registries[registryName].DirectorySnapshot()
		if newest := (directoryVersion{snapshot.Source, snapshot.Version}); published[newest] == nil {
			published[newest] = session.NewDirectory(snapshot.Sessions)
		}
	}
	m.External.Go(func() {
		for {
			m.External.Sleep(20 * monotonic.Millisecond)
			for name, instance := range m.proxies {
				source, version := instance.Session.Version()
				complete, known := published[directoryVersion{source, version}]
				present := instance.Session.Directory()
				if !known || seen[name] == present {
					continue // it is older than the first full directory
				}
				seen[name] = present
				compared()
				if !reflect.DeepEqual(present, complete) {
					mismatched(name)
				}
			}
		}
	})
}

// TestDirectoryByChanges: under all faults of several scenarios, each proxy's directory equals the full directory of the version that it
// claims to have.
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
						t.Errorf("seed %d: %s has another directory than it says at %d", seed, proxyName, mesh.World.Now())
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
				t.Logf("%d directories compared; the proxies at the end %+v", compared, adopted)
				if compared == 0 {
					t.Error("no directory was compared")
				}
			})
		}
	}
}

// TestDirectoryCheckDetectsDefect: the comparison detects proxies that apply changes onto whatever they have, while registries omit the
// removals.
func TestDirectoryCheckDetectsDefect(t *testing.T) {
	t.Parallel()
	scenario, mismatched := Scenarios["everything"], 0
	scenario.Prepare = func(mesh *Mesh) {
		mesh.compareDirectories(func() {}, func(string) { mismatched++ })
		nextHook := mesh.onRegistryPoll
		mesh.onRegistryPoll = func(registryName string, request *wire.RegistryPollRequest, response *wire.RegistryPollResponse) {
			nextHook(registryName, request, response)
			response.DirectoryRemoved = nil
		}
	}
	Run(scenario, 2, Defects{UncheckedDirectoryDelta: true})
	if mismatched == 0 {
		t.Error("nothing was wrong")
	}
}

// TestDrainingPropagates: a backend's draining reaches every proxy with its next poll, by changes as soon as by full directories.
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
		knows := func(name string) bool {
			return slices.ContainsFunc(mesh.proxies[name].Session.Directory().Candidates["forms"], func(candidate session.Candidate) bool { return candidate.Instance == draining.instance })
		}
		for slices.ContainsFunc(mesh.proxyNames, knows) {
			mesh.runFor(monotonic.Millisecond)
			if mesh.World.Now()-began > 5*monotonic.Second {
				t.Fatal("some proxy still knows the backend")
			}
		}
		return mesh.World.Now() - began
	}
	complete, changes := propagationTime(true), propagationTime(false)
	t.Logf("the last of 20 proxies knows after %d microseconds by full directories, %d by changes", complete, changes)
	if changes > complete || changes > 1200*monotonic.Millisecond {
		t.Errorf("the last of 20 proxies knows after %d microseconds by full directories, %d by changes", complete, changes)
	}
}
