package hutch_test

import (
	"testing"

	"snowflow/internal/carrier/gate/slots"
	"snowflow/internal/carrier/hutch"
	"snowflow/internal/host"
	"snowflow/internal/mailround/world"
	"snowflow/internal/postmark"
	"snowflow/internal/seal"
)

// within runs a test inside a simulated process.
func within(t *testing.T, test func(place *world.Place, backends *hutch.Hutch)) {
	t.Helper()
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Table, error) {
		test(place, hutch.New(place, func() {}))
		ended = true
		return host.Table{}, nil
	}))
	simulated.Run(simulated.Now() + 10*postmark.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

func word(instance string, sequence uint64, count uint32, condition string) hutch.Report {
	return hutch.Report{Backend: hutch.Backend{Service: "forms", Instance: instance, Address: "127.0.0.1:8000"}, Slots: count, Condition: condition, Sequence: sequence}
}

func TestReports(t *testing.T) {
	within(t, func(place *world.Place, backends *hutch.Hutch) {
		tell := func(what string, report hutch.Report, expected bool) {
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
		tell("the first", word("one", 5, 6, hutch.Alive), true)
		tell("the same", word("one", 5, 6, hutch.Alive), false)
		tell("a beat", word("one", 6, 6, hutch.Working), false)
		tell("an older one with other slots", word("one", 4, 2, hutch.Leaving), false)
		shows("after the older", "one", hutch.Working, 6)
		tell("more slots", word("one", 7, 8, hutch.Working), true)
		place.Sleep(hutch.Overdue)
		backends.Sweep()
		shows("silent", "one", "overdue", 8)
		tell("an old one is no sign of life", word("one", 7, 8, hutch.Working), false)
		shows("still silent", "one", "overdue", 8)
		tell("back", word("one", 8, 8, hutch.Working), true)
		tell("leaving", word("one", 9, 8, hutch.Leaving), true)
		tell("not leaving any more", word("one", 10, 8, hutch.Working), false)
		shows("leaving sticks", "one", hutch.Leaving, 8)
		if _, err := backends.Tell(hutch.Report{Backend: hutch.Backend{Service: "forms", Instance: "one", Address: "127.0.0.1:9000"}, Condition: hutch.Alive, Sequence: 11}); err == nil {
			t.Error("the instance moved")
		}
		tell("another at its address", word("two", 1, 6, hutch.Alive), true)
		tell("a late one of the first", word("one", 12, 6, hutch.Alive), false)
		shows("evicted others", "two", hutch.Alive, 6)
		if told := backends.Told(); len(told) != 1 {
			t.Errorf("%d are there", len(told))
		}
		backends.Gone("two")
		tell("after its goodbye", word("two", 2, 6, hutch.Alive), false)
		shows("goodbye", "two", hutch.Leaving, 6)
		if err := backends.Register(word("two", 0, 0, "").Backend, hutch.Leaving); err == nil {
			t.Error("it registered after its goodbye")
		}
		backends.Gone("three")
		tell("goodbye before the first word", word("three", 1, 6, hutch.Alive), false)
		place.Sleep(postmark.Minute)
		backends.Sweep()
		if told := backends.Told(); len(told) != 0 {
			t.Errorf("%d are remembered", len(told))
		}
		tell("long after", word("three", 2, 6, hutch.Alive), true)
	})
}

func TestWarmup(t *testing.T) {
	within(t, func(place *world.Place, backends *hutch.Hutch) {
		report := word("one", 1, 6, hutch.Alive)
		report.Warmup = 3 * postmark.Second
		_, _ = backends.Tell(report)
		place.Sleep(postmark.Second)
		if load := backends.Load("one", ""); load.WarmMicros > int64(2*postmark.Second) || load.WarmMicros < int64(1900*postmark.Millisecond) {
			t.Errorf("%d left", load.WarmMicros)
		}
		place.Sleep(3 * postmark.Second)
		if load := backends.Load("one", ""); load.WarmMicros != 0 || load.Slots != 6 {
			t.Errorf("%v", load)
		}
	})
}

func ask(place *world.Place, instance string, remaining postmark.Micros) hutch.Admission {
	return hutch.Admission{Instance: instance, Service: "forms", Ask: slots.Ask{Cutoff: place.Now() + remaining, Patient: true}}
}

func TestAdmission(t *testing.T) {
	within(t, func(place *world.Place, backends *hutch.Hutch) {
		_, _ = backends.Tell(word("one", 1, 2, hutch.Alive))
		first, fault := backends.Admit(ask(place, "one", postmark.Second))
		if fault != nil {
			t.Fatal(fault)
		}
		if _, fault = backends.Admit(ask(place, "one", postmark.Second)); fault != nil {
			t.Fatal(fault)
		}
		order := []string{}
		waits := func(name string, cause seal.Cause) {
			place.Go(func() {
				pass, fault := backends.Admit(ask(place, "one", postmark.Second))
				if fault == nil {
					place.Sleep(50 * postmark.Millisecond)
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
		place.Sleep(10 * postmark.Millisecond)
		if load := backends.Load("one", ""); load.Running != 2 || load.Waiting != 2 {
			t.Errorf("%v", load)
		}
		first.Leave(slots.Worked)
		place.Sleep(200 * postmark.Millisecond)
		if len(order) != 2 || order[0] != "a" || order[1] != "b" {
			t.Errorf("%v", order)
		}
		if first, fault = backends.Admit(ask(place, "one", postmark.Second)); fault != nil {
			t.Fatal(fault)
		}
		waits("c", seal.BackendLeaving)
		place.Sleep(10 * postmark.Millisecond)
		_, _ = backends.Tell(word("one", 2, 2, hutch.Leaving))
		place.Sleep(10 * postmark.Millisecond)
		if order[len(order)-1] != "c refused" {
			t.Errorf("its backend leaves, and it waits on: %v", order)
		}
		first.Leave(slots.Worked)
		// The next one at the address starts empty, and what the last one still works on isn't its.
		_, _ = backends.Tell(word("two", 1, 1, hutch.Alive))
		if load := backends.Load("two", ""); load.Running != 0 {
			t.Errorf("%v", load)
		}
		held, fault := backends.Admit(ask(place, "two", 300*postmark.Millisecond))
		if fault != nil {
			t.Fatal(fault)
		}
		held.Leave(slots.Unsure)
		began := place.Now()
		if _, fault = backends.Admit(ask(place, "two", postmark.Second)); fault != nil || place.Now()-began < 300*postmark.Millisecond || place.Now()-began > 320*postmark.Millisecond {
			t.Errorf("let in after %d at a slot that lingers: %v", place.Now()-began, fault)
		}
		backends.Close()
		if _, fault = backends.Admit(ask(place, "two", postmark.Second)); fault == nil || fault.Cause != seal.Draining {
			t.Errorf("closed: %v", fault)
		}
	})
}
