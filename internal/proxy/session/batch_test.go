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

// TestFewSendersWhileLeaderRejects: while the primary turns asks down, as between its take-over and its copies being in step, few of a carrier's
// waiting requests ask it; once it answers all of them have their answer soon, and one that leads in its place is found at once.
func TestFewSendersWhileLeaderRejects(t *testing.T) {
	const waiters = 200
	for name, moves := range map[string]bool{"the same answers again": false, "another one does": true} {
		t.Run(name, func(t *testing.T) {
			simulated := world.New(1)
			defer simulated.Close()
			began := simulated.Now()
			requests, answered, late := 0, 0, monotonic.Micros(0)
			well := func() bool { return simulated.Now()-began >= 3*monotonic.Second }
			primary := func(name string, answers func() bool) func(process *world.Host) (host.Handlers, error) {
				return func(process *world.Host) (host.Handlers, error) {
					table := host.Handlers{}
					host.Handle(table, wire.Kind_claim, func(*wire.ClaimRequest) (*wire.ClaimResponse, error) {
						if requests++; !answers() {
							return nil, errors.New("not the primary")
						}
						return &wire.ClaimResponse{Outcome: "granted"}, nil
					})
					return table, nil
				}
			}
			simulated.Start(simulated.Add("first", "first", "first", primary("first", func() bool { return well() && !moves })))
			simulated.Start(simulated.Add("second", "second", "second", primary("second", well)))
			simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
				resolver := discovery.New(process, nil, nil)
				resolver.AddPeers([]*wire.PeerAddress{{Name: "first", Address: "first", Group: registryGroup}, {Name: "second", Address: "second", Group: registryGroup}})
				resolver.ObservePrimaries([]*wire.Primary{{Group: registryGroup, Epoch: 1, Name: "first"}})
				client := New(process, resolver, func() *wire.Session { return &wire.Session{} }, steadyClock(process))
				for range waiters {
					process.Go(func() {
						if client.CallPrimary(wire.Kind_claim, &wire.ClaimRequest{}, &wire.ClaimResponse{}, 5*monotonic.Second) == nil {
							answered++
							late = max(late, simulated.Now()-began-3*monotonic.Second)
						}
					})
				}
				if moves {
					process.Go(func() {
						process.Sleep(3 * monotonic.Second)
						resolver.ObservePrimaries([]*wire.Primary{{Group: registryGroup, Epoch: 2, Name: "second"}})
					})
				}
				return host.Handlers{}, nil
			}))
			simulated.Run(began + 6*monotonic.Second)
			if simulated.Panicked != nil {
				t.Fatal(simulated.Panicked)
			}
			if limit := 2*waiters + 3*20; requests > limit {
				t.Errorf("%d asks by %d requests in 3 s", requests, waiters)
			}
			if answered != waiters || late > 400*monotonic.Millisecond {
				t.Errorf("%d of %d are answered, the last one %d ms after the primary answers", answered, waiters, late/monotonic.Millisecond)
			}
		})
	}
}

// TestSenderLimitAfterFailures: a message that was lost after a short wait says nothing of a primary that turned asks down, so it doesn't let all go;
// one that waited for long does, as at a slow disk, where all asks are best in one batch.
func TestSenderLimitAfterFailures(t *testing.T) {
	for _, row := range []struct {
		waited monotonic.Micros
		goes   bool
	}{{50 * monotonic.Millisecond, false}, {600 * monotonic.Millisecond, true}} {
		simulated := world.New(1)
		ended := false
		simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
			resolver := discovery.New(process, nil, nil)
			resolver.ObservePrimaries([]*wire.Primary{{Group: registryGroup, Epoch: 1, Name: "first"}})
			b := &batcher{client: New(process, resolver, func() *wire.Session { return &wire.Session{} }, steadyClock(process))}
			if firstFailure := b.requeue(nil, apierror.Refused.New("not the primary"), monotonic.Millisecond); !firstFailure || b.senderLimit() != 1 {
				t.Errorf("%d messages go at once after a refusal, the first: %v", b.senderLimit(), firstFailure)
			}
			if firstFailure := b.requeue(nil, apierror.Lost.New("no answer"), row.waited); firstFailure {
				t.Error("a second message in vain is the first")
			}
			if goes := b.senderLimit() > 1; goes != row.goes {
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

// TestBatching: asks that come faster than the primary answers go together, and what is on its way is bounded however many wait; an ask
// whose asker gave up isn't sent. A primary of a build that takes no batches gets each ask alone.
func TestBatching(t *testing.T) {
	const waiters, timeout = 300, 2 * monotonic.Second
	for name, takes := range map[string]bool{"batches": true, "none known": false} {
		t.Run(name, func(t *testing.T) {
			simulated := world.New(1)
			defer simulated.Close()
			messages, requests, present, peak, answered, gone := 0, 0, 0, 0, 0, 0
			simulated.Start(simulated.Add("first", "first", "first", func(process *world.Host) (host.Handlers, error) {
				table := host.Handlers{}
				serve := func(count int) {
					messages, requests, present = messages+1, requests+count, present+1
					peak = max(peak, present)
					process.Sleep(20 * monotonic.Millisecond)
					present--
				}
				host.Handle(table, wire.Kind_claim, func(request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
					serve(1)
					return &wire.ClaimResponse{Outcome: request.Scope}, nil
				})
				host.Handle(table, wire.Kind_registry_batch, func(request *wire.RegistryBatchRequest) (*wire.RegistryBatchResponse, error) {
					serve(len(request.Commands))
					response := &wire.RegistryBatchResponse{}
					for _, command := range request.Commands {
						response.Outcomes = append(response.Outcomes, &wire.RegistryOutcome{Result: &wire.RegistryResult{Claim: &wire.ClaimResponse{Outcome: command.Claim.Scope}}})
					}
					return response, nil
				})
				return table, nil
			}))
			simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
				resolver := discovery.New(process, nil, nil)
				resolver.AddPeers([]*wire.PeerAddress{{Name: "first", Address: "first", Group: registryGroup, Batches: takes}})
				client := New(process, resolver, func() *wire.Session { return &wire.Session{} }, steadyClock(process))
				request := func(scope string, timeout monotonic.Micros, ended func(response *wire.ClaimResponse, err error)) {
					process.Go(func() {
						response := &wire.ClaimResponse{}
						err := client.CallPrimary(wire.Kind_claim, &wire.ClaimRequest{Scope: scope}, response, timeout)
						ended(response, err)
					})
				}
				for range 20 {
					request("gone", 100*monotonic.Millisecond, func(_ *wire.ClaimResponse, err error) {
						if apierror.IsUnreachable(err) {
							gone++
						}
					})
				}
				process.Go(func() {
					process.Sleep(500 * monotonic.Millisecond)
					for index := range waiters {
						scope := fmt.Sprint(index)
						request(scope, timeout, func(response *wire.ClaimResponse, err error) {
							if err == nil && response.Outcome == scope {
								answered++
							}
						})
					}
					process.Sleep(monotonic.Millisecond)
					resolver.ObservePrimaries([]*wire.Primary{{Group: registryGroup, Epoch: 1, Name: "first"}})
				})
				return host.Handlers{}, nil
			}))
			simulated.Run(simulated.Now() + 4*monotonic.Second)
			if simulated.Panicked != nil {
				t.Fatal(simulated.Panicked)
			}
			if answered != waiters || gone != 20 || requests != waiters {
				t.Errorf("%d of %d answered, %d of 20 are known not to have been sent, %d asks were", answered, waiters, gone, requests)
			}
			wanted, bound := (waiters+maxBatch-1)/maxBatch+usualSenders, usualSenders+1 // one more leaves after flightPause
			if !takes {
				wanted, bound = waiters, maxSingleSenders
			}
			if messages > wanted || peak > bound {
				t.Errorf("%d messages, %d at once; at most %d and %d", messages, peak, wanted, bound)
			}
		})
	}
}

// TestLostBatchFallsBackToSingleCalls: where a batch ends its connection, as at a primary of an earlier build whose name was told to take them, the asks in it go
// alone; a batch that is turned down as not taken is known not to be held.
func TestLostBatchFallsBackToSingleCalls(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	answered, untaken, turned := 0, 0, false
	simulated.Start(simulated.Add("first", "first", "first", func(process *world.Host) (host.Handlers, error) {
		table := host.Handlers{}
		host.Handle(table, wire.Kind_claim, func(request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
			process.Sleep(5 * monotonic.Millisecond)
			return &wire.ClaimResponse{Outcome: request.Scope}, nil
		})
		return table, nil
	}))
	simulated.Start(simulated.Add("second", "second", "second", func(process *world.Host) (host.Handlers, error) {
		table := host.Handlers{}
		host.Handle(table, wire.Kind_registry_batch, func(request *wire.RegistryBatchRequest) (*wire.RegistryBatchResponse, error) {
			turned = true
			response := &wire.RegistryBatchResponse{}
			for range request.Commands {
				response.Outcomes = append(response.Outcomes, &wire.RegistryOutcome{Error: "not the primary", Rejected: true})
			}
			return response, nil
		})
		return table, nil
	}))
	simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
		for _, primary := range []string{"first", "second"} {
			resolver := discovery.New(process, nil, nil)
			resolver.AddPeers([]*wire.PeerAddress{{Name: primary, Address: primary, Group: registryGroup, Batches: true}})
			client := New(process, resolver, func() *wire.Session { return &wire.Session{} }, steadyClock(process))
			for index := range 20 {
				process.Go(func() {
					response := &wire.ClaimResponse{}
					err := client.CallPrimary(wire.Kind_claim, &wire.ClaimRequest{Scope: fmt.Sprint(index)}, response, monotonic.Second)
					if err == nil && response.Outcome == fmt.Sprint(index) {
						answered++
					}
					if primary == "second" && err != nil && !apierror.IsLost(err) {
						untaken++
					}
				})
			}
			process.Go(func() {
				process.Sleep(monotonic.Millisecond)
				resolver.ObservePrimaries([]*wire.Primary{{Group: registryGroup, Epoch: 1, Name: primary}})
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
