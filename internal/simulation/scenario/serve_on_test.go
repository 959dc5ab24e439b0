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

var serveStaleTimeouts = configstore.Timeouts{ServeStale: true, LongPoll: 2 * monotonic.Second}

// newServingMesh returns a small mesh whose proxies have adopted a first desired state under version 10.
func newServingMesh(t *testing.T, bounds configstore.Timeouts) *Mesh {
	t.Helper()
	return newServingMeshWithSeed(t, 3, bounds)
}

func newServingMeshWithSeed(t *testing.T, seed uint64, bounds configstore.Timeouts) *Mesh {
	t.Helper()
	topology := smallTopology
	topology.Timeouts = bounds
	mesh := Build(seed, topology, Defects{})
	t.Cleanup(mesh.World.Close)
	mesh.runFor(3 * monotonic.Second)
	if response, _, err := mesh.applyVersion(10, 20*monotonic.Second); err != nil || response.Outcome != versions.Accepted || response.Version != 10 {
		t.Fatalf("%v %v", response, err)
	}
	mesh.runFor(8 * monotonic.Second)
	return mesh
}

// applyVersion applies a state under a version through the operators' API, and returns how long that took.
func (m *Mesh) applyVersion(version uint64, timeout monotonic.Micros) (response *wire.ConfigApplyResponse, took monotonic.Micros, err error) {
	began, done := m.World.Now(), false
	m.External.Go(func() {
		response, err = api.NewStore(m.External, m.resolver).Apply(timeout, &wire.ConfigApplyRequest{Content: Desired(int(version)), Version: version})
		took, done = m.World.Now()-began, true
	})
	for limit := began + timeout + monotonic.Minute; !done && m.World.Now() < limit; {
		m.runFor(10 * monotonic.Millisecond)
	}
	if !done {
		err = errors.New("the call did not end")
	}
	return response, took, err
}

// TestServeOnAcknowledgement: if proxies serve on without a lease, a dead one delays an apply by about the wait, not by its lease, and
// only until the lease has expired. A version that has been waited for is not delayed again.
func TestServeOnAcknowledgement(t *testing.T) {
	t.Parallel()
	mesh := newServingMesh(t, serveStaleTimeouts)
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
	mesh.runFor(2 * monotonic.Second)
	raise("it is back in another incarnation", 35, 35, 0, wait/4, true)
	mesh.World.Kill(mesh.World.Node(mesh.proxyNames[2]))
	mesh.runFor(configstore.DefaultLease + serveStaleTimeouts.LongPoll) // a long poll that it left behind counts until it is answered
	raise("one long dead", 40, 40, 0, wait/4, true)
	mesh.World.Kill(mesh.primary(configstore.Group))
	raise("the primary just dead", 50, 50, 0, 8*monotonic.Second, false)
	raise("a new primary", 51, 51, 0, wait+wait/4, false)
	mesh.runFor(configstore.DefaultLease)
	raise("a primary of some time", 60, 60, 0, wait/4, true)
}

// TestLeasedAcknowledgement: if proxies need a lease, an apply waits until the dead one's has expired, also that of an older version. An
// operator's call that times out before returns an unknown outcome.
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

// TestStoreDistinguishesRejectedAndUnknown: if no primary can be reached, the write has certainly not been accepted.
func TestStoreDistinguishesRejectedAndUnknown(t *testing.T) {
	t.Parallel()
	mesh := newServingMesh(t, serveStaleTimeouts)
	read := func(timeout monotonic.Micros) (stored *wire.StoredConfig, err error) {
		done := false
		mesh.External.Go(func() {
			stored, err = api.NewStore(mesh.External, mesh.resolver).Latest(timeout)
			done = true
		})
		began := mesh.World.Now()
		for !done && mesh.World.Now() < began+timeout+monotonic.Second {
			mesh.runFor(10 * monotonic.Millisecond)
		}
		if !done {
			t.Errorf("a read exceeded its timeout")
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
	// An invalid content is rejected under any version.
	done := false
	mesh.External.Go(func() {
		response, err := api.NewStore(mesh.External, mesh.resolver).Apply(2*monotonic.Second, &wire.ConfigApplyRequest{Content: []byte(`{"groups":[]}`), Version: 3})
		if err != nil || response.Outcome != versions.Invalid || len(response.Errors) != 1 {
			t.Errorf("%v %v", response, err)
		}
		done = true
	})
	mesh.runFor(3 * monotonic.Second)
	if !done {
		t.Error("no response to an invalid content")
	}
}

// forward sends a request through a proxy and returns its response.
func (m *Mesh) forward(caller string, req *request.Request) (response *request.Response, fault error) {
	done := false
	m.External.Go(func() {
		_, err := m.External.CallFunc(m.World.Node(caller).Address, 8*monotonic.Second, func(*world.Node) ([]byte, error) {
			req.ReadAt = m.proxies[caller].LeaderClock()
			given, rejected := m.proxies[caller].Forwarder.Forward(req)
			if rejected != nil {
				return nil, rejected
			}
			response = given
			return nil, nil
		})
		fault, done = err, true
	})
	for !done {
		m.runFor(monotonic.Millisecond)
	}
	return response, fault
}

// TestServeOnDuringPartition: a proxy that is cut off from the core serves on beyond its lease by the state that it has, and forwards to
// proxies with a newer state and accepts requests from them. If leases are required it rejects requests.
func TestServeOnDuringPartition(t *testing.T) {
	for name, bounds := range map[string]configstore.Timeouts{"serving on": serveStaleTimeouts, "by leases": {}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			mesh := newServingMesh(t, bounds)
			cut := mesh.proxyNames[0]
			for _, core := range mesh.coreMachines {
				mesh.partitionFor(cut, core, true, 20*monotonic.Second)
			}
			mesh.runFor(8 * monotonic.Second)
			if _, _, err := mesh.applyVersion(20, 10*monotonic.Second); err != nil {
				t.Fatal(err)
			}
			if version, _ := mesh.proxies[cut].ConfigClient.Version(); version != 10 {
				t.Fatalf("%s has version %d", cut, version)
			}
			served := map[string]int{}
			for number := range 20 {
				for _, caller := range []string{cut, mesh.proxyNames[1]} {
					response, err := mesh.forward(caller, &request.Request{ID: fmt.Sprintf("form-%s-%d", caller, number), Method: "GET", Target: fmt.Sprintf("/forms/%d", number)})
					if err == nil && response.Status == 200 {
						served[caller]++
					}
				}
			}
			t.Logf("served %v", served)
			expected := map[bool]int{true: 20, false: 0}[bounds.ServeStale]
			if served[cut] != expected || served[mesh.proxyNames[1]] != 20 {
				t.Errorf("served %v", served)
			}
			mesh.runFor(20 * monotonic.Second)
			if version, _ := mesh.proxies[cut].ConfigClient.Version(); version != 20 {
				t.Errorf("%s has version %d after its return", cut, version)
			}
			if _, live := mesh.proxies[cut].ConfigClient.Current(); !live {
				t.Error("no live view after its return")
			}
		})
	}
}

// TestUnlistedServices: if proxies serve on, a forwarded request for a service that the receiver's snapshot lacks is subject to the
// defaults.
func TestUnlistedServices(t *testing.T) {
	service := config.DefaultService("gone")
	if service.Name != "gone" || service.Limits.GetInFlightPerBackend() != 64 || service.Limits.GetCutoffMicros() != int64(5*monotonic.Second) {
		t.Errorf("%+v", service)
	}
}

// TestServeOnWithoutPrimary: if proxies serve on, one that starts while there is no primary begins with what a current replica holds
// whose process reaches a majority. With leases it waits for a primary. A replica that is no longer a member, or reaches only a
// minority, is no source: others may have gone on without it.
func TestServeOnWithoutPrimary(t *testing.T) {
	for name, test := range map[string]struct {
		bounds   configstore.Timeouts
		majority bool
		expected uint64
	}{
		"serving on, a majority is left":        {serveStaleTimeouts, true, 10},
		"serving on, one replica alone is left": {serveStaleTimeouts, false, 0},
		"by leases, a majority is left":         {configstore.Timeouts{}, true, 0},
		"by leases, one replica alone is left":  {configstore.Timeouts{}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			mesh := newServingMesh(t, test.bounds)
			primary := mesh.primary(configstore.Group)
			left := mesh.configStores[primary.Name].Member.Backups()[0]
			for _, node := range mesh.World.Nodes() {
				switch {
				case mesh.configStores[node.Name] == nil:
				case node == primary || node.Name != left && !test.majority:
					mesh.World.Kill(node)
				default:
					node.Disk.SyncDelay = 5 * monotonic.Second // so that no proposal completes
				}
			}
			node := mesh.World.Node(mesh.proxyNames[0])
			mesh.World.Kill(node)
			mesh.runFor(monotonic.Second)
			mesh.World.Start(node)
			mesh.runFor(3 * monotonic.Second)
			if mesh.primary(configstore.Group) != nil {
				t.Error("there is a primary, so the test shows nothing")
			}
			if version, _ := mesh.proxies[mesh.proxyNames[0]].ConfigClient.Version(); version != test.expected {
				t.Errorf("with %s left it has version %d", left, version)
			}
		})
	}
}
