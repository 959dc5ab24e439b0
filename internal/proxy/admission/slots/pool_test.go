package slots_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
)

const ms = monotonic.Millisecond

// fixture is a pool with its clock, and counts how often each ticket was woken.
type fixture struct {
	*slots.Pool
	t       *testing.T
	now     monotonic.Micros
	wakeups map[*slots.Ticket]int
}

func newFixture(t *testing.T, count uint32, limits slots.Limits) *fixture {
	f := &fixture{Pool: slots.New(limits), t: t, now: monotonic.Minute, wakeups: map[*slots.Ticket]int{}}
	f.SetCount(f.now, count)
	return f
}

// enter adds a request, given the durations to its latency target and its deadline; a latency target of zero is none.
func (f *fixture) enter(priority uint32, latencyTarget, remaining monotonic.Micros, noAlternative bool) *slots.Ticket {
	request := slots.Request{Priority: priority, Deadline: f.now + remaining, NoAlternative: noAlternative}
	if latencyTarget > 0 {
		request.LatencyTarget = f.now + latencyTarget
	}
	ticket := f.Enter(f.now, request)
	ticket.Wake = func() { f.wakeups[ticket]++ }
	return ticket
}

// enterNoAlternative adds a request that has no alternative backend, has 10 s left and no latency target.
func (f *fixture) enterNoAlternative(priority uint32) *slots.Ticket {
	return f.enter(priority, 0, 10*monotonic.Second, true)
}

func (f *fixture) release(ticket *slots.Ticket, outcome slots.Outcome) {
	f.Release(f.now, ticket, outcome)
}

func (f *fixture) advance(duration monotonic.Micros) {
	f.now += duration
	f.Advance(f.now)
}

func (f *fixture) expectState(name string, ticket *slots.Ticket, state slots.State) {
	f.t.Helper()
	if ticket.State() != state {
		f.t.Errorf("%s: state %d, not %d", name, ticket.State(), state)
	}
}

// withSample completes one request whose service time is the given duration.
func (f *fixture) withSample(duration monotonic.Micros) *fixture {
	ticket := f.enterNoAlternative(0)
	f.now += duration
	f.release(ticket, slots.Completed)
	return f
}

// fill takes all free slots.
func (f *fixture) fill() (running []*slots.Ticket) {
	for f.Taken() < int(f.Count()) {
		running = append(running, f.enterNoAlternative(0))
	}
	return running
}

func TestSlotCount(t *testing.T) {
	f := newFixture(t, 3, slots.DefaultLimits())
	running := f.fill()
	waiting := f.enterNoAlternative(0)
	f.expectState("the fourth request at three slots", waiting, slots.Waiting)
	f.release(running[1], slots.Completed)
	f.expectState("the fourth request after a release", waiting, slots.Running)
	if f.wakeups[waiting] != 1 {
		t.Errorf("the fourth request was woken %d times", f.wakeups[waiting])
	}
	f.release(running[1], slots.Completed) // a second release does nothing
	if f.Taken() != 3 {
		t.Errorf("%d slots taken", f.Taken())
	}
	f.SetCount(f.now, 4)
	f.expectState("one more slot", f.enterNoAlternative(0), slots.Running)
	f.SetCount(f.now, 2)
	next := f.enterNoAlternative(0)
	f.release(running[0], slots.Completed)
	f.release(running[2], slots.Completed)
	f.expectState("after two of four requests ended, with two slots", next, slots.Waiting)
	f.release(waiting, slots.Completed)
	f.expectState("after three of four requests ended", next, slots.Running)
}

func TestUnknownCountIsUnbounded(t *testing.T) {
	f := newFixture(t, 1, slots.DefaultLimits())
	f.fill()
	waiting := f.enterNoAlternative(0)
	f.SetCount(f.now, 0)
	f.expectState("a waiting request when the count becomes unknown", waiting, slots.Running)
	for range 100 {
		f.expectState("a request while the count is unknown", f.enterNoAlternative(0), slots.Running)
	}
}

func TestQueueOrder(t *testing.T) {
	f := newFixture(t, 1, slots.DefaultLimits())
	f.fill()
	late := f.enter(1, 900*ms, 5*monotonic.Second, true)
	soon := f.enter(1, 600*ms, 5*monotonic.Second, true)
	same := f.enter(1, 600*ms, 5*monotonic.Second, true)
	untargeted := f.enter(1, 0, 2*monotonic.Second, true) // counts as due after a quarter of its remaining time
	low := f.enter(2, 100*ms, 5*monotonic.Second, true)
	high := f.enter(0, 5*monotonic.Second, 5*monotonic.Second, true)
	all, order := []*slots.Ticket{low, late, same, soon, untargeted, high}, []*slots.Ticket{}
	for range all {
		f.SetCount(f.now, f.Count()+1)
		for _, ticket := range all {
			if ticket.State() == slots.Running && !slices.Contains(order, ticket) {
				order = append(order, ticket)
			}
		}
	}
	if want := []*slots.Ticket{high, untargeted, soon, same, late, low}; !slices.Equal(order, want) {
		t.Errorf("the requests did not run in the order of priority, then of the time at which they are due, then of arrival")
	}
}

func TestRejectionByExpectedWait(t *testing.T) {
	type testCase struct {
		name                     string
		latencyTarget, remaining monotonic.Micros
		noAlternative            bool
		state                    slots.State
	}
	// With two slots and a service time of 100 ms, the first request in the queue expects to wait 50 ms and to end after 150 ms.
	for _, test := range []testCase{
		{"ends within its latency target", 151 * ms, 5 * monotonic.Second, false, slots.Waiting},
		{"ends after its latency target", 149 * ms, 5 * monotonic.Second, false, slots.Rejected},
		{"ends after its latency target, but has no alternative", 149 * ms, 5 * monotonic.Second, true, slots.Waiting},
		{"no latency target, waits less than a quarter of its time", 0, 201 * ms, false, slots.Waiting},
		{"no latency target, waits more than a quarter of its time", 0, 199 * ms, false, slots.Rejected},
		{"no alternative, ends before its deadline", 0, 151 * ms, true, slots.Waiting},
		{"no alternative, ends after its deadline", 0, 149 * ms, true, slots.Rejected},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 2, slots.DefaultLimits()).withSample(100 * ms)
			f.fill()
			ticket := f.enter(0, test.latencyTarget, test.remaining, test.noAlternative)
			f.expectState("the request", ticket, test.state)
			if test.state == slots.Rejected && ticket.RetryAfter() != 50*ms {
				t.Errorf("retry after %d", ticket.RetryAfter())
			}
		})
	}
	f := newFixture(t, 2, slots.DefaultLimits()).withSample(100 * ms)
	f.fill()
	for range 3 {
		f.enter(0, 500*ms, monotonic.Second, true)
	}
	if ticket := f.enter(0, 100*ms, monotonic.Second, false); ticket.State() != slots.Rejected || ticket.RetryAfter() != 200*ms {
		t.Errorf("with three requests ahead at two slots: state %d, retry after %d", ticket.State(), ticket.RetryAfter())
	}
	// Requests of lower priority don't count for the expected wait of one of higher priority.
	f = newFixture(t, 2, slots.DefaultLimits()).withSample(100 * ms)
	f.fill()
	for range 3 {
		f.enterNoAlternative(1)
	}
	f.expectState("the first request of its priority", f.enter(0, 160*ms, monotonic.Second, false), slots.Waiting)
}

// TestLateRequestsRunLast checks that under overload the requests that can be answered within their latency target go before those
// that can't any more, and that the number of the latter is bounded.
func TestLateRequestsRunLast(t *testing.T) {
	f := newFixture(t, 2, slots.DefaultLimits()).withSample(100 * ms)
	running := f.fill()
	late := f.enter(0, 120*ms, 5*monotonic.Second, true)
	f.expectState("the first late request", late, slots.Waiting)
	f.expectState("a second late request", f.enter(0, 120*ms, 5*monotonic.Second, true), slots.Rejected)
	becomesLate := f.enter(0, 200*ms, 5*monotonic.Second, true)
	inTime := f.enter(1, 800*ms, 5*monotonic.Second, false)
	f.expectState("a request of lower priority that is in time", inTime, slots.Waiting)
	f.now += 150 * ms
	f.release(running[0], slots.Released)
	f.expectState("the request that is in time", inTime, slots.Running)
	f.release(running[1], slots.Released)
	f.expectState("the first late request", late, slots.Running)
	f.expectState("the request that became late", becomesLate, slots.Waiting)
}

// TestServiceTimeByKind checks that the expected service time is that of the request's kind once enough requests of the kind were
// measured.
func TestServiceTimeByKind(t *testing.T) {
	f := newFixture(t, 1, slots.DefaultLimits())
	run := func(kind string, duration monotonic.Micros) {
		ticket := f.Enter(f.now, slots.Request{Deadline: f.now + 10*monotonic.Second, Kind: kind})
		f.now += duration
		f.release(ticket, slots.Completed)
	}
	for range 4 {
		run("lookup", 20*ms)
		run("form", 300*ms)
	}
	f.fill()
	enter := func(kind string) *slots.Ticket {
		return f.Enter(f.now, slots.Request{LatencyTarget: f.now + 320*ms, Deadline: f.now + 5*monotonic.Second, Kind: kind, NoAlternative: true})
	}
	f.expectState("a lookup, which ends in time", enter("lookup"), slots.Waiting)
	if form := enter("form"); form.State() != slots.Waiting || f.Waiting() != 2 {
		t.Fatal("one request may wait although it will be late")
	}
	f.expectState("a second late request", enter("form"), slots.Rejected)
	f.expectState("another lookup", enter("lookup"), slots.Waiting)
}

func TestQueueLimitAndDisplacement(t *testing.T) {
	limits := slots.DefaultLimits()
	limits.QueuePerSlot = 2
	f := newFixture(t, 1, limits).withSample(10 * ms)
	running := f.fill()
	first, last := f.enterNoAlternative(1), f.enterNoAlternative(2)
	f.expectState("a request of the same priority as the last one", f.enterNoAlternative(2), slots.Rejected)
	high := f.enterNoAlternative(0)
	f.expectState("a request of higher priority", high, slots.Waiting)
	f.expectState("the displaced request of the lowest priority", last, slots.Rejected)
	if f.wakeups[last] != 1 || last.RetryAfter() != 20*ms {
		t.Errorf("woken %d times, retry after %d", f.wakeups[last], last.RetryAfter())
	}
	f.expectState("a request of the lowest priority in the queue", f.enterNoAlternative(1), slots.Rejected)
	f.release(running[0], slots.Released)
	f.expectState("the request of higher priority", high, slots.Running)
	f.expectState("the other request", first, slots.Waiting)
	if f.Waiting() != 1 {
		t.Errorf("%d requests wait", f.Waiting())
	}
}

func TestRejectedWhenTooLateToStart(t *testing.T) {
	f := newFixture(t, 1, slots.DefaultLimits()).withSample(100 * ms)
	running := f.fill()
	ticket := f.enter(0, 0, 250*ms, true)
	if wake := f.WakeAt(ticket); wake != f.now+200*ms {
		t.Errorf("wakes after %d", wake-f.now)
	}
	f.advance(200*ms - 1)
	f.expectState("more than half the mean service time left", ticket, slots.Waiting)
	f.advance(1)
	f.expectState("half the mean service time left", ticket, slots.Rejected)
	// A ticket that became too late since the last call is not started.
	ticket, next := f.enter(0, 0, 250*ms, true), f.enterNoAlternative(1)
	f.now += 220 * ms
	f.release(running[0], slots.Released)
	f.expectState("the ticket that became too late", ticket, slots.Rejected)
	f.expectState("the next ticket", next, slots.Running)
}

// TestStartBy checks that a request with a StartBy long before its deadline is rejected at that time, or at once if its expected wait
// is longer.
func TestStartBy(t *testing.T) {
	f := newFixture(t, 2, slots.DefaultLimits()).withSample(100 * ms)
	f.fill()
	request := slots.Request{Deadline: f.now + 5*monotonic.Second, StartBy: f.now + 60*ms, NoAlternative: true}
	ticket := f.Enter(f.now, request)
	f.expectState("the first request", ticket, slots.Waiting)
	if f.WakeAt(ticket) != request.StartBy {
		t.Errorf("wakes after %d", f.WakeAt(ticket)-f.now)
	}
	f.expectState("the second request, which expects to wait 100 ms", f.Enter(f.now, request), slots.Rejected)
	f.advance(60 * ms)
	f.expectState("the first request after its StartBy", ticket, slots.Rejected)
}

func TestLingering(t *testing.T) {
	f := newFixture(t, 2, slots.DefaultLimits()).withSample(100 * ms)
	first := f.enter(0, 0, 400*ms, false)
	f.enterNoAlternative(0)
	waiting := f.enterNoAlternative(0)
	f.release(first, slots.Uncertain)
	f.expectState("while the backend may still work on the ended request", waiting, slots.Waiting)
	if f.wakeups[waiting] != 1 || f.WakeAt(waiting) != f.now+405*ms {
		t.Errorf("woken %d times, wakes after %d: it does not watch the lingering slot", f.wakeups[waiting], f.WakeAt(waiting)-f.now)
	}
	if f.Taken() != 2 || f.Running() != 1 {
		t.Errorf("%d taken, %d running", f.Taken(), f.Running())
	}
	// A ticket that gets ahead of the watcher in the queue doesn't replace it. If the watcher leaves the queue, another ticket takes
	// its place.
	ahead := f.enter(0, 900*ms, monotonic.Second, true)
	f.expectState("the ticket ahead of the watcher", ahead, slots.Waiting)
	if f.WakeAt(ahead) != f.now+950*ms {
		t.Errorf("two tickets watch the lingering slot")
	}
	f.advance(404 * ms)
	f.expectState("before the end of the deadline's margin", ahead, slots.Waiting)
	f.advance(ms)
	f.expectState("after the deadline's margin", ahead, slots.Running)
	f.expectState("the other ticket", waiting, slots.Waiting)
	if f.WakeAt(waiting) < f.now+5*monotonic.Second {
		t.Errorf("no slot lingers, but the ticket wakes after %d", f.WakeAt(waiting)-f.now)
	}
}

func TestLingerWatcherIsReplaced(t *testing.T) {
	f := newFixture(t, 1, slots.DefaultLimits()).withSample(10 * ms)
	released := f.enter(0, 0, monotonic.Second, false)
	watcher, other := f.enter(0, 0, 1100*ms, true), f.enterNoAlternative(1)
	f.release(released, slots.Uncertain)
	if f.WakeAt(watcher) != f.now+1005*ms {
		t.Errorf("the first ticket is not the watcher")
	}
	f.Flush(f.now)
	f.expectState("flushed", watcher, slots.Rejected)
	f.expectState("flushed", other, slots.Rejected)
	next := f.enter(0, 0, 3*monotonic.Second, true)
	if f.WakeAt(next) != f.now+1005*ms {
		t.Errorf("no ticket watches the lingering slot")
	}
	f.expectState("a request that can't wait until the only slot is free", f.enter(0, 900*ms, 3*monotonic.Second, false), slots.Rejected)
}

func TestMaxLinger(t *testing.T) {
	limits := slots.DefaultLimits()
	limits.MaxLinger = 50 * ms
	f := newFixture(t, 1, limits)
	f.release(f.enterNoAlternative(0), slots.Uncertain)
	f.advance(50*ms - 1)
	if f.Taken() != 1 {
		t.Error("the slot was freed before MaxLinger")
	}
	f.advance(1)
	if f.Taken() != 0 {
		t.Error("the slot was not freed after MaxLinger")
	}
}

func TestFlush(t *testing.T) {
	f := newFixture(t, 1, slots.DefaultLimits()).withSample(10 * ms)
	f.fill()
	waiting := []*slots.Ticket{f.enterNoAlternative(0), f.enterNoAlternative(1), f.enterNoAlternative(2)}
	f.Flush(f.now)
	for _, ticket := range waiting {
		f.expectState("flushed", ticket, slots.Rejected)
		if f.wakeups[ticket] != 1 {
			t.Errorf("woken %d times", f.wakeups[ticket])
		}
	}
	if f.Waiting() != 0 || f.Taken() != 1 {
		t.Errorf("%d requests wait, %d slots taken", f.Waiting(), f.Taken())
	}
}

func TestServiceTimeIsMeasured(t *testing.T) {
	f := newFixture(t, 1, slots.DefaultLimits())
	if f.Measured() || f.ServiceTime() != 50*ms {
		t.Errorf("service time %d before any sample", f.ServiceTime())
	}
	f.withSample(100 * ms)
	if f.ServiceTime() != 100*ms {
		t.Errorf("service time %d after the first sample", f.ServiceTime())
	}
	f.withSample(200 * ms)
	if f.ServiceTime() != 150*ms {
		t.Errorf("service time %d after two samples", f.ServiceTime())
	}
	ticket := f.enterNoAlternative(0)
	f.now += monotonic.Minute
	f.release(ticket, slots.Released)
	if f.ServiceTime() != 150*ms {
		t.Errorf("a released request was counted as a sample")
	}
	for range 200 {
		f.withSample(20 * ms)
	}
	if mean := f.ServiceTime(); mean < 19*ms || mean > 21*ms {
		t.Errorf("service time %d long after the change to 20 ms", mean)
	}
}

// TestInvariants checks the pool's invariants over random sequences of calls, in which Advance is called only when the WakeAt of a
// waiting ticket has passed.
func TestInvariants(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		limits := slots.DefaultLimits()
		limits.QueuePerSlot = 1 + random.IntN(4)
		f := newFixture(t, uint32(1+random.IntN(4)), limits)
		shrunk := false // the count was reduced, and more slots may be taken than there are
		var live []*slots.Ticket
		for range 400 {
			f.now += monotonic.Micros(random.IntN(20000))
			for _, ticket := range live { // what the pool's owner does
				if ticket.State() == slots.Waiting && f.now >= f.WakeAt(ticket) {
					f.Advance(f.now)
				}
			}
			switch pick := random.IntN(20); {
			case pick < 11:
				priority, target := uint32(random.IntN(3)), monotonic.Micros(random.IntN(300000))
				deadline, noAlternative := monotonic.Micros(1+random.IntN(600000)), random.IntN(2) == 0
				live = append(live, f.enter(priority, target, deadline, noAlternative))
			case pick < 18 && len(live) > 0:
				f.release(live[random.IntN(len(live))], slots.Outcome(random.IntN(3)))
			case pick == 18:
				count := uint32(1 + random.IntN(4))
				shrunk = shrunk || count < f.Count()
				f.SetCount(f.now, count)
			case pick == 19 && random.IntN(5) == 0:
				f.Flush(f.now)
			}
			running, waiting := 0, 0
			remaining := live[:0]
			for _, ticket := range live {
				switch ticket.State() {
				case slots.Running:
					running++
				case slots.Waiting:
					waiting++
					if f.WakeAt(ticket) < f.now {
						t.Fatalf("seed %d: a ticket waits after its latest start", seed)
					}
				case slots.Rejected:
					if ticket.RetryAfter() <= 0 {
						t.Fatalf("seed %d: a ticket was rejected without a RetryAfter", seed)
					}
				}
				if ticket.State() <= slots.Running {
					remaining = append(remaining, ticket)
				}
			}
			live = remaining
			if running != f.Running() || waiting != f.Waiting() {
				t.Fatalf("seed %d: the pool counts %d running and %d waiting tickets, there are %d and %d",
					seed, f.Running(), f.Waiting(), running, waiting)
			}
			if !shrunk && f.Taken() > int(f.Count()) {
				t.Fatalf("seed %d: %d of %d slots taken", seed, f.Taken(), f.Count())
			}
			if waiting > 0 && f.Taken() < int(f.Count()) {
				t.Fatalf("seed %d: %d tickets wait although a slot is free", seed, waiting)
			}
			if shrunk && f.Taken() <= int(f.Count()) {
				shrunk = false
			}
		}
	}
}
