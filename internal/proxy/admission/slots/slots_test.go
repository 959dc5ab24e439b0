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
type door struct {
	*slots.Slots
	t    *testing.T
	now  monotonic.Micros
	woke map[*slots.Ticket]int
}

func newDoor(t *testing.T, count uint32, terms slots.Terms) *door {
	one := &door{Slots: slots.New(terms), t: t, now: monotonic.Minute, woke: map[*slots.Ticket]int{}}
	one.SetCount(one.now, count)
	return one
}

// ask enters with spans in place of moments; an aim of zero is none.
func (door *door) ask(priority uint32, aim, remaining monotonic.Micros, patient bool) *slots.Ticket {
	ask := slots.Ask{Priority: priority, Cutoff: door.now + remaining, Patient: patient}
	if aim > 0 {
		ask.Aim = door.now + aim
	}
	ticket := door.Enter(door.now, ask)
	ticket.Wake = func() { door.woke[ticket]++ }
	return ticket
}

func (door *door) patient(priority uint32) *slots.Ticket {
	return door.ask(priority, 0, 10*monotonic.Second, true)
}

func (door *door) leave(ticket *slots.Ticket, end slots.End) { door.Leave(door.now, ticket, end) }

func (door *door) pass(span monotonic.Micros) {
	door.now += span
	door.Advance(door.now)
}

func (door *door) is(what string, ticket *slots.Ticket, state slots.State) {
	door.t.Helper()
	if ticket.State() != state {
		door.t.Errorf("%s: state %d, not %d", what, ticket.State(), state)
	}
}

// measured lets one request through that took so long.
func (door *door) measured(span monotonic.Micros) *door {
	ticket := door.patient(0)
	door.now += span
	door.leave(ticket, slots.Worked)
	return door
}

func (door *door) fill() (running []*slots.Ticket) {
	for door.Taken() < int(door.Count()) {
		running = append(running, door.patient(0))
	}
	return running
}

func TestCountIsKeptExactly(t *testing.T) {
	one := newDoor(t, 3, slots.Default())
	running := one.fill()
	waiting := one.patient(0)
	one.is("the fourth", waiting, slots.Waiting)
	one.leave(running[1], slots.Worked)
	one.is("the fourth", waiting, slots.Running)
	if one.woke[waiting] != 1 {
		t.Errorf("it was woken %d times", one.woke[waiting])
	}
	one.leave(running[1], slots.Worked) // again: nothing
	if one.Taken() != 3 {
		t.Errorf("%d slots taken", one.Taken())
	}
	one.SetCount(one.now, 4)
	one.is("one more slot", one.patient(0), slots.Running)
	one.SetCount(one.now, 2)
	next := one.patient(0)
	one.leave(running[0], slots.Worked)
	one.leave(running[2], slots.Worked)
	one.is("two of four left and two slots", next, slots.Waiting)
	one.leave(waiting, slots.Worked)
	one.is("three left", next, slots.Running)
}

func TestUnknownCountIsNoBound(t *testing.T) {
	one := newDoor(t, 1, slots.Default())
	one.fill()
	waiting := one.patient(0)
	one.SetCount(one.now, 0)
	one.is("the count became unknown", waiting, slots.Running)
	for range 100 {
		one.is("unknown", one.patient(0), slots.Running)
	}
}

func TestOrder(t *testing.T) {
	one := newDoor(t, 1, slots.Default())
	one.fill()
	late := one.ask(1, 900*ms, 5*monotonic.Second, true)
	soon := one.ask(1, 600*ms, 5*monotonic.Second, true)
	same := one.ask(1, 600*ms, 5*monotonic.Second, true)
	aimless := one.ask(1, 0, 2*monotonic.Second, true) // taken as due within a quarter of its time
	low := one.ask(2, 100*ms, 5*monotonic.Second, true)
	high := one.ask(0, 5*monotonic.Second, 5*monotonic.Second, true)
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

func TestRefusalsByExpectedWait(t *testing.T) {
	type row struct {
		what           string
		aim, remaining monotonic.Micros
		patient        bool
		state          slots.State
	}
	// Two slots of 100 ms each: the first waiter expects 50 ms, and 150 ms with its work.
	for _, row := range []row{
		{"it ends within its aim", 151 * ms, 5 * monotonic.Second, false, slots.Waiting},
		{"it ends after its aim", 149 * ms, 5 * monotonic.Second, false, slots.Refused},
		{"it ends after its aim, but is patient", 149 * ms, 5 * monotonic.Second, true, slots.Waiting},
		{"no aim, within a quarter of its time", 0, 201 * ms, false, slots.Waiting},
		{"no aim, beyond a quarter of its time", 0, 199 * ms, false, slots.Refused},
		{"patient, and it still ends in time", 0, 151 * ms, true, slots.Waiting},
		{"patient, but it ends too late", 0, 149 * ms, true, slots.Refused},
	} {
		one := newDoor(t, 2, slots.Default()).measured(100 * ms)
		one.fill()
		ticket := one.ask(0, row.aim, row.remaining, row.patient)
		one.is(row.what, ticket, row.state)
		if row.state == slots.Refused && ticket.RetryAfter() != 50*ms {
			t.Errorf("%s: told to come back after %d", row.what, ticket.RetryAfter())
		}
	}
	one := newDoor(t, 2, slots.Default()).measured(100 * ms)
	one.fill()
	for range 3 {
		one.ask(0, 500*ms, monotonic.Second, true)
	}
	if ticket := one.ask(0, 100*ms, monotonic.Second, false); ticket.State() != slots.Refused || ticket.RetryAfter() != 200*ms {
		t.Errorf("with three ahead at two slots: state %d, told %d", ticket.State(), ticket.RetryAfter())
	}
	// Whoever has a better priority has only its like ahead.
	one = newDoor(t, 2, slots.Default()).measured(100 * ms)
	one.fill()
	for range 3 {
		one.patient(1)
	}
	one.is("first of its priority", one.ask(0, 160*ms, monotonic.Second, false), slots.Waiting)
}

// TestLateGoLast: under a rush those who can be answered within their aim go before those who can't any more, whose number is
// bounded; and no request that is late already takes a place from one that comes in time.
func TestLateGoLast(t *testing.T) {
	one := newDoor(t, 2, slots.Default()).measured(100 * ms)
	holders := one.fill()
	late := one.ask(0, 120*ms, 5*monotonic.Second, true)
	one.is("late, with nobody like it", late, slots.Waiting)
	one.is("late, with another one there", one.ask(0, 120*ms, 5*monotonic.Second, true), slots.Refused)
	becomes := one.ask(0, 200*ms, 5*monotonic.Second, true)
	inTime := one.ask(1, 800*ms, 5*monotonic.Second, false)
	one.is("in time, though of a lower priority", inTime, slots.Waiting)
	one.now += 150 * ms
	one.leave(holders[0], slots.Over)
	one.is("in time", inTime, slots.Running)
	one.leave(holders[1], slots.Over)
	one.is("the first of the late", late, slots.Running)
	one.is("the one that became late", becomes, slots.Waiting)
}

// TestKinds: what a request is expected to take goes by its kind, once enough of it were measured.
func TestKinds(t *testing.T) {
	one := newDoor(t, 1, slots.Default())
	run := func(kind string, span monotonic.Micros) {
		ticket := one.Enter(one.now, slots.Ask{Cutoff: one.now + 10*monotonic.Second, Kind: kind})
		one.now += span
		one.leave(ticket, slots.Worked)
	}
	for range 4 {
		run("lookup", 20*ms)
		run("form", 300*ms)
	}
	one.fill()
	ask := func(kind string) *slots.Ticket {
		return one.Enter(one.now, slots.Ask{Aim: one.now + 320*ms, Cutoff: one.now + 5*monotonic.Second, Kind: kind, Patient: true})
	}
	one.is("a lookup ends in time", ask("lookup"), slots.Waiting)
	if form := ask("form"); form.State() != slots.Waiting || one.Waiting() != 2 {
		t.Fatal("one form may wait though it will be late")
	}
	one.is("a second late one", ask("form"), slots.Refused)
	one.is("another lookup", ask("lookup"), slots.Waiting)
}

func TestLengthAndDisplacement(t *testing.T) {
	terms := slots.Default()
	terms.WaitingPerSlot = 2
	one := newDoor(t, 1, terms).measured(10 * ms)
	holder := one.fill()
	first, last := one.patient(1), one.patient(2)
	one.is("the same priority as the last", one.patient(2), slots.Refused)
	high := one.patient(0)
	one.is("a better priority", high, slots.Waiting)
	one.is("the lowest in its stead", last, slots.Refused)
	if one.woke[last] != 1 || last.RetryAfter() != 20*ms {
		t.Errorf("woken %d times, told %d", one.woke[last], last.RetryAfter())
	}
	one.is("of the lowest priority left", one.patient(1), slots.Refused)
	one.leave(holder[0], slots.Over)
	one.is("the better one", high, slots.Running)
	one.is("the other", first, slots.Waiting)
	if one.Waiting() != 1 {
		t.Errorf("%d wait", one.Waiting())
	}
}

func TestTooLateToStart(t *testing.T) {
	one := newDoor(t, 1, slots.Default()).measured(100 * ms)
	holder := one.fill()
	ticket := one.ask(0, 0, 250*ms, true)
	if wake := one.WakeAt(ticket); wake != one.now+200*ms {
		t.Errorf("wakes after %d", wake-one.now)
	}
	one.pass(200*ms - 1)
	one.is("half the mean work and more left", ticket, slots.Waiting)
	one.pass(1)
	one.is("half the mean work left", ticket, slots.Refused)
	// One that became too late unseen isn't let in.
	ticket, next := one.ask(0, 0, 250*ms, true), one.patient(1)
	one.now += 220 * ms
	one.leave(holder[0], slots.Over)
	one.is("too late", ticket, slots.Refused)
	one.is("the next", next, slots.Running)
}

// TestStartBy: whoever must have started before its cutoff comes near is refused then, and at once if that's to be expected.
func TestStartBy(t *testing.T) {
	one := newDoor(t, 2, slots.Default()).measured(100 * ms)
	one.fill()
	ask := slots.Ask{Cutoff: one.now + 5*monotonic.Second, StartBy: one.now + 60*ms, Patient: true}
	ticket := one.Enter(one.now, ask)
	one.is("the first", ticket, slots.Waiting)
	if one.WakeAt(ticket) != ask.StartBy {
		t.Errorf("wakes after %d", one.WakeAt(ticket)-one.now)
	}
	one.is("the second, which has to expect 100 ms", one.Enter(one.now, ask), slots.Refused)
	one.pass(60 * ms)
	one.is("its moment is past", ticket, slots.Refused)
}

func TestLingering(t *testing.T) {
	one := newDoor(t, 2, slots.Default()).measured(100 * ms)
	first := one.ask(0, 0, 400*ms, false)
	one.patient(0)
	waiting := one.patient(0)
	one.leave(first, slots.Unsure)
	one.is("the backend may still work on it", waiting, slots.Waiting)
	if one.woke[waiting] != 1 || one.WakeAt(waiting) != one.now+405*ms {
		t.Errorf("woken %d times, to wake after %d: nobody sees to the slot's end", one.woke[waiting], one.WakeAt(waiting)-one.now)
	}
	if one.Taken() != 2 || one.Running() != 1 {
		t.Errorf("%d taken, %d running", one.Taken(), one.Running())
	}
	// A better one doesn't take the duty over; if the one that has it goes, another gets it.
	better := one.ask(0, 900*ms, monotonic.Second, true)
	one.is("better", better, slots.Waiting)
	if one.WakeAt(better) != one.now+950*ms {
		t.Errorf("two see to it")
	}
	one.pass(404 * ms)
	one.is("before the cutoff's margin", better, slots.Waiting)
	one.pass(ms)
	one.is("after it", better, slots.Running)
	one.is("the other", waiting, slots.Waiting)
	if one.WakeAt(waiting) < one.now+5*monotonic.Second {
		t.Errorf("nothing lingers, and it wakes after %d", one.WakeAt(waiting)-one.now)
	}
}

func TestLingeringDutyIsHandedOn(t *testing.T) {
	one := newDoor(t, 1, slots.Default()).measured(10 * ms)
	held := one.ask(0, 0, monotonic.Second, false)
	keeper, other := one.ask(0, 0, 1100*ms, true), one.patient(1)
	one.leave(held, slots.Unsure)
	if one.WakeAt(keeper) != one.now+1005*ms {
		t.Errorf("the first doesn't see to it")
	}
	one.Flush(one.now)
	one.is("flushed", keeper, slots.Refused)
	one.is("flushed", other, slots.Refused)
	next := one.ask(0, 0, 3*monotonic.Second, true)
	if one.WakeAt(next) != one.now+1005*ms {
		t.Errorf("nobody sees to the slot's end")
	}
	one.is("all linger: refused until then", one.ask(0, 900*ms, 3*monotonic.Second, false), slots.Refused)
}

func TestSetLinger(t *testing.T) {
	terms := slots.Default()
	terms.MostLinger = 50 * ms
	one := newDoor(t, 1, terms)
	one.leave(one.patient(0), slots.Unsure)
	one.pass(50*ms - 1)
	if one.Taken() != 1 {
		t.Error("given back too early")
	}
	one.pass(1)
	if one.Taken() != 0 {
		t.Error("not given back")
	}
}

func TestFlush(t *testing.T) {
	one := newDoor(t, 1, slots.Default()).measured(10 * ms)
	one.fill()
	waiting := []*slots.Ticket{one.patient(0), one.patient(1), one.patient(2)}
	one.Flush(one.now)
	for _, ticket := range waiting {
		one.is("flushed", ticket, slots.Refused)
		if one.woke[ticket] != 1 {
			t.Errorf("woken %d times", one.woke[ticket])
		}
	}
	if one.Waiting() != 0 || one.Taken() != 1 {
		t.Errorf("%d wait, %d taken", one.Waiting(), one.Taken())
	}
}

func TestWorkIsMeasured(t *testing.T) {
	one := newDoor(t, 1, slots.Default())
	if one.Measured() || one.Work() != 50*ms {
		t.Errorf("%d before any measure", one.Work())
	}
	one.measured(100 * ms)
	if one.Work() != 100*ms {
		t.Errorf("%d after the first", one.Work())
	}
	one.measured(200 * ms)
	if one.Work() != 150*ms {
		t.Errorf("%d after two", one.Work())
	}
	ticket := one.patient(0)
	one.now += monotonic.Minute
	one.leave(ticket, slots.Over)
	if one.Work() != 150*ms {
		t.Errorf("what was no work counted")
	}
	for range 200 {
		one.measured(20 * ms)
	}
	if work := one.Work(); work < 19*ms || work > 21*ms {
		t.Errorf("%d long after the change", work)
	}
}

// TestInvariants lets everything happen in every order that chance gives, and waiters only wake when they are woken or
// when they said they would.
func TestInvariants(t *testing.T) {
	for seed := range uint64(300) {
		chance := rand.New(rand.NewPCG(seed, 1))
		terms := slots.Default()
		terms.WaitingPerSlot = 1 + chance.IntN(4)
		one := newDoor(t, uint32(1+chance.IntN(4)), terms)
		shrunk := false
		var live []*slots.Ticket
		for range 400 {
			one.now += monotonic.Micros(chance.IntN(20000))
			for _, ticket := range live { // those whose moment came call, as their owner would
				if ticket.State() == slots.Waiting && one.now >= one.WakeAt(ticket) {
					one.Advance(one.now)
				}
			}
			switch pick := chance.IntN(20); {
			case pick < 11:
				live = append(live, one.ask(uint32(chance.IntN(3)), monotonic.Micros(chance.IntN(300000)), monotonic.Micros(1+chance.IntN(600000)), chance.IntN(2) == 0))
			case pick < 18 && len(live) > 0:
				one.leave(live[chance.IntN(len(live))], slots.End(chance.IntN(3)))
			case pick == 18:
				count := uint32(1 + chance.IntN(4))
				shrunk = shrunk || count < one.Count()
				one.SetCount(one.now, count)
			case pick == 19 && chance.IntN(5) == 0:
				one.Flush(one.now)
			}
			running, waiting := 0, 0
			kept := live[:0]
			for _, ticket := range live {
				switch ticket.State() {
				case slots.Running:
					running++
				case slots.Waiting:
					waiting++
					if one.WakeAt(ticket) < one.now {
						t.Fatalf("seed %d: one waits whose moment is past", seed)
					}
				case slots.Refused:
					if ticket.RetryAfter() <= 0 {
						t.Fatalf("seed %d: refused without a time to come back", seed)
					}
				}
				if ticket.State() <= slots.Running {
					kept = append(kept, ticket)
				}
			}
			live = kept
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
