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

// TestMomentHasPassed: a carrier that was long cut off from the holder, with a clock that runs faster than the holder's,
// must not name a moment that the holder has not reached. The world's clock plays the holder's.
func TestMomentHasPassed(t *testing.T) {
	ahead := false
	for seed := uint64(1); seed <= 8; seed++ {
		simulated := world.New(seed)
		ended := false
		simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
			known := New(place, discovery.New(place, nil, nil), func() *wire.Session { return &wire.Session{} }, steady(place))
			began, own := simulated.Now(), place.Now()
			known.take(&wire.RegistryPollResponse{Primary: true, Epoch: 1, LeaderClock: int64(began)}, own)
			place.Sleep(monotonic.Minute)
			ahead = ahead || place.Now()-own > simulated.Now()-began
			if moment := known.Moment(); moment.Time > int64(simulated.Now()) {
				t.Errorf("seed %d: the moment is %d microseconds ahead of the holder", seed, moment.Time-int64(simulated.Now()))
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

// TestFenceIsLearned: a carrier that had a key fenced is told the fence's moment. A caller that comes back to it at once is
// read after the fence, however long ago the carrier polled.
func TestFenceIsLearned(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
		known := New(place, discovery.New(place, nil, nil), func() *wire.Session { return &wire.Session{} }, steady(place))
		known.take(&wire.RegistryPollResponse{Primary: true, Epoch: 1, LeaderClock: 1000}, place.Now())
		place.Sleep(monotonic.Second)
		fence := &wire.LeaderTimestamp{Epoch: 1, Time: int64(1000 + 2*monotonic.Second)}
		known.Learn(fence)
		if moment := known.Moment(); moment.Time < fence.Time {
			t.Errorf("the moment is %d, the fence was at %d", moment.Time, fence.Time)
		}
		known.Learn(&wire.LeaderTimestamp{Epoch: 1, Time: 5})
		if moment := known.Moment(); moment.Time < fence.Time {
			t.Errorf("an older moment was taken: %d", moment.Time)
		}
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

func steady(place *world.Place) *clockwatch.Watcher {
	watch := clockwatch.New(place)
	place.Go(watch.Run)
	return watch
}

// TestAskTurnsToTheNextPrimary: an ask that waits for a primary that is gone without a word turns to the next one as soon as
// there is one, instead of waiting out its time at the first.
func TestAskTurnsToTheNextPrimary(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		simulated := world.New(seed)
		succeeded := simulated.Now() + 300*monotonic.Millisecond
		sorter := func(name string) {
			simulated.Start(simulated.Add(name, name, name, func(place *world.Place) (host.Handlers, error) {
				table := host.Handlers{}
				host.Handle(table, wire.Kind_discover, func(*wire.DiscoverRequest) (*wire.DiscoverResponse, error) {
					if simulated.Now() < succeeded {
						return &wire.DiscoverResponse{}, nil
					}
					return &wire.DiscoverResponse{Primaries: []*wire.Primary{{Group: "sorter", Epoch: 2, Name: "next"}}}, nil
				})
				host.Handle(table, wire.Kind_claim, func(ask *wire.ClaimRequest) (*wire.ClaimResponse, error) {
					return &wire.ClaimResponse{Outcome: ask.Scope}, nil
				})
				return table, nil
			}))
		}
		sorter("gone")
		sorter("next")
		simulated.Run(simulated.Now() + monotonic.Millisecond)
		simulated.Freeze(simulated.Node("gone"), monotonic.Minute)
		ended := false
		simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
			book := discovery.New(place, nil, []string{"gone", "next"})
			book.AddPeers([]*wire.PeerAddress{{Name: "gone", Address: "gone", Group: "sorter"}, {Name: "next", Address: "next", Group: "sorter"}})
			book.ObservePrimaries([]*wire.Primary{{Group: "sorter", Epoch: 1, Name: "gone"}})
			known := New(place, book, func() *wire.Session { return &wire.Session{} }, steady(place))
			tell, began := &wire.ClaimResponse{}, place.Now()
			err := known.CallPrimary(wire.Kind_claim, &wire.ClaimRequest{Scope: "key"}, tell, 600*monotonic.Millisecond)
			if took := place.Now() - began; err != nil || tell.Outcome != "key" || took > 550*monotonic.Millisecond {
				t.Errorf("seed %d: %v, %q after %d microseconds", seed, err, tell.Outcome, took)
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
