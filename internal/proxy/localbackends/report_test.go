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

// runInProcess runs a test as a process in a simulated world.
func runInProcess(t *testing.T, test func(process *world.Host, backends *localbackends.Set)) {
	t.Helper()
	simulated := world.New(1)
	t.Cleanup(simulated.Close)
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
		test(process, localbackends.New(process, func() {}))
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + 10*monotonic.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

func newReport(instance string, sequence uint64, count uint32, condition string) localbackends.Report {
	return localbackends.Report{
		Backend:   localbackends.Backend{Service: "forms", Instance: instance, Address: "127.0.0.1:8000"},
		Slots:     count,
		Condition: condition,
		Sequence:  sequence,
	}
}

func TestApplyReport(t *testing.T) {
	runInProcess(t, func(process *world.Host, backends *localbackends.Set) {
		apply := func(name string, report localbackends.Report, expected bool) {
			t.Helper()
			if changed, err := backends.ApplyReport(report); err != nil || changed != expected {
				t.Errorf("%s: changed %v, %v", name, changed, err)
			}
		}
		announces := func(name, instance, condition string, count uint32) {
			t.Helper()
			for _, backend := range backends.Backends() {
				if backend.Instance == instance {
					if backend.Condition != condition || backend.Slots != count {
						t.Errorf("%s: %s with %d slots", name, backend.Condition, backend.Slots)
					}
					return
				}
			}
			t.Errorf("%s: not announced", name)
		}
		apply("the first report", newReport("one", 5, 6, localbackends.Alive), true)
		apply("the same report again", newReport("one", 5, 6, localbackends.Alive), false)
		apply("a heartbeat", newReport("one", 6, 6, localbackends.Working), false)
		apply("an older report with another number of slots", newReport("one", 4, 2, localbackends.Leaving), false)
		announces("after the older report", "one", localbackends.Working, 6)
		apply("more slots", newReport("one", 7, 8, localbackends.Working), true)
		process.Sleep(localbackends.HeartbeatTimeout)
		backends.Sweep()
		announces("without heartbeats", "one", "overdue", 8)
		apply("an old report, which is no heartbeat", newReport("one", 7, 8, localbackends.Working), false)
		announces("still without heartbeats", "one", "overdue", 8)
		apply("the next heartbeat", newReport("one", 8, 8, localbackends.Working), true)
		apply("leaving", newReport("one", 9, 8, localbackends.Leaving), true)
		apply("not leaving any more", newReport("one", 10, 8, localbackends.Working), false)
		announces("leaving is final", "one", localbackends.Leaving, 8)
		moved := newReport("one", 11, 8, localbackends.Alive)
		moved.Address = "127.0.0.1:9000"
		if _, err := backends.ApplyReport(moved); err == nil {
			t.Error("the instance changed its address")
		}
		apply("another instance at its address", newReport("two", 1, 6, localbackends.Alive), true)
		apply("a late report of the first instance", newReport("one", 12, 6, localbackends.Alive), false)
		announces("another instance has taken over its address", "two", localbackends.Alive, 6)
		if listed := backends.Backends(); len(listed) != 1 {
			t.Errorf("%d backends are announced", len(listed))
		}
		backends.Deregister("two")
		apply("a report after it deregistered", newReport("two", 2, 6, localbackends.Alive), false)
		announces("deregistered", "two", localbackends.Leaving, 6)
		if err := backends.Register(newReport("two", 0, 0, "").Backend, localbackends.Leaving); err == nil {
			t.Error("the instance registered after it had deregistered")
		}
		backends.Deregister("three")
		apply("the first report after it deregistered", newReport("three", 1, 6, localbackends.Alive), false)
		process.Sleep(monotonic.Minute)
		backends.Sweep()
		if listed := backends.Backends(); len(listed) != 0 {
			t.Errorf("%d backends are still announced", len(listed))
		}
		apply("a report after the tombstone was removed", newReport("three", 2, 6, localbackends.Alive), true)
	})
}

func TestWarmup(t *testing.T) {
	runInProcess(t, func(process *world.Host, backends *localbackends.Set) {
		report := newReport("one", 1, 6, localbackends.Alive)
		report.Warmup = 3 * monotonic.Second
		_, _ = backends.ApplyReport(report)
		process.Sleep(monotonic.Second)
		left := monotonic.Micros(backends.Load("one", "").SlowStartMicros)
		if left > 2*monotonic.Second || left < 1900*monotonic.Millisecond {
			t.Errorf("%d us of the warm-up left", left)
		}
		process.Sleep(3 * monotonic.Second)
		if load := backends.Load("one", ""); load.SlowStartMicros != 0 || load.Slots != 6 {
			t.Errorf("%v", load)
		}
	})
}

func newRequest(h *world.Host, instance string, remaining monotonic.Micros) localbackends.Request {
	return localbackends.Request{Instance: instance, Service: "forms", Request: slots.Request{Deadline: h.Now() + remaining, NoAlternative: true}}
}

func TestAdmit(t *testing.T) {
	runInProcess(t, func(process *world.Host, backends *localbackends.Set) {
		_, _ = backends.ApplyReport(newReport("one", 1, 2, localbackends.Alive))
		first, fault := backends.Admit(newRequest(process, "one", monotonic.Second))
		if fault != nil {
			t.Fatal(fault)
		}
		if _, fault = backends.Admit(newRequest(process, "one", monotonic.Second)); fault != nil {
			t.Fatal(fault)
		}
		order := []string{}
		waitForSlot := func(name string, cause apierror.Cause) {
			process.Go(func() {
				slot, fault := backends.Admit(newRequest(process, "one", monotonic.Second))
				switch {
				case fault == nil:
					process.Sleep(50 * monotonic.Millisecond)
					slot.Release(slots.Completed)
					order = append(order, name)
				case fault.Cause == cause && fault.NotRun():
					order = append(order, name+" rejected")
				default:
					t.Errorf("%s: %v", name, fault)
				}
			})
		}
		waitForSlot("a", 0)
		waitForSlot("b", 0)
		process.Sleep(10 * monotonic.Millisecond)
		if load := backends.Load("one", ""); load.Running != 2 || load.Waiting != 2 {
			t.Errorf("%v", load)
		}
		first.Release(slots.Completed)
		process.Sleep(200 * monotonic.Millisecond)
		if len(order) != 2 || order[0] != "a" || order[1] != "b" {
			t.Errorf("%v", order)
		}
		if first, fault = backends.Admit(newRequest(process, "one", monotonic.Second)); fault != nil {
			t.Fatal(fault)
		}
		waitForSlot("c", apierror.BackendLeaving)
		process.Sleep(10 * monotonic.Millisecond)
		_, _ = backends.ApplyReport(newReport("one", 2, 2, localbackends.Leaving))
		process.Sleep(10 * monotonic.Millisecond)
		if order[len(order)-1] != "c rejected" {
			t.Errorf("a request was not rejected when its backend left: %v", order)
		}
		first.Release(slots.Completed)
		// The next instance at the address starts with free slots.
		_, _ = backends.ApplyReport(newReport("two", 1, 1, localbackends.Alive))
		if load := backends.Load("two", ""); load.Running != 0 {
			t.Errorf("%v", load)
		}
		uncertain, fault := backends.Admit(newRequest(process, "two", 300*monotonic.Millisecond))
		if fault != nil {
			t.Fatal(fault)
		}
		uncertain.Release(slots.Uncertain)
		began := process.Now()
		_, fault = backends.Admit(newRequest(process, "two", monotonic.Second))
		if waited := process.Now() - began; fault != nil || waited < 300*monotonic.Millisecond || waited > 320*monotonic.Millisecond {
			t.Errorf("admitted after %d us of waiting for a lingering slot: %v", waited, fault)
		}
		backends.Close()
		if _, fault = backends.Admit(newRequest(process, "two", monotonic.Second)); fault == nil || fault.Cause != apierror.Draining {
			t.Errorf("a request after Close: %v", fault)
		}
	})
}
