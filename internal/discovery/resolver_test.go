package discovery

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// TestHealthCheckOmitsPeers checks that the response to a health check is empty, since it is sent for every long request and
// often between zones, and that any other discover request gets the known processes.
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
