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

// TestFewSendersWhileLeaderRejects: while the leader rejects requests, for example after its election until its replicas have caught up,
// a proxy sends it few of its pending requests. Once it accepts them, all receive a response soon, and a new leader is found at once.
func TestFewSendersWhileLeaderRejects(t *testing.T) {
	const callers = 200
	for name, failover := range map[string]bool{"the same leader recovers": false, "another one takes over": true} {
		t.Run(name, func(t *testing.T) {
			simulated := world.New(1)
			t.Cleanup(simulated.Close)
			began := simulated.Now()
			messages, answered, slowest := 0, 0, monotonic.Micros(0)
			recovered := func() bool { return simulated.Now()-began >= 3*monotonic.Second }
			leader := func(accepts func() bool) func(process *world.Host) (host.Handlers, error) {
				return func(*world.Host) (host.Handlers, error) {
					table := host.Handlers{}
					host.Handle(table, wire.Kind_claim, func(*wire.ClaimRequest) (*wire.ClaimResponse, error) {
						if messages++; !accepts() {
							return nil, errors.New("not the leader")
						}
						return &wire.ClaimResponse{Outcome: "granted"}, nil
					})
					return table, nil
				}
			}
			simulated.Start(simulated.Add("first", "first", "first", leader(func() bool { return recovered() && !failover })))
			simulated.Start(simulated.Add("second", "second", "second", leader(recovered)))
			simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
				resolver := discovery.New(process, nil, nil)
				resolver.AddPeers([]*wire.PeerAddress{
					{Name: "first", Address: "first", Group: registryGroup},
					{Name: "second", Address: "second", Group: registryGroup},
				})
				resolver.ObservePrimaries([]*wire.Primary{{Group: registryGroup, Epoch: 1, Name: "first"}})
				client := New(process, resolver, emptySession, steadyClock(process))
				for range callers {
					process.Go(func() {
						if client.CallLeader(wire.Kind_claim, &wire.ClaimRequest{}, &wire.ClaimResponse{}, 5*monotonic.Second) == nil {
							answered++
							slowest = max(slowest, simulated.Now()-began-3*monotonic.Second)
						}
					})
				}
				if failover {
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
			if limit := 2*callers + 3*20; messages > limit {
				t.Errorf("%d messages for %d requests in 3 s", messages, callers)
			}
			if answered != callers || slowest > 400*monotonic.Millisecond {
				t.Errorf("%d of %d requests succeeded, the last one %d ms after the leader accepts requests",
					answered, callers, slowest/monotonic.Millisecond)
			}
		})
	}
}

// TestSenderLimitAfterFailures: after a rejection only one sender runs. A message that is lost after a short wait doesn't change that.
// One that is lost after a long wait does: the leader then accepts requests but is slow, and is served best by large batches from all
// senders.
func TestSenderLimitAfterFailures(t *testing.T) {
	for _, test := range []struct {
		name       string
		waited     monotonic.Micros
		allSenders bool
	}{
		{"lost after a short wait", 50 * monotonic.Millisecond, false},
		{"lost after a long wait", 600 * monotonic.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			runProcess(t, 1, func(_ *world.World, process *world.Host) {
				resolver := discovery.New(process, nil, nil)
				resolver.ObservePrimaries([]*wire.Primary{{Group: registryGroup, Epoch: 1, Name: "first"}})
				b := &batcher{client: New(process, resolver, emptySession, steadyClock(process))}
				firstFailure := b.requeue(nil, apierror.Refused.New("not the leader"), monotonic.Millisecond)
				if !firstFailure || b.senderLimit() != 1 {
					t.Errorf("%d senders may run after a rejection, first failure: %v", b.senderLimit(), firstFailure)
				}
				if firstFailure := b.requeue(nil, apierror.Lost.New("no answer"), test.waited); firstFailure {
					t.Error("the second failure is reported as the first")
				}
				if allSenders := b.senderLimit() > 1; allSenders != test.allSenders {
					t.Errorf("all senders may run: %v", allSenders)
				}
			})
		})
	}
}

// TestBatching: requests that arrive faster than the leader responds share messages, and the number of messages in flight is bounded
// however many requests are pending. A request whose caller has timed out is not sent. A leader of a release without batches receives
// each request individually.
func TestBatching(t *testing.T) {
	const callers, timeout = 300, 2 * monotonic.Second
	for name, batching := range map[string]bool{"leader takes batches": true, "leader of an earlier release": false} {
		t.Run(name, func(t *testing.T) {
			simulated := world.New(1)
			t.Cleanup(simulated.Close)
			messages, requests, inFlight, peak, answered, notSent := 0, 0, 0, 0, 0, 0
			simulated.Start(simulated.Add("first", "first", "first", func(process *world.Host) (host.Handlers, error) {
				table := host.Handlers{}
				serve := func(count int) {
					messages, requests, inFlight = messages+1, requests+count, inFlight+1
					peak = max(peak, inFlight)
					process.Sleep(20 * monotonic.Millisecond)
					inFlight--
				}
				host.Handle(table, wire.Kind_claim, func(request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
					serve(1)
					return echoScope(request)
				})
				host.Handle(table, wire.Kind_registry_batch, func(request *wire.RegistryBatchRequest) (*wire.RegistryBatchResponse, error) {
					serve(len(request.Commands))
					response := &wire.RegistryBatchResponse{}
					for _, command := range request.Commands {
						result := &wire.RegistryResult{Claim: &wire.ClaimResponse{Outcome: command.Claim.Scope}}
						response.Outcomes = append(response.Outcomes, &wire.RegistryOutcome{Result: result})
					}
					return response, nil
				})
				return table, nil
			}))
			simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
				resolver := discovery.New(process, nil, nil)
				resolver.AddPeers([]*wire.PeerAddress{{Name: "first", Address: "first", Group: registryGroup, Batches: batching}})
				client := New(process, resolver, emptySession, steadyClock(process))
				claim := func(scope string, timeout monotonic.Micros, ended func(response *wire.ClaimResponse, err error)) {
					process.Go(func() {
						response := &wire.ClaimResponse{}
						err := client.CallLeader(wire.Kind_claim, &wire.ClaimRequest{Scope: scope}, response, timeout)
						ended(response, err)
					})
				}
				for range 20 {
					claim("gone", 100*monotonic.Millisecond, func(_ *wire.ClaimResponse, err error) {
						if apierror.IsUnreachable(err) {
							notSent++
						}
					})
				}
				process.Go(func() {
					process.Sleep(500 * monotonic.Millisecond)
					for index := range callers {
						scope := fmt.Sprint(index)
						claim(scope, timeout, func(response *wire.ClaimResponse, err error) {
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
			if answered != callers || notSent != 20 || requests != callers {
				t.Errorf("%d of %d requests succeeded, %d of 20 are known not to have been sent, the leader received %d", answered, callers, notSent, requests)
			}
			wanted, bound := (callers+maxBatch-1)/maxBatch+undelayedSenders, undelayedSenders+1 // one more starts after extraSenderInterval
			if !batching {
				wanted, bound = callers, maxSingleSenders
			}
			if messages > wanted || peak > bound {
				t.Errorf("%d messages, %d in flight at once; at most %d and %d are allowed", messages, peak, wanted, bound)
			}
		})
	}
}

// TestLostBatchFallsBackToSingleCalls: if a leader closes the connection on a batch, as one that was replaced by an earlier release does,
// the requests are sent individually. The requests of a batch that the leader rejected are known not to have been executed.
func TestLostBatchFallsBackToSingleCalls(t *testing.T) {
	simulated := world.New(1)
	t.Cleanup(simulated.Close)
	answered, notExecuted, rejected := 0, 0, false
	simulated.Start(simulated.Add("first", "first", "first", func(process *world.Host) (host.Handlers, error) {
		table := host.Handlers{}
		host.Handle(table, wire.Kind_claim, func(request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
			process.Sleep(5 * monotonic.Millisecond)
			return echoScope(request)
		})
		return table, nil
	}))
	simulated.Start(simulated.Add("second", "second", "second", func(*world.Host) (host.Handlers, error) {
		table := host.Handlers{}
		host.Handle(table, wire.Kind_registry_batch, func(request *wire.RegistryBatchRequest) (*wire.RegistryBatchResponse, error) {
			rejected = true
			response := &wire.RegistryBatchResponse{}
			for range request.Commands {
				response.Outcomes = append(response.Outcomes, &wire.RegistryOutcome{Error: "not the leader", Rejected: true})
			}
			return response, nil
		})
		return table, nil
	}))
	simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
		for _, primary := range []string{"first", "second"} {
			resolver := discovery.New(process, nil, nil)
			resolver.AddPeers([]*wire.PeerAddress{{Name: primary, Address: primary, Group: registryGroup, Batches: true}})
			client := New(process, resolver, emptySession, steadyClock(process))
			for index := range 20 {
				process.Go(func() {
					response := &wire.ClaimResponse{}
					err := client.CallLeader(wire.Kind_claim, &wire.ClaimRequest{Scope: fmt.Sprint(index)}, response, monotonic.Second)
					if err == nil && response.Outcome == fmt.Sprint(index) {
						answered++
					}
					if primary == "second" && err != nil && !apierror.IsLost(err) {
						notExecuted++
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
	if answered != 20 || !rejected || notExecuted != 20 {
		t.Errorf("%d of 20 succeeded individually; a batch was rejected: %v, and %d of 20 are known not to have been executed",
			answered, rejected, notExecuted)
	}
}
