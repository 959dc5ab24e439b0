package session

import (
	"fmt"
	"testing"

	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// TestLeaderClockNeverAhead: a proxy that is cut off from the leader for a minute, and whose clock runs faster than the leader's, must
// not return a bound that the leader's clock has not reached. The leader's clock is that of the simulation.
func TestLeaderClockNeverAhead(t *testing.T) {
	fasterClock := false
	for seed := uint64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runProcess(t, seed, func(simulated *world.World, process *world.Host) {
				client := New(process, discovery.New(process, nil, nil), emptySession, steadyClock(process))
				leaderStart, ownStart := simulated.Now(), process.Now()
				if err := client.apply(&wire.RegistryPollResponse{Primary: true, Epoch: 1, LeaderClock: int64(leaderStart)}); err != nil {
					t.Error(err)
				}
				process.Sleep(monotonic.Minute)
				fasterClock = fasterClock || process.Now()-ownStart > simulated.Now()-leaderStart
				if clock := client.LeaderClock(); clock.Time > int64(simulated.Now()) {
					t.Errorf("the bound is %d microseconds ahead of the leader", clock.Time-int64(simulated.Now()))
				}
			})
		})
	}
	if !fasterClock {
		t.Error("no clock ran faster than the leader's")
	}
}

// TestFenceMovesLeaderClock: a proxy that had a key fenced learns the time of the fence. A retry that reaches this proxy at once must
// carry a time that is not before the fence, however long ago the proxy polled.
func TestFenceMovesLeaderClock(t *testing.T) {
	runProcess(t, 1, func(_ *world.World, process *world.Host) {
		client := New(process, discovery.New(process, nil, nil), emptySession, steadyClock(process))
		if err := client.apply(&wire.RegistryPollResponse{Primary: true, Epoch: 1, LeaderClock: 1000}); err != nil {
			t.Error(err)
		}
		process.Sleep(monotonic.Second)
		fence := &wire.LeaderTimestamp{Epoch: 1, Time: int64(1000 + 2*monotonic.Second)}
		client.ObserveLeaderClock(fence)
		if clock := client.LeaderClock(); clock.Time < fence.Time {
			t.Errorf("the bound is %d, the fence was at %d", clock.Time, fence.Time)
		}
		client.ObserveLeaderClock(&wire.LeaderTimestamp{Epoch: 1, Time: 5})
		if clock := client.LeaderClock(); clock.Time < fence.Time {
			t.Errorf("an earlier time replaced the bound: %d", clock.Time)
		}
	})
}

// TestCallMovesToNextLeader: a call to a leader that froze without closing its connection is sent to the next leader as soon as there
// is one, instead of waiting for the first until the timeout.
func TestCallMovesToNextLeader(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { callAcrossFailover(t, seed) })
	}
}

func callAcrossFailover(t *testing.T, seed uint64) {
	t.Helper()
	simulated := world.New(seed)
	t.Cleanup(simulated.Close)
	failover := simulated.Now() + 300*monotonic.Millisecond
	for _, name := range []string{"frozen", "next"} {
		simulated.Start(simulated.Add(name, name, name, func(*world.Host) (host.Handlers, error) {
			table := host.Handlers{}
			host.Handle(table, wire.Kind_discover, func(*wire.DiscoverRequest) (*wire.DiscoverResponse, error) {
				if simulated.Now() < failover {
					return &wire.DiscoverResponse{}, nil
				}
				return &wire.DiscoverResponse{Primaries: []*wire.Primary{{Group: registryGroup, Epoch: 2, Name: "next"}}}, nil
			})
			host.Handle(table, wire.Kind_claim, echoScope)
			return table, nil
		}))
	}
	simulated.Run(simulated.Now() + monotonic.Millisecond)
	simulated.Freeze(simulated.Node("frozen"), monotonic.Minute)
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
		resolver := discovery.New(process, nil, []string{"frozen", "next"})
		resolver.AddPeers([]*wire.PeerAddress{
			{Name: "frozen", Address: "frozen", Group: registryGroup},
			{Name: "next", Address: "next", Group: registryGroup},
		})
		resolver.ObservePrimaries([]*wire.Primary{{Group: registryGroup, Epoch: 1, Name: "frozen"}})
		client := New(process, resolver, emptySession, steadyClock(process))
		response, began := &wire.ClaimResponse{}, process.Now()
		err := client.CallLeader(wire.Kind_claim, &wire.ClaimRequest{Scope: "key"}, response, 600*monotonic.Millisecond)
		if took := process.Now() - began; err != nil || response.Outcome != "key" || took > 550*monotonic.Millisecond {
			t.Errorf("%v, %q after %d microseconds", err, response.Outcome, took)
		}
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}
