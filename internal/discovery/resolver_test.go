package discovery

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// TestHealthCheckOmitsPeers checks that the response to a health check is empty, since health checks are sent for every long request and
// often between zones, and that the response to any other discover request has the known processes.
func TestHealthCheckOmitsPeers(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	server := simulated.Add("server", "server", "one", func(h *world.Host) (host.Handlers, error) {
		resolver := New(h, &wire.PeerAddress{Name: "server", Address: "server", Group: "sorter"}, nil)
		handlers := host.Handlers{}
		resolver.Register(handlers)
		return handlers, nil
	})
	var healthCheck, full *wire.DiscoverResponse
	client := simulated.Add("client", "client", "one", func(h *world.Host) (host.Handlers, error) {
		h.Go(func() {
			healthCheck, full = &wire.DiscoverResponse{}, &wire.DiscoverResponse{}
			for _, call := range []struct {
				request  *wire.DiscoverRequest
				response *wire.DiscoverResponse
			}{{&wire.DiscoverRequest{HealthCheck: true}, healthCheck}, {&wire.DiscoverRequest{}, full}} {
				if err := h.Call("server", wire.Kind_discover, call.request, call.response, monotonic.Second); err != nil {
					t.Error(err)
				}
			}
		})
		return host.Handlers{}, nil
	})
	simulated.Start(server)
	simulated.Start(client)
	simulated.Run(simulated.Now() + 5*monotonic.Second)
	if simulated.Panicked != nil {
		t.Fatal(simulated.Panicked)
	}
	if proto.Size(healthCheck) != 0 {
		t.Errorf("the response to a health check is %d bytes: %v", proto.Size(healthCheck), healthCheck)
	}
	if len(full.GetKnown()) != 1 {
		t.Errorf("the known processes are %v", full)
	}
}

// addressesOf returns the known addresses of a name, in the order in which calls use them.
func addressesOf(resolver *Resolver, name string) (addresses []string) {
	for _, known := range resolver.Peers() {
		if known.Name == name {
			addresses = append(addresses, known.Address)
		}
	}
	return addresses
}

// TestAddressRanks checks that a new address is ranked second, that a known one keeps its rank, that the last one is dropped beyond
// maxAddresses, and that the first one moves to the end after a failed call.
func TestAddressRanks(t *testing.T) {
	resolver := New(nil, nil, nil)
	for _, address := range []string{"a", "b", "c", "a", "d", "e", ""} {
		resolver.AddPeers([]*wire.PeerAddress{{Name: "one", Address: address, Group: "group"}})
	}
	if got, want := addressesOf(resolver, "one"), []string{"a", "e", "d", "c"}; !slices.Equal(got, want) {
		t.Errorf("ranked %v, want %v", got, want)
	}
	resolver.demote("one", "e") // not the first
	resolver.demote("one", "a")
	if got, want := addressesOf(resolver, "one"), []string{"e", "d", "c", "a"}; !slices.Equal(got, want) {
		t.Errorf("after a failed call ranked %v, want %v", got, want)
	}
	if members := resolver.Members("group"); !slices.Equal(members, []string{"one"}) {
		t.Errorf("members %v", members)
	}
}

// TestPrimariesByEpoch checks that a primary is replaced only by one of a higher epoch.
func TestPrimariesByEpoch(t *testing.T) {
	resolver := New(nil, nil, nil)
	for _, step := range []struct {
		name  string
		epoch uint64
		want  string
	}{{"first", 2, "first"}, {"older", 1, "first"}, {"same", 2, "first"}, {"newer", 3, "newer"}} {
		resolver.ObservePrimaries([]*wire.Primary{{Group: "group", Epoch: step.epoch, Name: step.name}})
		if leader := resolver.PrimaryName("group"); leader != step.want {
			t.Errorf("after %s the leader is %q, want %q", step.name, leader, step.want)
		}
	}
	if leader := resolver.PrimaryName("other"); leader != "" {
		t.Errorf("the leader of an unknown group is %q", leader)
	}
}

// TestTargetsInTurn checks that Refresh sends requests to its targets in turn, and skips those that have a request in flight. Targets that
// did not answer are in a separate rotation.
func TestTargetsInTurn(t *testing.T) {
	resolver := New(nil, nil, []string{"a", "b"})
	resolver.AddPeers([]*wire.PeerAddress{{Name: "one", Address: "c"}, {Name: "two", Address: "a"}})
	targets := resolver.targets()
	if !slices.Equal(targets, []string{"a", "b", "c"}) {
		t.Fatalf("targets %v", targets)
	}
	for _, want := range []string{"a", "b", "c", ""} {
		if target := resolver.takeTarget(targets, false); target != want {
			t.Errorf("target %q, want %q", target, want)
		}
	}
	resolver.releaseTarget("b", true)
	for _, want := range []string{"b", ""} {
		if target := resolver.takeTarget(targets, false); target != want {
			t.Errorf("after b has answered: target %q, want %q", target, want)
		}
	}
	resolver.releaseTarget("a", false)
	resolver.releaseTarget("b", true)
	resolver.releaseTarget("c", false)
	for _, step := range []struct {
		unresponsive bool
		want         string
	}{{false, "b"}, {false, ""}, {true, "a"}, {true, "c"}, {true, ""}} {
		if target := resolver.takeTarget(targets, step.unresponsive); target != step.want {
			t.Errorf("after a and c were unresponsive: target %q, want %q (unresponsive: %v)", target, step.want, step.unresponsive)
		}
	}
}
