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

// played runs a guard alone in a simulated place, with a sorter that answers as told.
type breakerTest struct {
	t        *testing.T
	breakers *breaker.Set
	node     *world.Host
	service  *config.Service
	calls    []wire.Kind
	respond  func(kind wire.Kind, response proto.Message) error
	events   map[int]int
}

func runBreakerTest(t *testing.T, scenario func(finished *breakerTest)) {
	t.Helper()
	simulated := world.New(1)
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
		bt.breakers = breaker.NewSet(breaker.Config{Host: node, Proxy: "one", Incarnation: 1, Call: func(kind wire.Kind, _, response proto.Message, _ monotonic.Micros) error {
			bt.calls = append(bt.calls, kind)
			return bt.respond(kind, response)
		}})
		scenario(bt)
		finished = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Minute)
	defer simulated.Close()
	if !finished {
		t.Fatalf("the course did not end: %v", simulated.Panicked)
	}
}

// try makes one call with an outcome, and tells its refusal's cause, or zero.
func (bt *breakerTest) attempt(outcome breaker.Outcome) apierror.Cause {
	permit, fault := bt.breakers.Admit(bt.service)
	if fault != nil {
		return fault.Cause
	}
	permit.Done(outcome)
	return 0
}

func (bt *breakerTest) expect(what string, got, wanted any) {
	bt.t.Helper()
	if got != wanted {
		bt.t.Errorf("%s: %v, not %v", what, got, wanted)
	}
}

func recordsInState(state string, version uint64) []*wire.BreakerRecord {
	return []*wire.BreakerRecord{{Service: "forms", State: state, Version: version}}
}

func TestNoRegistryCallWhileClosedOrOpen(t *testing.T) {
	runBreakerTest(t, func(bt *breakerTest) {
		for range 20 {
			bt.expect("closed", bt.attempt(breaker.Success), apierror.Cause(0))
		}
		bt.breakers.ApplyPoll(recordsInState("open", 2), true)
		for range 20 {
			bt.expect("open", bt.attempt(breaker.Success), apierror.BreakerOpen)
		}
		bt.expect("calls", len(bt.calls), 0)
		bt.breakers.ApplyPoll(recordsInState("half_open", 3), true)
		bt.respond = func(_ wire.Kind, response proto.Message) error {
			response.(*wire.ProbeLeaseResponse).Record = recordsInState("half_open", 3)[0]
			return nil
		}
		bt.expect("no probe left", bt.attempt(breaker.Success), apierror.NoProbeLeft)
		bt.expect("one call for one try", len(bt.calls), 1)
		bt.breakers.ApplyPoll(recordsInState("open", 2), true)
		bt.expect("an older record is not taken", bt.attempt(breaker.Success), apierror.NoProbeLeft)
	})
}

func TestLocalBreakerOpensAndRecovers(t *testing.T) {
	runBreakerTest(t, func(bt *breakerTest) {
		for range 4 {
			bt.expect("before the minimum", bt.attempt(breaker.Failure), apierror.Cause(0))
		}
		for range 30 {
			bt.expect("neutral outcomes say nothing", bt.attempt(breaker.Neutral), apierror.Cause(0))
		}
		bt.expect("the fifth failure", bt.attempt(breaker.Failure), apierror.Cause(0))
		bt.expect("open by itself", bt.attempt(breaker.Success), apierror.BreakerOpen)
		bt.node.Sleep(2100 * monotonic.Millisecond)
		bt.expect("first local probe", bt.attempt(breaker.Success), apierror.Cause(0))
		bt.expect("second local probe", bt.attempt(breaker.Success), apierror.Cause(0))
		bt.expect("closed again", bt.breakers.Statuses()[0].Local, "closed")
		bt.expect("reported once", bt.events[eventlog.BreakerTrippedLocally], 1)
	})
}

func TestControlsOverrideSharedRecord(t *testing.T) {
	runBreakerTest(t, func(bt *breakerTest) {
		control := func(verb string) {
			if err := bt.breakers.SetControl("forms", verb); err != nil {
				bt.t.Error(err)
			}
		}
		control("force_open")
		bt.expect("forced open", bt.attempt(breaker.Success), apierror.BreakerOpen)
		bt.breakers.ApplyPoll(recordsInState("half_open", 2), true)
		for _, verb := range []string{"disable", "metrics_only"} {
			control(verb)
			for range 30 {
				bt.expect(verb, bt.attempt(breaker.Failure), apierror.Cause(0))
			}
		}
		bt.expect("no probe was taken", len(bt.calls), 0)
		bt.expect("counted by metrics_only alone", bt.breakers.Statuses()[0].Calls, uint64(30))
		control("reset")
		bt.breakers.ApplyPoll(recordsInState("open", 3), true)
		bt.expect("reset goes back to the shared verdict", bt.attempt(breaker.Success), apierror.BreakerOpen)
		if bt.breakers.SetControl("forms", "smash") == nil {
			bt.t.Error("an unknown control was taken")
		}
	})
}

func TestDegradesAndRecovers(t *testing.T) {
	runBreakerTest(t, func(bt *breakerTest) {
		bt.breakers.ApplyPoll(recordsInState("half_open", 2), true)
		bt.respond = func(wire.Kind, proto.Message) error { return errors.New("cut off") }
		bt.expect("a failed lease falls back to the local window", bt.attempt(breaker.Success), apierror.Cause(0))
		bt.expect("and later ones don't ask", bt.attempt(breaker.Success), apierror.Cause(0))
		bt.expect("calls", len(bt.calls), 1)
		for range 10 {
			bt.attempt(breaker.Failure)
		}
		bt.expect("writes are dropped and told", bt.events[eventlog.BreakerWriteDropped], 1)
		bt.breakers.ApplyPoll(recordsInState("open", 3), true)
		bt.expect("recovered", bt.events[eventlog.BreakerRecovered], 1)
		bt.expect("the shared verdict counts again", bt.attempt(breaker.Success), apierror.BreakerOpen)
	})
}

func TestWriteQueueIsBoundedAndDrained(t *testing.T) {
	runBreakerTest(t, func(bt *breakerTest) {
		bt.breakers.ApplyPoll(recordsInState("half_open", 2), true)
		bt.respond = func(kind wire.Kind, response proto.Message) error {
			if lease, is := response.(*wire.ProbeLeaseResponse); is {
				lease.Granted, lease.Record = true, recordsInState("half_open", 2)[0]
			}
			if written, is := response.(*wire.BreakerWriteResponse); is {
				written.Record = recordsInState("half_open", 2)[0]
			}
			return nil
		}
		for range 200 { // nothing drains the lane yet
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
		bt.expect("nothing after", len(bt.calls), 200+128)
	})
}

// TestWindowSurvivesConfigChanges: what a guard has counted of a service stands when a version comes that changes a route, or the service's
// own window. Four failures under one version and one under the next trip it.
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
		runBreakerTest(t, func(bt *breakerTest) {
			view := config.Compile(&wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "forms"}},
				Guard: &wire.Breaker{WindowCalls: proto.Uint32(10), MinimumCalls: proto.Uint32(5)}}}}, 1, "")
			bt.service = view.Services["forms"]
			inFlight, _ := bt.breakers.Admit(bt.service)
			for range 4 {
				bt.attempt(breaker.Failure)
			}
			previous := bt.service
			next, err := view.With(change(&wire.ServiceInForce{Name: "forms", Group: "field", Guard: proto.CloneOf(previous.Breaker), Retry: previous.Retry, Limits: previous.Limits}), 2, "")
			if err != nil {
				t.Fatal(err)
			}
			bt.service = next.Services["forms"]
			bt.expect(name+": the same service", bt.service == previous, name == "a route")
			bt.expect(name+": trips before", bt.events[eventlog.BreakerTrippedLocally], 0)
			bt.attempt(breaker.Failure)
			bt.expect(name+": trips after", bt.events[eventlog.BreakerTrippedLocally], 1)
			bt.expect(name+": calls", bt.breakers.Statuses()[0].Calls, uint64(5))
			inFlight.Done(breaker.Success) // it ends under the version it began with
			bt.expect(name+": calls with the one under way", bt.breakers.Statuses()[0].Calls, uint64(6))
		})
	}
}
