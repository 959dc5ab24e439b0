package discovery

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// TestSignOfLife: who only asks for a sign of life gets no list of the core, which goes to and fro between zones for each long
// request; who asks for the core gets it.
func TestSignOfLife(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	asked := simulated.Add("asked", "asked", "one", func(place *world.Place) (host.Table, error) {
		book := New(place, &wire.PeerAddress{Name: "asked", Address: "asked", Group: "sorter"}, nil)
		table := host.Table{}
		book.Register(table)
		return table, nil
	})
	var sign, whole *wire.DiscoverResponse
	asker := simulated.Add("asker", "asker", "one", func(place *world.Place) (host.Table, error) {
		place.Go(func() {
			sign, whole = &wire.DiscoverResponse{}, &wire.DiscoverResponse{}
			for _, call := range []struct {
				ask  *wire.DiscoverRequest
				tell *wire.DiscoverResponse
			}{{&wire.DiscoverRequest{HealthCheck: true}, sign}, {&wire.DiscoverRequest{}, whole}} {
				if err := place.Call("asked", wire.Kind_discover, call.ask, call.tell, monotonic.Second); err != nil {
					t.Error(err)
				}
			}
		})
		return host.Table{}, nil
	})
	simulated.Start(asked)
	simulated.Start(asker)
	simulated.Run(simulated.Now() + 5*monotonic.Second)
	if simulated.Panicked != nil {
		t.Fatal(simulated.Panicked)
	}
	if proto.Size(sign) != 0 {
		t.Errorf("a sign of life is %d bytes: %v", proto.Size(sign), sign)
	}
	if len(whole.GetKnown()) != 1 {
		t.Errorf("the core is told as %v", whole)
	}
}
