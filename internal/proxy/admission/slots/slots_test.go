package slots_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
)

const ms = monotonic.Millisecond

// door is an admission with its clock, and what its tickets were woken for.
type fixture struct {
	*slots.Pool
	t       *testing.T
	now     monotonic.Micros
	wakeups map[*slots.Ticket]int
}

func newFixture(t *testing.T, count uint32, limits slots.Limits) *fixture {
	one := &fixture{Pool: slots.New(limits), t: t, now: monotonic.Minute, wakeups: map[*slots.Ticket]int{}}
	one.SetCount(one.now, count)
	return one
}

// ask enters with spans in place of moments; an aim of zero is none.
func (f *fixture) enter(priority uint32, latencyTarget, remaining monotonic.Micros, patient bool) *slots.Ticket {
	request := slots.Request{Priority: priority, Deadline: f.now + remaining, Patient: patient}
	if latencyTarget > 0 {
		request.LatencyTarget = f.now + latencyTarget
	}
	ticket := f.Enter(f.now, request)
	ticket.Wake = func() { f.wakeups[ticket]++ }
	return ticket
}

func (f *fixture) patient(priority uint32) *slots.Ticket {
	return f.enter(priority, 0, 10*monotonic.Second, true)
}

func (f *fixture) release(ticket *slots.Ticket, outcome slots.Outcome) {
	f.Release(f.now, ticket, outcome)
}

func (f *fixture) advance(duration monotonic.Micros) {
	f.now += duration
	f.Advance(f.now)
}

func (f *fixture) expectState(what string, ticket *slots.Ticket, state slots.State) {
	f.t.Helper()
	if ticket.State() != state {
		f.t.Errorf("%s: state %d, not %d", what, ticket.State(), state)
	}
}

// measured lets one request through that took so long.
func (f *fixture) withSample(duration monotonic.Micros) *fixture {
	ticket := f.patient(0)
	f.now += duration
	f.release(ticket, slots.Completed)
	return f
}

func (f *fixture) fill() (running []*slots.Ticket) {
	for f.Taken() < int(f.Count()) {
		running = append(running, f.patient(0))
	}
	return running
}

func TestSlotCount(t *testing.T) {
	one := newFixture(t, 3, slots.DefaultLimits())
	running := one.fill()
	waiting := one.patient(0)
	one.expectState("the fourth", waiting, slots.Waiting)
	one.release(running[1], slots.Completed)
	one.expectState("the fourth", waiting, slots.Running)
	if one.wakeups[waiting] != 1 {
		t.Errorf("it was woken %d times", one.wakeups[waiting])
	}
	one.release(running[1], slots.Completed) // again: nothing
	if one.Taken() != 3 {
		t.Errorf("%d slots taken", one.Taken())
	}
	one.SetCount(one.now, 4)
	one.expectState("one more slot", one.patient(0), slots.Running)
	one.SetCount(one.now, 2)
	next := one.patient(0)
	one.release(running[0], slots.Completed)
	one.release(running[2], slots.Completed)
	one.expectState("two of four left and two slots", next, slots.Waiting)
	one.release(waiting, slots.Completed)
	one.expectState("three left", next, slots.Running)
}

func TestUnknownCountIsUnbounded(t *testing.T) {
	one := newFixture(t, 1, slots.DefaultLimits())
	one.fill()
	waiting := one.patient(0)
	one.SetCount(one.now, 0)
	one.expectState("the count became unknown", waiting, slots.Running)
	for range 100 {
		one.expectState("unknown", one.patient(0), slots.Running)
	}
}

func TestQueueOrder(t *testing.T) {
	one := newFixture(t, 1, slots.DefaultLimits())
	one.fill()
	late := one.enter(1, 900*ms, 5*monotonic.Second, true)
	soon := one.enter(1, 600*ms, 5*monotonic.Second, true)
	same := one.enter(1, 600*ms, 5*monotonic.Second, true)
	aimless := one.enter(1, 0, 2*monotonic.Second, true) // taken as due within a quarter of its time
	low := one.enter(2, 100*ms, 5*monotonic.Second, true)
	high := one.enter(0, 5*monotonic.Second, 5*monotonic.Second, true)
	all, order := []*slots.Ticket{low, late, same, soon, aimless, high}, []*slots.Ticket{}
	for range all {
		one.SetCount(one.now, one.Count()+1)
		for _, ticket := range all {
			if ticket.State() == slots.Running && !slices.Contains(order, ticket) {
				order = append(order, ticket)
			}
		}
	}
	if want := []*slots.Ticket{high, aimless, soon, same, late, low}; !slices.Equal(order, want) {
		t.Errorf("not in the order of priority, then of what is due first, then of arrival")
	}
}

func TestRejectionByExpectedWait(t *testing.T) {
	type row struct {
		name                     string
		latencyTarget, remaining monotonic.Micros
		patient                  bool
		state                    slots.State
	}
	// Two slots of 100 ms each: the first waiter expects 50 ms, and 150 ms with its work.
	for _, row := range []row{
		{"it ends within its aim", 151 * ms, 5 * monotonic.Second, false, slots.Waiting},
		{"it ends after its aim", 149 * ms, 5 * monotonic.Second, false, slots.Rejected},
		{"it ends after its aim, but is patient", 149 * ms, 5 * monotonic.Second, true, slots.Waiting},
		{"no aim, within a quarter of its time", 0, 201 * ms, false, slots.Waiting},
		{"no aim, beyond a quarter of its time", 0, 199 * ms, false, slots.Rejected},
		{"patient, and it still ends in time", 0, 151 * ms, true, slots.Waiting},
		{"patient, but it ends too late", 0, 149 * ms, true, slots.Rejected},
	} {
		one := newFixture(t, 2, slots.DefaultLimits()).withSample(100 * ms)
		one.fill()
		ticket := one.enter(0, row.latencyTarget, row.remaining, row.patient)
		one.expectState(row.name, ticket, row.state)
		if row.state == slots.Rejected && ticket.RetryAfter() != 50*ms {
			t.Errorf("%s: told to come back after %d", row.name, ticket.RetryAfter())
		}
	}
	one := newFixture(t, 2, slots.DefaultLimits()).withSample(100 * ms)
	one.fill()
	for range 3 {
		one.enter(0, 500*ms, monotonic.Second, true)
	}
	if ticket := one.enter(0, 100*ms, monotonic.Second, false); ticket.State() != slots.Rejected || ticket.RetryAfter() != 200*ms {
		t.Errorf("with three ahead at two slots: state %d, told %d", ticket.State(), ticket.RetryAfter())
	}
	// Whoever has a better priority has only its like ahead.
	one = newFixture(t, 2, slots.DefaultLimits()).withSample(100 * ms)
	one.fill()
	for range 3 {
		one.patient(1)
	}
	one.expectState("first of its priority", one.enter(0, 160*ms, monotonic.Second, false), slots.Waiting)
}

// TestLateRequestsRunLast: under a rush those who can be answered within their aim go before those who can't any more, whose number is
// bounded; and no request that is late already takes a place from one that comes in time.
func TestLateRequestsRunLast(t *testing.T) {
	one := newFixture(t, 2, slots.DefaultLimits()).withSample(100 * ms)
	holders := one.fill()
	late := one.enter(0, 120*ms, 5*monotonic.Second, true)
	one.expectState("late, with nobody like it", late, slots.Waiting)
	one.expectState("late, with another one there", one.enter(0, 120*ms, 5*monotonic.Second, true), slots.Rejected)
	becomes := one.enter(0, 200*ms, 5*monotonic.Second, true)
	inTime := one.enter(1, 800*ms, 5*monotonic.Second, false)
	one.expectState("in time, though of a lower priority", inTime, slots.Waiting)
	one.now += 150 * ms
	one.release(holders[0], slots.Released)
	one.expectState("in time", inTime, slots.Running)
	one.release(holders[1], slots.Released)
	one.expectState("the first of the late", late, slots.Running)
	one.expectState("the one that became late", becomes, slots.Waiting)
}

// TestServiceTimeByKind: what a request is expected to take goes by its kind, once enough of it were measured.
func TestServiceTimeByKind(t *testing.T) {
	one := newFixture(t, 1, slots.DefaultLimits())
	run := func(kind string, duration monotonic.Micros) {
		ticket := one.Enter(one.now, slots.Request{Deadline: one.now + 10*monotonic.Second, Kind: kind})
		one.now += duration
		one.release(ticket, slots.Completed)
	}
	for range 4 {
		run("lookup", 20*ms)
		run("form", 300*ms)
	}
	one.fill()
	request := func(kind string) *slots.Ticket {
		return one.Enter(one.now, slots.Request{LatencyTarget: one.now + 320*ms, Deadline: one.now + 5*monotonic.Second, Kind: kind, Patient: true})
	}
	one.expectState("a lookup ends in time", request("lookup"), slots.Waiting)
	if form := request("form"); form.State() != slots.Waiting || one.Waiting() != 2 {
		t.Fatal("one form may wait though it will be late")
	}
	one.expectState("a second late one", request("form"), slots.Rejected)
	one.expectState("another lookup", request("lookup"), slots.Waiting)
}

func TestQueueLimitAndDisplacement(t *testing.T) {
	limits := slots.DefaultLimits()
	limits.QueuePerSlot = 2
	one := newFixture(t, 1, limits).withSample(10 * ms)
	holder := one.fill()
	first, last := one.patient(1), one.patient(2)
	one.expectState("the same priority as the last", one.patient(2), slots.Rejected)
	high := one.patient(0)
	one.expectState("a better priority", high, slots.Waiting)
	one.expectState("the lowest in its stead", last, slots.Rejected)
	if one.wakeups[last] != 1 || last.RetryAfter() != 20*ms {
		t.Errorf("woken %d times, told %d", one.wakeups[last], last.RetryAfter())
	}
	one.expectState("of the lowest priority left", one.patient(1), slots.Rejected)
	one.release(holder[0], slots.Released)
	one.expectState("the better one", high, slots.Running)
	one.expectState("the other", first, slots.Waiting)
	if one.Waiting() != 1 {
		t.Errorf("%d wait", one.Waiting())
	}
}

func TestRejectedWhenTooLateToStart(t *testing.T) {
	one := newFixture(t, 1, slots.DefaultLimits()).withSample(100 * ms)
	holder := one.fill()
	ticket := one.enter(0, 0, 250*ms, true)
	if wake := one.WakeAt(ticket); wake != one.now+200*ms {
		t.Errorf("wakes after %d", wake-one.now)
	}
	one.advance(200*ms - 1)
	one.expectState("half the mean work and more left", ticket, slots.Waiting)
	one.advance(1)
	one.expectState("half the mean work left", ticket, slots.Rejected)
	// One that became too late unseen isn't let in.
	ticket, next := one.enter(0, 0, 250*ms, true), one.patient(1)
	one.now += 220 * ms
	one.release(holder[0], slots.Released)
	one.expectState("too late", ticket, slots.Rejected)
	one.expectState("the next", next, slots.Running)
}

// TestStartBy: whoever must have started before its cutoff comes near is refused then, and at once if that's to be expected.
func TestStartBy(t *testing.T) {
	one := newFixture(t, 2, slots.DefaultLimits()).withSample(100 * ms)
	one.fill()
	request := slots.Request{Deadline: one.now + 5*monotonic.Second, StartBy: one.now + 60*ms, Patient: true}
	ticket := one.Enter(one.now, request)
	one.expectState("the first", ticket, slots.Waiting)
	if one.WakeAt(ticket) != request.StartBy {
		t.Errorf("wakes after %d", one.WakeAt(ticket)-one.now)
	}
	one.expectState("the second, which has to expect 100 ms", one.Enter(one.now, request), slots.Rejected)
	one.advance(60 * ms)
	one.expectState("its moment is past", ticket, slots.Rejected)
}

func TestLingering(t *testing.T) {
	one := newFixture(t, 2, slots.DefaultLimits()).withSample(100 * ms)
	first := one.enter(0, 0, 400*ms, false)
	one.patient(0)
	waiting := one.patient(0)
	one.release(first, slots.Uncertain)
	one.expectState("the backend may still work on it", waiting, slots.Waiting)
	if one.wakeups[waiting] != 1 || one.WakeAt(waiting) != one.now+405*ms {
		t.Errorf("woken %d times, to wake after %d: nobody sees to the slot's end", one.wakeups[waiting], one.WakeAt(waiting)-one.now)
	}
	if one.Taken() != 2 || one.Running() != 1 {
		t.Errorf("%d taken, %d running", one.Taken(), one.Running())
	}
	// A better one doesn't take the duty over; if the one that has it goes, another gets it.
	better := one.enter(0, 900*ms, monotonic.Second, true)
	one.expectState("better", better, slots.Waiting)
	if one.WakeAt(better) != one.now+950*ms {
		t.Errorf("two see to it")
	}
	one.advance(404 * ms)
	one.expectState("before the cutoff's margin", better, slots.Waiting)
	one.advance(ms)
	one.expectState("after it", better, slots.Running)
	one.expectState("the other", waiting, slots.Waiting)
	if one.WakeAt(waiting) < one.now+5*monotonic.Second {
		t.Errorf("nothing lingers, and it wakes after %d", one.WakeAt(waiting)-one.now)
	}
}

func TestLingerWatcherIsReplaced(t *testing.T) {
	one := newFixture(t, 1, slots.DefaultLimits()).withSample(10 * ms)
	released := one.enter(0, 0, monotonic.Second, false)
	watcher, other := one.enter(0, 0, 1100*ms, true), one.patient(1)
	one.release(released, slots.Uncertain)
	if one.WakeAt(watcher) != one.now+1005*ms {
		t.Errorf("the first doesn't see to it")
	}
	one.Flush(one.now)
	one.expectState("flushed", watcher, slots.Rejected)
	one.expectState("flushed", other, slots.Rejected)
	next := one.enter(0, 0, 3*monotonic.Second, true)
	if one.WakeAt(next) != one.now+1005*ms {
		t.Errorf("nobody sees to the slot's end")
	}
	one.expectState("all linger: refused until then", one.enter(0, 900*ms, 3*monotonic.Second, false), slots.Rejected)
}

func TestMaxLinger(t *testing.T) {
	limits := slots.DefaultLimits()
	limits.MaxLinger = 50 * ms
	one := newFixture(t, 1, limits)
	one.release(one.patient(0), slots.Uncertain)
	one.advance(50*ms - 1)
	if one.Taken() != 1 {
		t.Error("given back too early")
	}
	one.advance(1)
	if one.Taken() != 0 {
		t.Error("not given back")
	}
}

func TestFlush(t *testing.T) {
	one := newFixture(t, 1, slots.DefaultLimits()).withSample(10 * ms)
	one.fill()
	waiting := []*slots.Ticket{one.patient(0), one.patient(1), one.patient(2)}
	one.Flush(one.now)
	for _, ticket := range waiting {
		one.expectState("flushed", ticket, slots.Rejected)
		if one.wakeups[ticket] != 1 {
			t.Errorf("woken %d times", one.wakeups[ticket])
		}
	}
	if one.Waiting() != 0 || one.Taken() != 1 {
		t.Errorf("%d wait, %d taken", one.Waiting(), one.Taken())
	}
}

func TestServiceTimeIsMeasured(t *testing.T) {
	one := newFixture(t, 1, slots.DefaultLimits())
	if one.Measured() || one.ServiceTime() != 50*ms {
		t.Errorf("%d before any measure", one.ServiceTime())
	}
	one.withSample(100 * ms)
	if one.ServiceTime() != 100*ms {
		t.Errorf("%d after the first", one.ServiceTime())
	}
	one.withSample(200 * ms)
	if one.ServiceTime() != 150*ms {
		t.Errorf("%d after two", one.ServiceTime())
	}
	ticket := one.patient(0)
	one.now += monotonic.Minute
	one.release(ticket, slots.Released)
	if one.ServiceTime() != 150*ms {
		t.Errorf("what was no work counted")
	}
	for range 200 {
		one.withSample(20 * ms)
	}
	if work := one.ServiceTime(); work < 19*ms || work > 21*ms {
		t.Errorf("%d long after the change", work)
	}
}

// TestInvariants lets everything happen in every order that chance gives, and waiters only wake when they are woken or
// when they said they would.
func TestInvariants(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		limits := slots.DefaultLimits()
		limits.QueuePerSlot = 1 + random.IntN(4)
		one := newFixture(t, uint32(1+random.IntN(4)), limits)
		shrunk := false
		var live []*slots.Ticket
		for range 400 {
			one.now += monotonic.Micros(random.IntN(20000))
			for _, ticket := range live { // those whose moment came call, as their owner would
				if ticket.State() == slots.Waiting && one.now >= one.WakeAt(ticket) {
					one.Advance(one.now)
				}
			}
			switch pick := random.IntN(20); {
			case pick < 11:
				live = append(live, one.enter(uint32(random.IntN(3)), monotonic.Micros(random.IntN(300000)), monotonic.Micros(1+random.IntN(600000)), random.IntN(2) == 0))
			case pick < 18 && len(live) > 0:
				one.release(live[random.IntN(len(live))], slots.Outcome(random.IntN(3)))
			case pick == 18:
				count := uint32(1 + random.IntN(4))
				shrunk = shrunk || count < one.Count()
				one.SetCount(one.now, count)
			case pick == 19 && random.IntN(5) == 0:
				one.Flush(one.now)
			}
			running, waiting := 0, 0
			remaining := live[:0]
			for _, ticket := range live {
				switch ticket.State() {
				case slots.Running:
					running++
				case slots.Waiting:
					waiting++
					if one.WakeAt(ticket) < one.now {
						t.Fatalf("seed %d: one waits whose moment is past", seed)
					}
				case slots.Rejected:
					if ticket.RetryAfter() <= 0 {
						t.Fatalf("seed %d: refused without a time to come back", seed)
					}
				}
				if ticket.State() <= slots.Running {
					remaining = append(remaining, ticket)
				}
			}
			live = remaining
			if running != one.Running() || waiting != one.Waiting() {
				t.Fatalf("seed %d: counts %d running and %d waiting, there are %d and %d", seed, one.Running(), one.Waiting(), running, waiting)
			}
			if !shrunk && one.Taken() > int(one.Count()) {
				t.Fatalf("seed %d: %d taken of %d", seed, one.Taken(), one.Count())
			}
			if waiting > 0 && one.Taken() < int(one.Count()) {
				t.Fatalf("seed %d: %d wait at a free slot", seed, waiting)
			}
			if shrunk && one.Taken() <= int(one.Count()) {
				shrunk = false
			}
		}
	}
}
