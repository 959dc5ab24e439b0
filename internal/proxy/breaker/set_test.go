package breaker_test

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/breaker"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// admitted stands for the missing cause of an attempt that wasn't rejected.
const admitted apierror.Cause = 0

// breakerTest runs a Set on a simulated host against a fake registry, whose responses are set by respond.
type breakerTest struct {
	t        *testing.T
	breakers *breaker.Set
	node     *world.Host
	service  *config.Service
	calls    []wire.Kind // calls to the registry
	respond  func(kind wire.Kind, response proto.Message) error
	events   map[int]int // number of reported events, by event number
}

// runBreakerTest runs a scenario with the service forms: a window of 10 calls, a minimum of 5 calls, 2 s open, 2 probes.
func runBreakerTest(t *testing.T, scenario func(bt *breakerTest)) {
	t.Helper()
	simulated := world.New(1)
	defer simulated.Close()
	bt := &breakerTest{t: t, events: map[int]int{}, respond: func(wire.Kind, proto.Message) error { return nil }}
	simulated.Trace = func(_ monotonic.Micros, _ string, number int, _ map[string]any) { bt.events[number]++ }
	state, faults := config.Parse([]byte(`{"groups":[{"name":"field","guard":{"windowCalls":10,"minimumCalls":5,"waitOpenMicros":2000000,"permittedHalfOpen":2},
"services":[{"name":"forms","paths":[{"method":"GET","prefix":"/forms","class":"read"}]}]}]}`))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	bt.service = config.Compile(state, 1, "").Services["forms"]
	finished := false
	simulated.Start(simulated.Add("one", "one", "one", func(node *world.Host) (host.Handlers, error) {
		bt.node = node
		bt.breakers = breaker.NewSet(breaker.Config{Host: node, Proxy: "one", Incarnation: 1, Call: bt.call})
		scenario(bt)
		finished = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Minute)
	if !finished {
		t.Fatalf("the scenario did not finish: %v", simulated.Panicked)
	}
}

func (bt *breakerTest) call(kind wire.Kind, _, response proto.Message, _ monotonic.Micros) error {
	bt.calls = append(bt.calls, kind)
	return bt.respond(kind, response)
}

// attempt makes one attempt with the given outcome and returns the cause of its rejection, or admitted.
func (bt *breakerTest) attempt(outcome breaker.Outcome) apierror.Cause {
	permit, fault := bt.breakers.Admit(bt.service)
	if fault != nil {
		return fault.Cause
	}
	permit.Done(outcome)
	return admitted
}

func (bt *breakerTest) expect(what string, got, want any) {
	bt.t.Helper()
	if got != want {
		bt.t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func (bt *breakerTest) setControl(verb string) {
	bt.t.Helper()
	if err := bt.breakers.SetControl("forms", verb); err != nil {
		bt.t.Error(err)
	}
}

// status returns the status of the only breaker.
func (bt *breakerTest) status() breaker.Status { return bt.breakers.Statuses()[0] }

func recordsInState(state string, version uint64) []*wire.BreakerRecord {
	return []*wire.BreakerRecord{{Service: "forms", State: state, Version: version}}
}

func TestNoRegistryCallWhileClosedOrOpen(t *testing.T) {
	runBreakerTest(t, func(bt *breakerTest) {
		for range 20 {
			bt.expect("closed", bt.attempt(breaker.Success), admitted)
		}
		bt.breakers.ApplyPoll(recordsInState("open", 2), true)
		for range 20 {
			bt.expect("open", bt.attempt(breaker.Success), apierror.BreakerOpen)
		}
		bt.expect("calls", len(bt.calls), 0)
		bt.breakers.ApplyPoll(recordsInState("half_open", 3), true)
		bt.respond = func(_ wire.Kind, response proto.Message) error {
			lease, isLease := response.(*wire.ProbeLeaseResponse)
			if !isLease {
				t.Errorf("unexpected call with response type %T", response)
				return nil
			}
			lease.Record = recordsInState("half_open", 3)[0]
			return nil
		}
		bt.expect("no probe left", bt.attempt(breaker.Success), apierror.NoProbeLeft)
		bt.expect("one call for one attempt", len(bt.calls), 1)
		bt.breakers.ApplyPoll(recordsInState("open", 2), true)
		bt.expect("an older record is ignored", bt.attempt(breaker.Success), apierror.NoProbeLeft)
	})
}

func TestLocalBreakerOpensAndRecovers(t *testing.T) {
	runBreakerTest(t, func(bt *breakerTest) {
		for range 4 {
			bt.expect("before the minimum of calls", bt.attempt(breaker.Failure), admitted)
		}
		for range 30 {
			bt.expect("neutral outcomes aren't counted", bt.attempt(breaker.Neutral), admitted)
		}
		bt.expect("the fifth failure", bt.attempt(breaker.Failure), admitted)
		bt.expect("open locally", bt.attempt(breaker.Success), apierror.BreakerOpen)
		bt.node.Sleep(2100 * monotonic.Millisecond)
		bt.expect("first local probe", bt.attempt(breaker.Success), admitted)
		bt.expect("second local probe", bt.attempt(breaker.Success), admitted)
		bt.expect("closed again", bt.status().Local, "closed")
		bt.expect("reported once", bt.events[eventlog.BreakerTrippedLocally], 1)
	})
}

func TestControlsOverrideSharedRecord(t *testing.T) {
	runBreakerTest(t, func(bt *breakerTest) {
		bt.setControl("force_open")
		bt.expect("forced open", bt.attempt(breaker.Success), apierror.BreakerOpen)
		bt.breakers.ApplyPoll(recordsInState("half_open", 2), true)
		for _, verb := range []string{"disable", "metrics_only"} {
			bt.setControl(verb)
			for range 30 {
				bt.expect(verb, bt.attempt(breaker.Failure), admitted)
			}
		}
		bt.expect("no probe was leased", len(bt.calls), 0)
		bt.expect("calls counted by metrics_only only", bt.status().Calls, uint64(30))
		bt.setControl("reset")
		bt.breakers.ApplyPoll(recordsInState("open", 3), true)
		bt.expect("after a reset the shared record decides", bt.attempt(breaker.Success), apierror.BreakerOpen)
		if err := bt.breakers.SetControl("forms", "smash"); err == nil {
			t.Error("an unknown control was accepted")
		}
	})
}

func TestDegradesAndRecovers(t *testing.T) {
	runBreakerTest(t, func(bt *breakerTest) {
		bt.breakers.ApplyPoll(recordsInState("half_open", 2), true)
		bt.respond = func(wire.Kind, proto.Message) error { return errors.New("unreachable") }
		bt.expect("after a failed lease the local breaker decides", bt.attempt(breaker.Success), admitted)
		bt.expect("later attempts don't call the registry", bt.attempt(breaker.Success), admitted)
		bt.expect("calls", len(bt.calls), 1)
		for range 10 {
			bt.attempt(breaker.Failure)
		}
		bt.expect("writes are dropped and reported", bt.events[eventlog.BreakerWriteDropped], 1)
		bt.breakers.ApplyPoll(recordsInState("open", 3), true)
		bt.expect("recovered", bt.events[eventlog.BreakerRecovered], 1)
		bt.expect("the shared record decides again", bt.attempt(breaker.Success), apierror.BreakerOpen)
	})
}

func TestWriteQueueIsBoundedAndDrained(t *testing.T) {
	runBreakerTest(t, func(bt *breakerTest) {
		bt.breakers.ApplyPoll(recordsInState("half_open", 2), true)
		bt.respond = func(_ wire.Kind, response proto.Message) error {
			switch response := response.(type) {
			case *wire.ProbeLeaseResponse:
				response.Granted, response.Record = true, recordsInState("half_open", 2)[0]
			case *wire.BreakerWriteResponse:
				response.Record = recordsInState("half_open", 2)[0]
			}
			return nil
		}
		for range 200 { // no task is sending the writes yet
			bt.attempt(breaker.Success)
		}
		bt.expect("dropped beyond 128", bt.events[eventlog.BreakerWriteDropped], 72)
		bt.node.Go(bt.breakers.SendWrites)
		bt.breakers.Close(5 * monotonic.Second)
		written := 0
		for _, kind := range bt.calls {
			if kind == wire.Kind_breaker_write {
				written++
			}
		}
		bt.expect("written before closing", written, 128)
		bt.attempt(breaker.Failure)
		bt.expect("no call after closing", len(bt.calls), 200+128)
	})
}

// TestWindowSurvivesConfigChanges: a service's window keeps its counts when a new configuration version changes a route or the
// size of the window. Four failures under one version and one under the next open the breaker.
func TestWindowSurvivesConfigChanges(t *testing.T) {
	for name, change := range map[string]func(service *wire.ServiceInForce) *config.Change{
		"a route": func(*wire.ServiceInForce) *config.Change {
			return &config.Change{Routes: []*wire.Route{{Name: "r", Prefix: "/r/", Class: wire.Path_read, Split: []*wire.Share{{Service: "forms", Weight: 1}}}}}
		},
		"a larger window": func(service *wire.ServiceInForce) *config.Change {
			service.Guard.WindowCalls = proto.Uint32(40)
			return &config.Change{Services: []*wire.ServiceInForce{service}}
		},
		"a smaller window": func(service *wire.ServiceInForce) *config.Change {
			service.Guard.WindowCalls = proto.Uint32(6)
			return &config.Change{Services: []*wire.ServiceInForce{service}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runBreakerTest(t, func(bt *breakerTest) {
				snapshot := config.Compile(&wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "forms"}},
					Guard: &wire.Breaker{WindowCalls: proto.Uint32(10), MinimumCalls: proto.Uint32(5)}}}}, 1, "")
				bt.service = snapshot.Services["forms"]
				inFlight, _ := bt.breakers.Admit(bt.service)
				for range 4 {
					bt.attempt(breaker.Failure)
				}
				previous := bt.service
				next, err := snapshot.With(change(&wire.ServiceInForce{Name: "forms", Group: "field", Guard: proto.CloneOf(previous.Breaker), Retry: previous.Retry, Limits: previous.Limits}), 2, "")
				if err != nil {
					t.Error(err)
					return
				}
				bt.service = next.Services["forms"]
				bt.expect("the service is unchanged", bt.service == previous, name == "a route")
				bt.expect("trips before", bt.events[eventlog.BreakerTrippedLocally], 0)
				bt.attempt(breaker.Failure)
				bt.expect("trips after", bt.events[eventlog.BreakerTrippedLocally], 1)
				bt.expect("calls", bt.status().Calls, uint64(5))
				inFlight.Done(breaker.Success) // it ends under the version that it was admitted under
				bt.expect("calls with the one in flight", bt.status().Calls, uint64(6))
			})
		})
	}
}
