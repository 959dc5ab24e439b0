package localbackends_test

import (
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/simulation/world"
)

// within runs a test inside a simulated process.
func within(t *testing.T, test func(place *world.Place, backends *localbackends.Hutch)) {
	t.Helper()
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
		test(place, localbackends.New(place, func() {}))
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + 10*monotonic.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

func word(instance string, sequence uint64, count uint32, condition string) localbackends.Report {
	return localbackends.Report{Backend: localbackends.Backend{Service: "forms", Instance: instance, Address: "127.0.0.1:8000"}, Slots: count, Condition: condition, Sequence: sequence}
}

func TestReports(t *testing.T) {
	within(t, func(place *world.Place, backends *localbackends.Hutch) {
		tell := func(what string, report localbackends.Report, expected bool) {
			t.Helper()
			if changed, err := backends.Tell(report); err != nil || changed != expected {
				t.Errorf("%s: changed %v, %v", what, changed, err)
			}
		}
		shows := func(what, instance, condition string, count uint32) {
			t.Helper()
			for _, told := range backends.Told() {
				if told.Instance == instance {
					if told.Condition != condition || told.Slots != count {
						t.Errorf("%s: %s with %d slots", what, told.Condition, told.Slots)
					}
					return
				}
			}
			t.Errorf("%s: not there", what)
		}
		tell("the first", word("one", 5, 6, localbackends.Alive), true)
		tell("the same", word("one", 5, 6, localbackends.Alive), false)
		tell("a beat", word("one", 6, 6, localbackends.Working), false)
		tell("an older one with other slots", word("one", 4, 2, localbackends.Leaving), false)
		shows("after the older", "one", localbackends.Working, 6)
		tell("more slots", word("one", 7, 8, localbackends.Working), true)
		place.Sleep(localbackends.Overdue)
		backends.Sweep()
		shows("silent", "one", "overdue", 8)
		tell("an old one is no sign of life", word("one", 7, 8, localbackends.Working), false)
		shows("still silent", "one", "overdue", 8)
		tell("back", word("one", 8, 8, localbackends.Working), true)
		tell("leaving", word("one", 9, 8, localbackends.Leaving), true)
		tell("not leaving any more", word("one", 10, 8, localbackends.Working), false)
		shows("leaving sticks", "one", localbackends.Leaving, 8)
		if _, err := backends.Tell(localbackends.Report{Backend: localbackends.Backend{Service: "forms", Instance: "one", Address: "127.0.0.1:9000"}, Condition: localbackends.Alive, Sequence: 11}); err == nil {
			t.Error("the instance moved")
		}
		tell("another at its address", word("two", 1, 6, localbackends.Alive), true)
		tell("a late one of the first", word("one", 12, 6, localbackends.Alive), false)
		shows("evicted others", "two", localbackends.Alive, 6)
		if told := backends.Told(); len(told) != 1 {
			t.Errorf("%d are there", len(told))
		}
		backends.Gone("two")
		tell("after its goodbye", word("two", 2, 6, localbackends.Alive), false)
		shows("goodbye", "two", localbackends.Leaving, 6)
		if err := backends.Register(word("two", 0, 0, "").Backend, localbackends.Leaving); err == nil {
			t.Error("it registered after its goodbye")
		}
		backends.Gone("three")
		tell("goodbye before the first word", word("three", 1, 6, localbackends.Alive), false)
		place.Sleep(monotonic.Minute)
		backends.Sweep()
		if told := backends.Told(); len(told) != 0 {
			t.Errorf("%d are remembered", len(told))
		}
		tell("long after", word("three", 2, 6, localbackends.Alive), true)
	})
}

func TestWarmup(t *testing.T) {
	within(t, func(place *world.Place, backends *localbackends.Hutch) {
		report := word("one", 1, 6, localbackends.Alive)
		report.Warmup = 3 * monotonic.Second
		_, _ = backends.Tell(report)
		place.Sleep(monotonic.Second)
		if load := backends.Load("one", ""); load.SlowStartMicros > int64(2*monotonic.Second) || load.SlowStartMicros < int64(1900*monotonic.Millisecond) {
			t.Errorf("%d left", load.SlowStartMicros)
		}
		place.Sleep(3 * monotonic.Second)
		if load := backends.Load("one", ""); load.SlowStartMicros != 0 || load.Slots != 6 {
			t.Errorf("%v", load)
		}
	})
}

func ask(place *world.Place, instance string, remaining monotonic.Micros) localbackends.Admission {
	return localbackends.Admission{Instance: instance, Service: "forms", Ask: slots.Ask{Cutoff: place.Now() + remaining, Patient: true}}
}

func TestAdmission(t *testing.T) {
	within(t, func(place *world.Place, backends *localbackends.Hutch) {
		_, _ = backends.Tell(word("one", 1, 2, localbackends.Alive))
		first, fault := backends.Admit(ask(place, "one", monotonic.Second))
		if fault != nil {
			t.Fatal(fault)
		}
		if _, fault = backends.Admit(ask(place, "one", monotonic.Second)); fault != nil {
			t.Fatal(fault)
		}
		order := []string{}
		waits := func(name string, cause apierror.Cause) {
			place.Go(func() {
				pass, fault := backends.Admit(ask(place, "one", monotonic.Second))
				if fault == nil {
					place.Sleep(50 * monotonic.Millisecond)
					pass.Leave(slots.Worked)
					order = append(order, name)
				} else if fault.Cause == cause && fault.NotRun() {
					order = append(order, name+" refused")
				} else {
					t.Errorf("%s: %v", name, fault)
				}
			})
		}
		waits("a", 0)
		waits("b", 0)
		place.Sleep(10 * monotonic.Millisecond)
		if load := backends.Load("one", ""); load.Running != 2 || load.Waiting != 2 {
			t.Errorf("%v", load)
		}
		first.Leave(slots.Worked)
		place.Sleep(200 * monotonic.Millisecond)
		if len(order) != 2 || order[0] != "a" || order[1] != "b" {
			t.Errorf("%v", order)
		}
		if first, fault = backends.Admit(ask(place, "one", monotonic.Second)); fault != nil {
			t.Fatal(fault)
		}
		waits("c", apierror.BackendLeaving)
		place.Sleep(10 * monotonic.Millisecond)
		_, _ = backends.Tell(word("one", 2, 2, localbackends.Leaving))
		place.Sleep(10 * monotonic.Millisecond)
		if order[len(order)-1] != "c refused" {
			t.Errorf("its backend leaves, and it waits on: %v", order)
		}
		first.Leave(slots.Worked)
		// The next one at the address starts empty, and what the last one still works on isn't its.
		_, _ = backends.Tell(word("two", 1, 1, localbackends.Alive))
		if load := backends.Load("two", ""); load.Running != 0 {
			t.Errorf("%v", load)
		}
		held, fault := backends.Admit(ask(place, "two", 300*monotonic.Millisecond))
		if fault != nil {
			t.Fatal(fault)
		}
		held.Leave(slots.Unsure)
		began := place.Now()
		if _, fault = backends.Admit(ask(place, "two", monotonic.Second)); fault != nil || place.Now()-began < 300*monotonic.Millisecond || place.Now()-began > 320*monotonic.Millisecond {
			t.Errorf("let in after %d at a slot that lingers: %v", place.Now()-began, fault)
		}
		backends.Close()
		if _, fault = backends.Admit(ask(place, "two", monotonic.Second)); fault == nil || fault.Cause != apierror.Draining {
			t.Errorf("closed: %v", fault)
		}
	})
}
