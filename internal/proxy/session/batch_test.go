package session

import (
	"errors"
	"fmt"
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// TestOneAsksForAll: while the primary turns asks down, as between its take-over and its copies being in step, few of a carrier's
// waiting requests ask it; once it answers all of them have their answer soon, and one that leads in its place is found at once.
func TestOneAsksForAll(t *testing.T) {
	const waiters = 200
	for name, moves := range map[string]bool{"the same answers again": false, "another one does": true} {
		t.Run(name, func(t *testing.T) {
			simulated := world.New(1)
			defer simulated.Close()
			began := simulated.Now()
			asks, answered, late := 0, 0, monotonic.Micros(0)
			well := func() bool { return simulated.Now()-began >= 3*monotonic.Second }
			primary := func(name string, answers func() bool) func(place *world.Place) (host.Handlers, error) {
				return func(place *world.Place) (host.Handlers, error) {
					table := host.Handlers{}
					host.Handle(table, wire.Kind_claim, func(*wire.ClaimRequest) (*wire.ClaimResponse, error) {
						if asks++; !answers() {
							return nil, errors.New("not the primary")
						}
						return &wire.ClaimResponse{Outcome: "granted"}, nil
					})
					return table, nil
				}
			}
			simulated.Start(simulated.Add("first", "first", "first", primary("first", func() bool { return well() && !moves })))
			simulated.Start(simulated.Add("second", "second", "second", primary("second", well)))
			simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
				book := discovery.New(place, nil, nil)
				book.AddPeers([]*wire.PeerAddress{{Name: "first", Address: "first", Group: sorters}, {Name: "second", Address: "second", Group: sorters}})
				book.ObservePrimaries([]*wire.Primary{{Group: sorters, Epoch: 1, Name: "first"}})
				known := New(place, book, func() *wire.Session { return &wire.Session{} }, steady(place))
				for range waiters {
					place.Go(func() {
						if known.CallPrimary(wire.Kind_claim, &wire.ClaimRequest{}, &wire.ClaimResponse{}, 5*monotonic.Second) == nil {
							answered++
							late = max(late, simulated.Now()-began-3*monotonic.Second)
						}
					})
				}
				if moves {
					place.Go(func() {
						place.Sleep(3 * monotonic.Second)
						book.ObservePrimaries([]*wire.Primary{{Group: sorters, Epoch: 2, Name: "second"}})
					})
				}
				return host.Handlers{}, nil
			}))
			simulated.Run(began + 6*monotonic.Second)
			if simulated.Panicked != nil {
				t.Fatal(simulated.Panicked)
			}
			if most := 2*waiters + 3*20; asks > most {
				t.Errorf("%d asks by %d requests in 3 s", asks, waiters)
			}
			if answered != waiters || late > 400*monotonic.Millisecond {
				t.Errorf("%d of %d are answered, the last one %d ms after the primary answers", answered, waiters, late/monotonic.Millisecond)
			}
		})
	}
}

// TestHastyMessage: a message that was lost after a short wait says nothing of a primary that turned asks down, so it doesn't let all go;
// one that waited for long does, as at a slow disk, where all asks are best in one batch.
func TestHastyMessage(t *testing.T) {
	for _, row := range []struct {
		waited monotonic.Micros
		goes   bool
	}{{50 * monotonic.Millisecond, false}, {600 * monotonic.Millisecond, true}} {
		simulated := world.New(1)
		ended := false
		simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
			book := discovery.New(place, nil, nil)
			book.ObservePrimaries([]*wire.Primary{{Group: sorters, Epoch: 1, Name: "first"}})
			batches := &batches{roll: New(place, book, func() *wire.Session { return &wire.Session{} }, steady(place))}
			if first := batches.back(nil, apierror.Refused.New("not the primary"), monotonic.Millisecond); !first || batches.most() != 1 {
				t.Errorf("%d messages go at once after a refusal, the first: %v", batches.most(), first)
			}
			if first := batches.back(nil, apierror.Lost.New("no answer"), row.waited); first {
				t.Error("a second message in vain is the first")
			}
			if goes := batches.most() > 1; goes != row.goes {
				t.Errorf("after a wait of %d ms in vain all go: %v", row.waited/monotonic.Millisecond, goes)
			}
			ended = true
			return host.Handlers{}, nil
		}))
		simulated.Run(simulated.Now() + monotonic.Second)
		simulated.Close()
		if !ended {
			t.Fatal(simulated.Panicked)
		}
	}
}

// TestBatches: asks that come faster than the primary answers go together, and what is on its way is bounded however many wait; an ask
// whose asker gave up isn't sent. A primary of a build that takes no batches gets each ask alone.
func TestBatches(t *testing.T) {
	const waiters, patience = 300, 2 * monotonic.Second
	for name, takes := range map[string]bool{"batches": true, "none known": false} {
		t.Run(name, func(t *testing.T) {
			simulated := world.New(1)
			defer simulated.Close()
			messages, asks, present, most, answered, gone := 0, 0, 0, 0, 0, 0
			simulated.Start(simulated.Add("first", "first", "first", func(place *world.Place) (host.Handlers, error) {
				table := host.Handlers{}
				serve := func(count int) {
					messages, asks, present = messages+1, asks+count, present+1
					most = max(most, present)
					place.Sleep(20 * monotonic.Millisecond)
					present--
				}
				host.Handle(table, wire.Kind_claim, func(ask *wire.ClaimRequest) (*wire.ClaimResponse, error) {
					serve(1)
					return &wire.ClaimResponse{Outcome: ask.Scope}, nil
				})
				host.Handle(table, wire.Kind_registry_batch, func(ask *wire.RegistryBatchRequest) (*wire.RegistryBatchResponse, error) {
					serve(len(ask.Commands))
					tell := &wire.RegistryBatchResponse{}
					for _, command := range ask.Commands {
						tell.Outcomes = append(tell.Outcomes, &wire.RegistryOutcome{Result: &wire.RegistryResult{Claim: &wire.ClaimResponse{Outcome: command.Claim.Scope}}})
					}
					return tell, nil
				})
				return table, nil
			}))
			simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
				book := discovery.New(place, nil, nil)
				book.AddPeers([]*wire.PeerAddress{{Name: "first", Address: "first", Group: sorters, Batches: takes}})
				known := New(place, book, func() *wire.Session { return &wire.Session{} }, steady(place))
				ask := func(scope string, patience monotonic.Micros, ended func(tell *wire.ClaimResponse, err error)) {
					place.Go(func() {
						tell := &wire.ClaimResponse{}
						err := known.CallPrimary(wire.Kind_claim, &wire.ClaimRequest{Scope: scope}, tell, patience)
						ended(tell, err)
					})
				}
				for range 20 {
					ask("gone", 100*monotonic.Millisecond, func(_ *wire.ClaimResponse, err error) {
						if apierror.IsUnreachable(err) {
							gone++
						}
					})
				}
				place.Go(func() {
					place.Sleep(500 * monotonic.Millisecond)
					for index := range waiters {
						scope := fmt.Sprint(index)
						ask(scope, patience, func(tell *wire.ClaimResponse, err error) {
							if err == nil && tell.Outcome == scope {
								answered++
							}
						})
					}
					place.Sleep(monotonic.Millisecond)
					book.ObservePrimaries([]*wire.Primary{{Group: sorters, Epoch: 1, Name: "first"}})
				})
				return host.Handlers{}, nil
			}))
			simulated.Run(simulated.Now() + 4*monotonic.Second)
			if simulated.Panicked != nil {
				t.Fatal(simulated.Panicked)
			}
			if answered != waiters || gone != 20 || asks != waiters {
				t.Errorf("%d of %d answered, %d of 20 are known not to have been sent, %d asks were", answered, waiters, gone, asks)
			}
			wanted, bound := (waiters+mostBatch-1)/mostBatch+usualFlights, usualFlights+1 // one more leaves after flightPause
			if !takes {
				wanted, bound = waiters, mostAlone
			}
			if messages > wanted || most > bound {
				t.Errorf("%d messages, %d at once; at most %d and %d", messages, most, wanted, bound)
			}
		})
	}
}

// TestLostBatch: where a batch ends its connection, as at a primary of an earlier build whose name was told to take them, the asks in it go
// alone; a batch that is turned down as not taken is known not to be held.
func TestLostBatch(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	answered, untaken, turned := 0, 0, false
	simulated.Start(simulated.Add("first", "first", "first", func(place *world.Place) (host.Handlers, error) {
		table := host.Handlers{}
		host.Handle(table, wire.Kind_claim, func(ask *wire.ClaimRequest) (*wire.ClaimResponse, error) {
			place.Sleep(5 * monotonic.Millisecond)
			return &wire.ClaimResponse{Outcome: ask.Scope}, nil
		})
		return table, nil
	}))
	simulated.Start(simulated.Add("second", "second", "second", func(place *world.Place) (host.Handlers, error) {
		table := host.Handlers{}
		host.Handle(table, wire.Kind_registry_batch, func(ask *wire.RegistryBatchRequest) (*wire.RegistryBatchResponse, error) {
			turned = true
			tell := &wire.RegistryBatchResponse{}
			for range ask.Commands {
				tell.Outcomes = append(tell.Outcomes, &wire.RegistryOutcome{Error: "not the primary", Rejected: true})
			}
			return tell, nil
		})
		return table, nil
	}))
	simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
		for _, primary := range []string{"first", "second"} {
			book := discovery.New(place, nil, nil)
			book.AddPeers([]*wire.PeerAddress{{Name: primary, Address: primary, Group: sorters, Batches: true}})
			known := New(place, book, func() *wire.Session { return &wire.Session{} }, steady(place))
			for index := range 20 {
				place.Go(func() {
					tell := &wire.ClaimResponse{}
					err := known.CallPrimary(wire.Kind_claim, &wire.ClaimRequest{Scope: fmt.Sprint(index)}, tell, monotonic.Second)
					if err == nil && tell.Outcome == fmt.Sprint(index) {
						answered++
					}
					if primary == "second" && err != nil && !apierror.IsLost(err) {
						untaken++
					}
				})
			}
			place.Go(func() {
				place.Sleep(monotonic.Millisecond)
				book.ObservePrimaries([]*wire.Primary{{Group: sorters, Epoch: 1, Name: primary}})
			})
		}
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + 3*monotonic.Second)
	if simulated.Panicked != nil {
		t.Fatal(simulated.Panicked)
	}
	if answered != 20 || !turned || untaken != 20 {
		t.Errorf("%d of 20 answered alone; turned down: %v, and %d of 20 are known not to be taken", answered, turned, untaken)
	}
}
