package session

import (
	"testing"

	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/host/clockwatch"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// TestLeaderClockNeverAhead: a carrier that was long cut off from the holder, with a clock that runs faster than the holder's,
// must not name a moment that the holder has not reached. The world's clock plays the holder's.
func TestLeaderClockNeverAhead(t *testing.T) {
	ahead := false
	for seed := uint64(1); seed <= 8; seed++ {
		simulated := world.New(seed)
		ended := false
		simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
			client := New(process, discovery.New(process, nil, nil), func() *wire.Session { return &wire.Session{} }, steadyClock(process))
			began, own := simulated.Now(), process.Now()
			client.apply(&wire.RegistryPollResponse{Primary: true, Epoch: 1, LeaderClock: int64(began)}, own)
			process.Sleep(monotonic.Minute)
			ahead = ahead || process.Now()-own > simulated.Now()-began
			if clock := client.LeaderClock(); clock.Time > int64(simulated.Now()) {
				t.Errorf("seed %d: the moment is %d microseconds ahead of the holder", seed, clock.Time-int64(simulated.Now()))
			}
			ended = true
			return host.Handlers{}, nil
		}))
		simulated.Run(simulated.Now() + 2*monotonic.Minute)
		simulated.Close()
		if !ended {
			t.Fatal(simulated.Panicked)
		}
	}
	if !ahead {
		t.Error("no clock ran faster than the holder's")
	}
}

// TestFenceMovesLeaderClock: a carrier that had a key fenced is told the fence's moment. A caller that comes back to it at once is
// read after the fence, however long ago the carrier polled.
func TestFenceMovesLeaderClock(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
		client := New(process, discovery.New(process, nil, nil), func() *wire.Session { return &wire.Session{} }, steadyClock(process))
		client.apply(&wire.RegistryPollResponse{Primary: true, Epoch: 1, LeaderClock: 1000}, process.Now())
		process.Sleep(monotonic.Second)
		fence := &wire.LeaderTimestamp{Epoch: 1, Time: int64(1000 + 2*monotonic.Second)}
		client.ObserveLeaderClock(fence)
		if clock := client.LeaderClock(); clock.Time < fence.Time {
			t.Errorf("the moment is %d, the fence was at %d", clock.Time, fence.Time)
		}
		client.ObserveLeaderClock(&wire.LeaderTimestamp{Epoch: 1, Time: 5})
		if clock := client.LeaderClock(); clock.Time < fence.Time {
			t.Errorf("an older moment was taken: %d", clock.Time)
		}
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

func steadyClock(process *world.Host) *clockwatch.Watcher {
	watch := clockwatch.New(process)
	process.Go(watch.Run)
	return watch
}

// TestCallMovesToNextLeader: an ask that waits for a primary that is gone without a word turns to the next one as soon as
// there is one, instead of waiting out its time at the first.
func TestCallMovesToNextLeader(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		simulated := world.New(seed)
		succeeded := simulated.Now() + 300*monotonic.Millisecond
		registry := func(name string) {
			simulated.Start(simulated.Add(name, name, name, func(process *world.Host) (host.Handlers, error) {
				table := host.Handlers{}
				host.Handle(table, wire.Kind_discover, func(*wire.DiscoverRequest) (*wire.DiscoverResponse, error) {
					if simulated.Now() < succeeded {
						return &wire.DiscoverResponse{}, nil
					}
					return &wire.DiscoverResponse{Primaries: []*wire.Primary{{Group: "sorter", Epoch: 2, Name: "next"}}}, nil
				})
				host.Handle(table, wire.Kind_claim, func(request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
					return &wire.ClaimResponse{Outcome: request.Scope}, nil
				})
				return table, nil
			}))
		}
		registry("gone")
		registry("next")
		simulated.Run(simulated.Now() + monotonic.Millisecond)
		simulated.Freeze(simulated.Node("gone"), monotonic.Minute)
		ended := false
		simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
			resolver := discovery.New(process, nil, []string{"gone", "next"})
			resolver.AddPeers([]*wire.PeerAddress{{Name: "gone", Address: "gone", Group: "sorter"}, {Name: "next", Address: "next", Group: "sorter"}})
			resolver.ObservePrimaries([]*wire.Primary{{Group: "sorter", Epoch: 1, Name: "gone"}})
			client := New(process, resolver, func() *wire.Session { return &wire.Session{} }, steadyClock(process))
			response, began := &wire.ClaimResponse{}, process.Now()
			err := client.CallPrimary(wire.Kind_claim, &wire.ClaimRequest{Scope: "key"}, response, 600*monotonic.Millisecond)
			if took := process.Now() - began; err != nil || response.Outcome != "key" || took > 550*monotonic.Millisecond {
				t.Errorf("seed %d: %v, %q after %d microseconds", seed, err, response.Outcome, took)
			}
			ended = true
			return host.Handlers{}, nil
		}))
		simulated.Run(simulated.Now() + monotonic.Minute)
		simulated.Close()
		if !ended {
			t.Fatal(simulated.Panicked)
		}
	}
}
