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

// serveStaleTimeouts let proxies keep serving from the state that they have when they lose contact with the core.
var serveStaleTimeouts = configstore.Timeouts{ServeStale: true, LongPoll: 2 * monotonic.Second}

// newServingMesh returns a small mesh whose proxies have adopted a first desired state as version 10.
func newServingMesh(t *testing.T, timeouts configstore.Timeouts) *Mesh {
	t.Helper()
	return newServingMeshWithSeed(t, 3, timeouts)
}

func newServingMeshWithSeed(t *testing.T, seed uint64, timeouts configstore.Timeouts) *Mesh {
	t.Helper()
	topology := smallTopology
	topology.Timeouts = timeouts
	mesh := Build(seed, topology, Defects{})
	t.Cleanup(mesh.World.Close)
	mesh.runFor(3 * monotonic.Second)
	if response, _, err := mesh.applyVersion(10, 20*monotonic.Second); err != nil || response.Outcome != versions.Accepted || response.Version != 10 {
		t.Fatalf("applying version 10: %v %v", response, err)
	}
	mesh.runFor(8 * monotonic.Second)
	return mesh
}

// applyVersion applies a desired state with a version through the operators' API, and returns how long that took.
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

// TestServeOnAcknowledgement checks, with proxies that keep serving without a lease, that a killed proxy delays an apply only by about the
// adoption timeout, and only until its lease has expired. Once an apply has waited for a version, repeated applies of it don't wait.
func TestServeOnAcknowledgement(t *testing.T) {
	t.Parallel()
	mesh := newServingMesh(t, serveStaleTimeouts)
	timeout := configstore.DefaultTimeouts.AdoptionTimeout
	checkApply := func(what string, version, activeVersion uint64, minimum, maximum monotonic.Micros, everywhere bool) {
		t.Helper()
		response, took, err := mesh.applyVersion(version, 10*monotonic.Second)
		t.Logf("%s: acknowledged after %d microseconds", what, took)
		if err != nil || response.Outcome != versions.Accepted || response.Version != activeVersion || response.AdoptedEverywhere != everywhere || took < minimum || took > maximum {
			t.Errorf("%s: %v, %v after %d microseconds", what, response, err, took)
		}
	}
	checkApply("all proxies up", 20, 20, 0, timeout/4, true)
	checkApply("an older version", 15, 20, 0, timeout/4, true)
	mesh.World.Kill(mesh.World.Node(mesh.proxyNames[2]))
	checkApply("a proxy was just killed", 30, 30, timeout, timeout+timeout/4, false)
	checkApply("the same version again", 30, 30, 0, timeout/4, false)
	checkApply("an older version again", 25, 30, 0, timeout/4, false)
	checkApply("the next version, with the proxy still down", 31, 31, timeout, timeout+timeout/4, false)
	mesh.World.Start(mesh.World.Node(mesh.proxyNames[2]))
	mesh.runFor(2 * monotonic.Second)
	checkApply("the proxy has restarted", 35, 35, 0, timeout/4, true)
	mesh.World.Kill(mesh.World.Node(mesh.proxyNames[2]))
	mesh.runFor(configstore.DefaultLease + serveStaleTimeouts.LongPoll) // its last long poll counts until it is answered
	checkApply("a proxy has been down for longer than its lease", 40, 40, 0, timeout/4, true)
	mesh.World.Kill(mesh.primary(configstore.Group))
	checkApply("the primary was just killed", 50, 50, 0, 8*monotonic.Second, false)
	checkApply("a new primary", 51, 51, 0, timeout+timeout/4, false)
	mesh.runFor(configstore.DefaultLease)
	checkApply("a primary that has served for longer than a lease", 60, 60, 0, timeout/4, true)
}

// TestLeasedAcknowledgement checks, with proxies that need a lease, that every apply, also of an older version, waits until the lease of a
// killed proxy has expired. An operator's call that times out earlier returns an unknown outcome.
func TestLeasedAcknowledgement(t *testing.T) {
	t.Parallel()
	mesh := newServingMesh(t, configstore.Timeouts{Lease: 5 * monotonic.Second, LeaseSlack: monotonic.Second})
	mesh.World.Kill(mesh.World.Node(mesh.proxyNames[2]))
	if response, took, err := mesh.applyVersion(20, 2*monotonic.Second); !errors.Is(err, api.ErrOutcomeUnknown) || took > 2100*monotonic.Millisecond {
		t.Errorf("applying version 20: %v, %v after %d microseconds", response, err, took)
	}
	response, took, err := mesh.applyVersion(15, 10*monotonic.Second)
	t.Logf("acknowledged after another %d microseconds", took)
	if err != nil || response.Version != 20 || !response.AdoptedEverywhere || took < monotonic.Second || took > 2500*monotonic.Millisecond {
		t.Errorf("applying version 15: %v, %v after %d microseconds", response, err, took)
	}
}

// TestStoreDistinguishesRejectedAndUnknown checks that the operators' API reports a write as certainly not accepted, instead of as unknown,
// if no primary can be reached.
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
		t.Errorf("reading the latest version: %v %v", stored, err)
	}
	for _, core := range mesh.coreMachines {
		mesh.World.Partition("outside", core)
	}
	if response, took, err := mesh.applyVersion(20, 3*monotonic.Second); !errors.Is(err, api.ErrNotAccepted) || took > 3100*monotonic.Millisecond {
		t.Errorf("applying while partitioned: %v, %v after %d microseconds", response, err, took)
	}
	if _, err := read(2 * monotonic.Second); err == nil {
		t.Error("a read succeeded while partitioned")
	}
	for _, core := range mesh.coreMachines {
		mesh.World.HealPartition("outside", core)
	}
	if stored, err := read(2 * monotonic.Second); err != nil || stored.Version != 10 {
		t.Errorf("reading the latest version: %v %v", stored, err)
	}
	// An invalid content is rejected, whatever version it is applied as.
	done := false
	mesh.External.Go(func() {
		response, err := api.NewStore(mesh.External, mesh.resolver).Apply(2*monotonic.Second, &wire.ConfigApplyRequest{Content: []byte(`{"groups":[]}`), Version: 3})
		if err != nil || response.Outcome != versions.Invalid || len(response.Errors) != 1 {
			t.Errorf("applying an invalid content: %v %v", response, err)
		}
		done = true
	})
	mesh.runFor(3 * monotonic.Second)
	if !done {
		t.Error("no response to an invalid content")
	}
}

// forward sends a request through a proxy and returns its response.
func (m *Mesh) forward(caller string, req *request.Request) (response *request.Response, failure error) {
	done := false
	m.External.Go(func() {
		_, err := m.External.CallFunc(m.World.Node(caller).Address, 8*monotonic.Second, func(*world.Node) ([]byte, error) {
			req.ReadAt = m.proxies[caller].LeaderClock()
			forwarded, rejected := m.proxies[caller].Forwarder.Forward(req)
			if rejected != nil {
				return nil, rejected
			}
			response = forwarded
			return nil, nil
		})
		failure, done = err, true
	})
	for !done {
		m.runFor(monotonic.Millisecond)
	}
	return response, failure
}

// TestServeOnDuringPartition checks that a proxy that is partitioned from the core keeps serving beyond its lease from the state that it
// has, and that it and proxies with a newer state still forward requests to each other. If leases are required it rejects requests.
func TestServeOnDuringPartition(t *testing.T) {
	for name, timeouts := range map[string]configstore.Timeouts{"serving on": serveStaleTimeouts, "by leases": {}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			mesh := newServingMesh(t, timeouts)
			isolated := mesh.proxyNames[0]
			for _, core := range mesh.coreMachines {
				mesh.partitionFor(isolated, core, true, 20*monotonic.Second)
			}
			mesh.runFor(8 * monotonic.Second)
			if _, _, err := mesh.applyVersion(20, 10*monotonic.Second); err != nil {
				t.Fatal(err)
			}
			if version, _ := mesh.proxies[isolated].ConfigClient.Version(); version != 10 {
				t.Fatalf("%s has version %d during the partition", isolated, version)
			}
			served := map[string]int{}
			for number := range 20 {
				for _, caller := range []string{isolated, mesh.proxyNames[1]} {
					response, err := mesh.forward(caller, &request.Request{ID: fmt.Sprintf("form-%s-%d", caller, number), Method: "GET", Target: fmt.Sprintf("/forms/%d", number)})
					if err == nil && response.Status == 200 {
						served[caller]++
					}
				}
			}
			t.Logf("served by proxy: %v", served)
			expected := map[bool]int{true: 20, false: 0}[timeouts.ServeStale]
			if served[isolated] != expected || served[mesh.proxyNames[1]] != 20 {
				t.Errorf("served by proxy: %v", served)
			}
			mesh.runFor(20 * monotonic.Second)
			if version, _ := mesh.proxies[isolated].ConfigClient.Version(); version != 20 {
				t.Errorf("%s has version %d after the partition", isolated, version)
			}
			if _, live := mesh.proxies[isolated].ConfigClient.Current(); !live {
				t.Error("the proxy may not serve after the partition")
			}
		})
	}
}

// TestUnlistedServices checks the default limits. They apply if proxies keep serving without a lease, to a forwarded request for a service
// that the receiver's snapshot lacks.
func TestUnlistedServices(t *testing.T) {
	service := config.DefaultService("gone")
	if service.Name != "gone" || service.Limits.GetInFlightPerBackend() != 64 || service.Limits.GetCutoffMicros() != int64(5*monotonic.Second) {
		t.Errorf("the default service is %+v", service)
	}
}

// TestServeOnWithoutPrimary checks that a proxy that starts without a primary and may serve without a lease adopts the version of a current
// replica whose process reaches a majority. A replica that is no longer a member or reaches only a minority isn't used, since the others
// may have newer versions. With leases the proxy waits for a primary.
func TestServeOnWithoutPrimary(t *testing.T) {
	for name, test := range map[string]struct {
		timeouts configstore.Timeouts
		majority bool
		expected uint64
	}{
		"serving on, a majority is left":        {serveStaleTimeouts, true, 10},
		"serving on, one replica alone is left": {serveStaleTimeouts, false, 0},
		"by leases, a majority is left":         {configstore.Timeouts{}, true, 0},
		"by leases, one replica alone is left":  {configstore.Timeouts{}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			mesh := newServingMesh(t, test.timeouts)
			primary := mesh.primary(configstore.Group)
			remaining := mesh.configStores[primary.Name].Member.Backups()[0]
			for _, node := range mesh.World.Nodes() {
				switch {
				case mesh.configStores[node.Name] == nil:
				case node == primary || node.Name != remaining && !test.majority:
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
				t.Error("there is a primary, so the test proves nothing")
			}
			if version, _ := mesh.proxies[mesh.proxyNames[0]].ConfigClient.Version(); version != test.expected {
				t.Errorf("with %s remaining the proxy has version %d", remaining, version)
			}
		})
	}
}
