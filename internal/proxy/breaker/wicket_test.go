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
type played struct {
	t       *testing.T
	guard   *breaker.Wicket
	place   *world.Place
	service *config.Service
	calls   []wire.Kind
	answer  func(kind wire.Kind, tell proto.Message) error
	events  map[int]int
}

func play(t *testing.T, course func(played *played)) {
	t.Helper()
	simulated := world.New(1)
	scene := &played{t: t, events: map[int]int{}, answer: func(wire.Kind, proto.Message) error { return nil }}
	simulated.Trace = func(_ monotonic.Micros, _ string, number int, _ map[string]any) { scene.events[number]++ }
	state, faults := config.Parse([]byte(`{"groups":[{"name":"field","guard":{"windowCalls":10,"minimumCalls":5,"waitOpenMicros":2000000,"permittedHalfOpen":2},
"services":[{"name":"forms","paths":[{"method":"GET","prefix":"/forms","class":"read"}]}]}]}`))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	scene.service = config.Compile(state, 1, "").Services["forms"]
	played := false
	simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
		scene.place = place
		scene.guard = breaker.New(breaker.Env{Place: place, Carrier: "one", Incarnation: 1, Call: func(kind wire.Kind, _, tell proto.Message, _ monotonic.Micros) error {
			scene.calls = append(scene.calls, kind)
			return scene.answer(kind, tell)
		}})
		course(scene)
		played = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Minute)
	defer simulated.Close()
	if !played {
		t.Fatalf("the course did not end: %v", simulated.Panicked)
	}
}

// try makes one call with an outcome, and tells its refusal's cause, or zero.
func (scene *played) try(outcome breaker.Outcome) apierror.Cause {
	ticket, fault := scene.guard.Admit(scene.service)
	if fault != nil {
		return fault.Cause
	}
	ticket.Done(outcome)
	return 0
}

func (scene *played) expect(what string, got, wanted any) {
	scene.t.Helper()
	if got != wanted {
		scene.t.Errorf("%s: %v, not %v", what, got, wanted)
	}
}

func record(state string, serial uint64) []*wire.BreakerRecord {
	return []*wire.BreakerRecord{{Service: "forms", State: state, Version: serial}}
}

func TestNoInlineCallWhileClosedOrOpen(t *testing.T) {
	play(t, func(scene *played) {
		for range 20 {
			scene.expect("closed", scene.try(breaker.Success), apierror.Cause(0))
		}
		scene.guard.Polled(record("open", 2), true)
		for range 20 {
			scene.expect("open", scene.try(breaker.Success), apierror.BreakerOpen)
		}
		scene.expect("calls", len(scene.calls), 0)
		scene.guard.Polled(record("half_open", 3), true)
		scene.answer = func(_ wire.Kind, tell proto.Message) error {
			tell.(*wire.ProbeLeaseResponse).Record = record("half_open", 3)[0]
			return nil
		}
		scene.expect("no probe left", scene.try(breaker.Success), apierror.NoProbeLeft)
		scene.expect("one call for one try", len(scene.calls), 1)
		scene.guard.Polled(record("open", 2), true)
		scene.expect("an older record is not taken", scene.try(breaker.Success), apierror.NoProbeLeft)
	})
}

func TestLocalTripAndItsOwnRecovery(t *testing.T) {
	play(t, func(scene *played) {
		for range 4 {
			scene.expect("before the minimum", scene.try(breaker.Failure), apierror.Cause(0))
		}
		for range 30 {
			scene.expect("neutral outcomes say nothing", scene.try(breaker.Neutral), apierror.Cause(0))
		}
		scene.expect("the fifth failure", scene.try(breaker.Failure), apierror.Cause(0))
		scene.expect("open by itself", scene.try(breaker.Success), apierror.BreakerOpen)
		scene.place.Sleep(2100 * monotonic.Millisecond)
		scene.expect("first local probe", scene.try(breaker.Success), apierror.Cause(0))
		scene.expect("second local probe", scene.try(breaker.Success), apierror.Cause(0))
		scene.expect("closed again", scene.guard.Show()[0].Local, "closed")
		scene.expect("reported once", scene.events[eventlog.BreakerTrippedLocally], 1)
	})
}

func TestControlsGoFirst(t *testing.T) {
	play(t, func(scene *played) {
		control := func(verb string) {
			if err := scene.guard.Control("forms", verb); err != nil {
				scene.t.Error(err)
			}
		}
		control("force_open")
		scene.expect("forced open", scene.try(breaker.Success), apierror.BreakerOpen)
		scene.guard.Polled(record("half_open", 2), true)
		for _, verb := range []string{"disable", "metrics_only"} {
			control(verb)
			for range 30 {
				scene.expect(verb, scene.try(breaker.Failure), apierror.Cause(0))
			}
		}
		scene.expect("no probe was taken", len(scene.calls), 0)
		scene.expect("counted by metrics_only alone", scene.guard.Show()[0].Calls, uint64(30))
		control("reset")
		scene.guard.Polled(record("open", 3), true)
		scene.expect("reset goes back to the shared verdict", scene.try(breaker.Success), apierror.BreakerOpen)
		if scene.guard.Control("forms", "smash") == nil {
			scene.t.Error("an unknown control was taken")
		}
	})
}

func TestDegradesAndRecovers(t *testing.T) {
	play(t, func(scene *played) {
		scene.guard.Polled(record("half_open", 2), true)
		scene.answer = func(wire.Kind, proto.Message) error { return errors.New("cut off") }
		scene.expect("a failed lease falls back to the local window", scene.try(breaker.Success), apierror.Cause(0))
		scene.expect("and later ones don't ask", scene.try(breaker.Success), apierror.Cause(0))
		scene.expect("calls", len(scene.calls), 1)
		for range 10 {
			scene.try(breaker.Failure)
		}
		scene.expect("writes are dropped and told", scene.events[eventlog.BreakerWriteDropped], 1)
		scene.guard.Polled(record("open", 3), true)
		scene.expect("recovered", scene.events[eventlog.BreakerRecovered], 1)
		scene.expect("the shared verdict counts again", scene.try(breaker.Success), apierror.BreakerOpen)
	})
}

func TestLaneIsBoundedAndDrained(t *testing.T) {
	play(t, func(scene *played) {
		scene.guard.Polled(record("half_open", 2), true)
		scene.answer = func(kind wire.Kind, tell proto.Message) error {
			if lease, is := tell.(*wire.ProbeLeaseResponse); is {
				lease.Granted, lease.Record = true, record("half_open", 2)[0]
			}
			if written, is := tell.(*wire.BreakerWriteResponse); is {
				written.Record = record("half_open", 2)[0]
			}
			return nil
		}
		for range 200 { // nothing drains the lane yet
			scene.try(breaker.Success)
		}
		scene.expect("dropped beyond 128", scene.events[eventlog.BreakerWriteDropped], 72)
		scene.place.Go(scene.guard.Lane)
		scene.guard.Close(5 * monotonic.Second)
		written := 0
		for _, kind := range scene.calls {
			if kind == wire.Kind_breaker_write {
				written++
			}
		}
		scene.expect("written before closing", written, 128)
		scene.try(breaker.Failure)
		scene.expect("nothing after", len(scene.calls), 200+128)
	})
}

// TestWindowsOutlastChanges: what a guard has counted of a service stands when a version comes that changes a route, or the service's
// own window. Four failures under one version and one under the next trip it.
func TestWindowsOutlastChanges(t *testing.T) {
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
		play(t, func(scene *played) {
			view := config.Compile(&wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "forms"}},
				Guard: &wire.Breaker{WindowCalls: proto.Uint32(10), MinimumCalls: proto.Uint32(5)}}}}, 1, "")
			scene.service = view.Services["forms"]
			under, _ := scene.guard.Admit(scene.service)
			for range 4 {
				scene.try(breaker.Failure)
			}
			former := scene.service
			next, err := view.With(change(&wire.ServiceInForce{Name: "forms", Group: "field", Guard: proto.CloneOf(former.Breaker), Retry: former.Retry, Limits: former.Limits}), 2, "")
			if err != nil {
				t.Fatal(err)
			}
			scene.service = next.Services["forms"]
			scene.expect(name+": the same service", scene.service == former, name == "a route")
			scene.expect(name+": trips before", scene.events[eventlog.BreakerTrippedLocally], 0)
			scene.try(breaker.Failure)
			scene.expect(name+": trips after", scene.events[eventlog.BreakerTrippedLocally], 1)
			scene.expect(name+": calls", scene.guard.Show()[0].Calls, uint64(5))
			under.Done(breaker.Success) // it ends under the version it began with
			scene.expect(name+": calls with the one under way", scene.guard.Show()[0].Calls, uint64(6))
		})
	}
}
