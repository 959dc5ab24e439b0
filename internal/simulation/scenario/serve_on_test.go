package scenario

import (
	"errors"
	"fmt"
	"testing"

	"snowflow/internal/config"
	"snowflow/internal/configstore"
	"snowflow/internal/configstore/api"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

var servingOn = configstore.Timeouts{ServeStale: true, LongPoll: 2 * monotonic.Second}

// started makes a small mesh that has adopted a first desired state, under version 10.
func newServingMesh(t *testing.T, bounds configstore.Timeouts) *Mesh {
	t.Helper()
	return newServingMeshWithSeed(t, 3, bounds)
}

func newServingMeshWithSeed(t *testing.T, seed uint64, bounds configstore.Timeouts) *Mesh {
	t.Helper()
	topology := smallTopology
	topology.Bounds = bounds
	mesh := Build(seed, topology, Defects{})
	t.Cleanup(mesh.World.Close)
	mesh.World.Run(mesh.World.Now() + 3*monotonic.Second)
	if response, _, err := mesh.applyVersion(10, 20*monotonic.Second); err != nil || response.Outcome != versions.Accepted || response.Version != 10 {
		t.Fatalf("%v %v", response, err)
	}
	mesh.World.Run(mesh.World.Now() + 8*monotonic.Second)
	return mesh
}

// raise applies a state under a version through a door's store, and tells how long that took.
func (m *Mesh) applyVersion(version uint64, timeout monotonic.Micros) (response *wire.ConfigApplyResponse, took monotonic.Micros, err error) {
	began, done := m.World.Now(), false
	m.External.Go(func() {
		response, err = api.NewStore(m.External, m.resolver).Apply(timeout, &wire.ConfigApplyRequest{Content: Desired(int(version)), Version: version})
		took, done = m.World.Now()-began, true
	})
	for limit := began + timeout + monotonic.Minute; !done && m.World.Now() < limit; {
		m.World.Run(m.World.Now() + 10*monotonic.Millisecond)
	}
	if !done {
		err = errors.New("it took no end")
	}
	return response, took, err
}

// TestServeOnAcknowledgement: where carriers serve on, a dead one delays an apply by about Wait, not by its lease, and only until
// its lease has ended; one that comes again isn't delayed at all.
func TestServeOnAcknowledgement(t *testing.T) {
	t.Parallel()
	mesh := newServingMesh(t, servingOn)
	wait := configstore.DefaultTimeouts.AdoptionTimeout
	raise := func(what string, version, inForce uint64, least, most monotonic.Micros, everywhere bool) {
		t.Helper()
		response, took, err := mesh.applyVersion(version, 10*monotonic.Second)
		t.Logf("%s: acknowledged after %d microseconds", what, took)
		if err != nil || response.Outcome != versions.Accepted || response.Version != inForce || response.AdoptedEverywhere != everywhere || took < least || took > most {
			t.Errorf("%s: %v, %v after %d microseconds", what, response, err, took)
		}
	}
	raise("all there", 20, 20, 0, wait/4, true)
	raise("an older one", 15, 20, 0, wait/4, true)
	mesh.World.Kill(mesh.World.Node(mesh.proxyNames[2]))
	raise("one just dead", 30, 30, wait, wait+wait/4, false)
	raise("the same again", 30, 30, 0, wait/4, false)
	raise("an older one again", 25, 30, 0, wait/4, false)
	raise("one dead, the next", 31, 31, wait, wait+wait/4, false)
	mesh.World.Start(mesh.World.Node(mesh.proxyNames[2]))
	mesh.World.Run(mesh.World.Now() + 2*monotonic.Second)
	raise("it's back in another life", 35, 35, 0, wait/4, true)
	mesh.World.Kill(mesh.World.Node(mesh.proxyNames[2]))
	mesh.World.Run(mesh.World.Now() + configstore.DefaultLease + servingOn.LongPoll) // a poll that it left behind is answered, and counts, when its hold ends
	raise("one long dead", 40, 40, 0, wait/4, true)
	mesh.World.Kill(mesh.primary("postmaster"))
	raise("the primary just dead", 50, 50, 0, 8*monotonic.Second, false)
	raise("a new primary", 51, 51, 0, wait+wait/4, false)
	mesh.World.Run(mesh.World.Now() + configstore.DefaultLease)
	raise("a primary of some time", 60, 60, 0, wait/4, true)
}

// TestLeasedAcknowledgement: where they don't, the lease is waited for, also by an older version, and a door's store that has no
// time for that says that it doesn't know.
func TestLeasedAcknowledgement(t *testing.T) {
	t.Parallel()
	mesh := newServingMesh(t, configstore.Timeouts{Lease: 5 * monotonic.Second, LeaseSlack: monotonic.Second})
	mesh.World.Kill(mesh.World.Node(mesh.proxyNames[2]))
	if response, took, err := mesh.applyVersion(20, 2*monotonic.Second); !errors.Is(err, api.ErrOutcomeUnknown) || took > 2100*monotonic.Millisecond {
		t.Errorf("%v, %v after %d microseconds", response, err, took)
	}
	response, took, err := mesh.applyVersion(15, 10*monotonic.Second)
	t.Logf("acknowledged after %d microseconds more", took)
	if err != nil || response.Version != 20 || !response.AdoptedEverywhere || took < monotonic.Second || took > 2500*monotonic.Millisecond {
		t.Errorf("%v, %v after %d microseconds", response, err, took)
	}
}

// TestStoreDistinguishesRejectedAndUnknown: without a primary within reach nothing is sent, and that is certain.
func TestStoreDistinguishesRejectedAndUnknown(t *testing.T) {
	t.Parallel()
	mesh := newServingMesh(t, servingOn)
	read := func(timeout monotonic.Micros) (stored *wire.StoredConfig, err error) {
		done := false
		mesh.External.Go(func() {
			stored, err = api.NewStore(mesh.External, mesh.resolver).Latest(timeout)
			done = true
		})
		began := mesh.World.Now()
		for !done && mesh.World.Now() < began+timeout+monotonic.Second {
			mesh.World.Run(mesh.World.Now() + 10*monotonic.Millisecond)
		}
		if !done {
			t.Errorf("a read took more than its patience")
		}
		return stored, err
	}
	if stored, err := read(2 * monotonic.Second); err != nil || stored.Version != 10 {
		t.Errorf("%v %v", stored, err)
	}
	for _, core := range mesh.coreMachines {
		mesh.World.Partition("outside", core)
	}
	if response, took, err := mesh.applyVersion(20, 3*monotonic.Second); !errors.Is(err, api.ErrNotAccepted) || took > 3100*monotonic.Millisecond {
		t.Errorf("cut off: %v, %v after %d microseconds", response, err, took)
	}
	if _, err := read(2 * monotonic.Second); err == nil {
		t.Error("read while cut off")
	}
	for _, core := range mesh.coreMachines {
		mesh.World.HealPartition("outside", core)
	}
	if stored, err := read(2 * monotonic.Second); err != nil || stored.Version != 10 {
		t.Errorf("%v %v", stored, err)
	}
	// A content with faults is refused under any version.
	done := false
	mesh.External.Go(func() {
		response, err := api.NewStore(mesh.External, mesh.resolver).Apply(2*monotonic.Second, &wire.ConfigApplyRequest{Content: []byte(`{"groups":[]}`), Version: 3})
		if err != nil || response.Outcome != versions.Invalid || len(response.Errors) != 1 {
			t.Errorf("%v %v", response, err)
		}
		done = true
	})
	mesh.World.Run(mesh.World.Now() + 3*monotonic.Second)
	if !done {
		t.Error("no answer to an invalid content")
	}
}

// carry has a carrier carry a request without a key.
func (m *Mesh) forward(caller string, req *request.Request) (answer *request.Response, fault error) {
	done := false
	m.External.Go(func() {
		_, err := m.External.Transact(m.World.Node(caller).Address, 8*monotonic.Second, func(*world.Node) ([]byte, error) {
			req.ReadAt = m.proxies[caller].LeaderClock()
			given, refused := m.proxies[caller].Forwarder.Forward(req)
			if refused != nil {
				return nil, refused
			}
			answer = given
			return nil, nil
		})
		fault, done = err, true
	})
	for !done {
		m.World.Run(m.World.Now() + monotonic.Millisecond)
	}
	return answer, fault
}

// TestServeOnDuringPartition: a carrier that is cut off from the core serves on past its lease, by the state it has, and passes go both
// ways between it and those that have a newer one, also for a service that the other side doesn't know. Otherwise it refuses.
func TestServeOnDuringPartition(t *testing.T) {
	for name, bounds := range map[string]configstore.Timeouts{"serving on": servingOn, "by leases": {}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			mesh := newServingMesh(t, bounds)
			cut := mesh.proxyNames[0]
			for _, core := range mesh.coreMachines {
				mesh.partitionFor(cut, core, true, 20*monotonic.Second)
			}
			mesh.World.Run(mesh.World.Now() + 8*monotonic.Second)
			if _, _, err := mesh.applyVersion(20, 10*monotonic.Second); err != nil {
				t.Fatal(err)
			}
			if version, _ := mesh.proxies[cut].ConfigClient.Version(); version != 10 {
				t.Fatalf("%s has serial %d", cut, version)
			}
			served := map[string]int{}
			for number := range 20 {
				for _, caller := range []string{cut, mesh.proxyNames[1]} {
					answer, err := mesh.forward(caller, &request.Request{ID: fmt.Sprintf("form-%s-%d", caller, number), Method: "GET", Target: fmt.Sprintf("/forms/%d", number)})
					if err == nil && answer.Status == 200 {
						served[caller]++
					}
				}
			}
			t.Logf("served %v", served)
			wanted := map[bool]int{true: 20, false: 0}[bounds.ServeStale]
			if served[cut] != wanted || served[mesh.proxyNames[1]] != 20 {
				t.Errorf("served %v", served)
			}
			mesh.World.Run(mesh.World.Now() + 20*monotonic.Second)
			if version, _ := mesh.proxies[cut].ConfigClient.Version(); version != 20 {
				t.Errorf("%s has serial %d after its return", cut, version)
			}
			if _, live := mesh.proxies[cut].ConfigClient.Current(); !live {
				t.Error("no live view after its return")
			}
		})
	}
}

// TestUnlistedServices: where carriers serve on, a pass for a service that this side's view doesn't have is judged by the default.
func TestUnlistedServices(t *testing.T) {
	service := config.DefaultService("gone")
	if service.Name != "gone" || service.Limits.GetInFlightPerBackend() != 64 || service.Limits.GetCutoffMicros() != int64(5*monotonic.Second) {
		t.Errorf("%+v", service)
	}
}

// TestServeOnWithoutPrimary: where carriers serve on, one that starts anew while no primary can be had begins with what a named copy
// holds whose process sees a majority; by leases it waits for a primary. A copy that the register no longer names, or whose process is cut off with a
// minority, is nobody's source: others may have gone on without it.
func TestServeOnWithoutPrimary(t *testing.T) {
	for name, one := range map[string]struct {
		bounds   configstore.Timeouts
		majority bool
		wanted   uint64
	}{
		"serving on, a majority is left":     {servingOn, true, 10},
		"serving on, one copy alone is left": {servingOn, false, 0},
		"by leases, a majority is left":      {configstore.Timeouts{}, true, 0},
		"by leases, one copy alone is left":  {configstore.Timeouts{}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			mesh := newServingMesh(t, one.bounds)
			primary := mesh.primary(configstore.Group)
			left := mesh.configStores[primary.Name].Member.Backups()[0]
			for _, node := range mesh.World.Nodes() {
				switch {
				case mesh.configStores[node.Name] == nil:
				case node == primary || node.Name != left && !one.majority:
					mesh.World.Kill(node)
				default:
					node.Disk.SyncDelay = 5 * monotonic.Second // so that no ballot comes to an end
				}
			}
			node := mesh.World.Node(mesh.proxyNames[0])
			mesh.World.Kill(node)
			mesh.World.Run(mesh.World.Now() + monotonic.Second)
			mesh.World.Start(node)
			mesh.World.Run(mesh.World.Now() + 3*monotonic.Second)
			if mesh.primary(configstore.Group) != nil {
				t.Error("there is a primary, so nothing was shown")
			}
			if version, _ := mesh.proxies[mesh.proxyNames[0]].ConfigClient.Version(); version != one.wanted {
				t.Errorf("with %s left it has serial %d", left, version)
			}
		})
	}
}
