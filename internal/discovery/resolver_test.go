package discovery

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// TestHealthCheckOmitsPeers: who only asks for a sign of life gets no list of the core, which goes to and fro between zones for each long
// request; who asks for the core gets it.
func TestHealthCheckOmitsPeers(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	server := simulated.Add("asked", "asked", "one", func(h *world.Host) (host.Handlers, error) {
		resolver := New(h, &wire.PeerAddress{Name: "asked", Address: "asked", Group: "sorter"}, nil)
		handlers := host.Handlers{}
		resolver.Register(handlers)
		return handlers, nil
	})
	var healthCheck, full *wire.DiscoverResponse
	client := simulated.Add("asker", "asker", "one", func(h *world.Host) (host.Handlers, error) {
		h.Go(func() {
			healthCheck, full = &wire.DiscoverResponse{}, &wire.DiscoverResponse{}
			for _, call := range []struct {
				request  *wire.DiscoverRequest
				response *wire.DiscoverResponse
			}{{&wire.DiscoverRequest{HealthCheck: true}, healthCheck}, {&wire.DiscoverRequest{}, full}} {
				if err := h.Call("asked", wire.Kind_discover, call.request, call.response, monotonic.Second); err != nil {
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
		t.Errorf("a sign of life is %d bytes: %v", proto.Size(healthCheck), healthCheck)
	}
	if len(full.GetKnown()) != 1 {
		t.Errorf("the core is told as %v", full)
	}
}
