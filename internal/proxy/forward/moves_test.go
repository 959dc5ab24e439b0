package forward

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/retry"
	"snowflow/internal/proxy/session"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

type clock struct{ now monotonic.Micros }

func (clock *clock) Now() monotonic.Micros { return clock.now }

func overloaded(wait monotonic.Micros) *apierror.Fault {
	fault := apierror.New(apierror.Overloaded, apierror.NotRun, "full")
	fault.RetryAfter = wait
	return fault
}

// TestMoves: a request that no backend has seen moves on without cost, at most so often, and only while another backend is
// left. What may have reached one never does, and whatever a further try cost stays spent unless none was reached.
func TestMoves(t *testing.T) {
	unreached, lost := apierror.New(apierror.ForwardUnreachable, apierror.NotRun, ""), apierror.New(apierror.ForwardLost, apierror.MayHaveRun, "")
	declined, older := apierror.New(apierror.NotExecuted, apierror.NotRun, ""), apierror.New(apierror.VersionOlder, apierror.NotRun, "")
	type try struct {
		fault *apierror.Fault
		last  bool
		moves bool
	}
	for _, row := range []struct {
		what    string
		paid    bool
		tries   []try
		left    int // further tries that the budget still allows
		refused monotonic.Micros
	}{
		{"full, full, taken: a first try", false, []try{{overloaded(30), false, true}, {overloaded(20), false, true}, {nil, false, false}}, 3, 20},
		{"two moves at most", false, []try{{overloaded(40), false, true}, {unreached, false, true}, {overloaded(30), false, false}}, 2, 30},
		{"no other backend left", false, []try{{overloaded(40), true, false}}, 2, 40},
		{"its answer was lost", false, []try{{lost, false, false}}, 3, 0},
		{"the backend itself declined", false, []try{{declined, false, false}}, 3, 0},
		{"not resolved by this serial: no other backend helps", false, []try{{older, false, false}}, 2, 0},
		{"a paid try that moves stays paid", true, []try{{overloaded(10), false, true}, {nil, false, false}}, 1, 10},
		{"a paid try that ends unreached is given back", true, []try{{overloaded(10), false, true}, {overloaded(20), true, false}}, 2, 10},
		{"a paid try that was lost", true, []try{{lost, false, false}}, 1, 0},
	} {
		time := &clock{now: monotonic.Minute}
		budget := retry.New(time, func(uint32) float64 { return 4 })
		trip := &Trip{Service: &config.Service{Name: "forms", Retry: &wire.Retry{BudgetRatio: proto.Float64(1), Allowance: proto.Uint32(4)}}}
		for range 2 { // two are left of the four that it begins with
			if !budget.Spend("forms", 4) {
				t.Fatal("nothing to spend")
			}
		}
		if row.paid {
			trip.moves.paid = budget.Spend("forms", 4)
		}
		for number, try := range row.tries {
			if moved := trip.moves.ended(budget, trip, try.fault, true, try.last); moved != try.moves {
				t.Errorf("%s, try %d: moved %v", row.what, number, moved)
			}
		}
		left := 0
		for left < 9 && budget.Spend("forms", 4) {
			left++
		}
		if left != row.left {
			t.Errorf("%s: %d further tries are left, not %d", row.what, left, row.left)
		}
		if trip.moves.refused != row.refused {
			t.Errorf("%s: told to come back after %d", row.what, trip.moves.refused)
		}
	}
}

// TestMeasuredWaitIsKept: a gate's expected wait reaches the caller as it is, however long refusals have lasted.
func TestMeasuredWaitIsKept(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
		spread := newLater(place)
		for range 20 {
			spread.put(overloaded(70 * ms))
			measured := overloaded(70 * ms)
			measured.RetryAfterMeasured = true
			spread.put(measured)
			if measured.RetryAfter != 70*ms {
				t.Errorf("told %d", measured.RetryAfter)
			}
			place.Sleep(monotonic.Second)
		}
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

// TestLastChoice: the chooser tells when no other backend is left, and asks none twice while there is one.
func TestLastChoice(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
		choices := newChooser(place, "a", false, 0)
		directory := &session.Directory{Candidates: map[string][]session.Candidate{}}
		for index := range 4 {
			directory.Candidates["forms"] = append(directory.Candidates["forms"], session.Candidate{Carrier: fmt.Sprint("carrier-", index), Instance: fmt.Sprint(index), Service: "forms", Slots: 2})
		}
		choices.shun("3")
		avoid := map[string]bool{}
		for number := range 4 {
			candidate, last, leave, fault := choices.choose(directory, wish{service: "forms", avoid: avoid})
			if fault != nil || last != (number >= 2) {
				t.Errorf("choice %d: last %v, %v", number, last, fault)
			}
			if number < 3 && (avoid[candidate.Instance] || candidate.Instance == "3") {
				t.Errorf("choice %d: %s, though others are left", number, candidate.Instance)
			}
			avoid[candidate.Instance] = true
			leave()
		}
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Second)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

// TestReadings: what others had at a backend counts less as it gets older, and one not heard of for long counts like
// its siblings.
func TestReadings(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
		choices := newChooser(place, "a", false, 20*ms)
		near, far := session.Candidate{Instance: "near", Domain: "a", Slots: 6}, session.Candidate{Instance: "far", Domain: "b", Slots: 6}
		pick := func() string {
			return choices.soonest([]session.Candidate{near, far}, "", place.Now(), choices.far).Instance
		}
		tell := func(instance string, running, waiting uint32, work monotonic.Micros) {
			choices.inFlight[instance] = 1 // the pass that brings it
			choices.heard(instance, "", &wire.Load{Slots: 6, Running: running, Waiting: waiting, ServiceMicros: int64(work)})
			delete(choices.inFlight, instance)
		}
		for range 30 {
			tell("near", 2, 0, 100*ms)
			tell("far", 1, 0, 100*ms)
		}
		if pick() != "near" {
			t.Error("the own zone has slots free, and another was chosen")
		}
		tell("near", 6, 6, 100*ms)
		if pick() != "far" {
			t.Error("the own zone is full, and it was chosen")
		}
		place.Sleep(500 * ms)
		if pick() != "near" {
			t.Error("what was full half a second ago is still taken for full")
		}
		for range 200 {
			tell("near", 6, 4, 900*ms)
			tell("far", 1, 0, 100*ms)
		}
		if pick() != "far" {
			t.Error("slow and full as a rule, and it was chosen")
		}
		for range 50 { // the other one is heard of on and on
			place.Sleep(monotonic.Second)
			tell("far", 1, 0, 100*ms)
		}
		if pick() != "near" {
			t.Error("not heard of for long, it's never asked again")
		}
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + 2*monotonic.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

// TestWorkByRoute: a short request keeps to its zone though that backend has much long work of another kind; where its own kind
// takes long there, it goes to where that takes less.
func TestWorkByRoute(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
		choices := newChooser(place, "a", false, 20*ms)
		near, far := session.Candidate{Instance: "near", Domain: "a", Slots: 6}, session.Candidate{Instance: "far", Domain: "b", Slots: 6}
		pick := func(route string) string {
			return choices.soonest([]session.Candidate{near, far}, route, place.Now(), choices.far).Instance
		}
		tell := func(instance, route string, work, own monotonic.Micros) {
			choices.inFlight[instance] = 1 // the pass that brings it
			choices.heard(instance, route, &wire.Load{Slots: 6, Running: 1, ServiceMicros: int64(work), RouteMicros: int64(own)})
			delete(choices.inFlight, instance)
		}
		for range 30 {
			tell("near", "lookup", 300*ms, 50*ms)
			tell("far", "lookup", 100*ms, 50*ms)
		}
		if pick("lookup") != "near" {
			t.Error("a lookup takes as long in both, and went to another zone because of other requests' work")
		}
		tell("near", "submission", 300*ms, 400*ms)
		tell("far", "submission", 100*ms, 150*ms)
		if pick("submission") != "far" {
			t.Error("a submission takes much longer at home, and stayed")
		}
		if pick("lookup") != "near" {
			t.Error("what was heard of submissions counts for lookups")
		}
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Second)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

// TestHeavyRoutesKeepHome: a route with large answers stays in its zone while a backend is fit there, however full; small ones
// don't, and a zone without fit backends is no reason to fail.
func TestHeavyRoutesKeepHome(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
		choices := newChooser(place, "a", false, 20*ms)
		directory := &session.Directory{Candidates: map[string][]session.Candidate{"packs": {{Carrier: "home", Instance: "home", Domain: "a", Slots: 2}, {Carrier: "away", Instance: "away", Domain: "b", Slots: 2}}}}
		choices.inFlight["home"] = 1
		choices.heard("home", "", &wire.Load{Slots: 2, Running: 2, Waiting: 12, ServiceMicros: int64(100 * ms)})
		choices.heard("away", "", &wire.Load{Slots: 2, ServiceMicros: int64(100 * ms)})
		pick := func(route string, avoid map[string]bool) (string, bool) {
			candidate, last, leave, _ := choices.choose(directory, wish{service: "packs", route: route, aim: 100 * ms, avoid: avoid})
			leave()
			return candidate.Instance, last
		}
		choices.sized("small", 400)
		choices.sized("large", 100<<10)
		if chosen, _ := pick("small", nil); chosen != "away" {
			t.Errorf("a small one waits %s", chosen)
		}
		if chosen, last := pick("large", nil); chosen != "home" || !last {
			t.Errorf("a large one goes %s, last %v", chosen, last)
		}
		choices.shun("home")
		if chosen, _ := pick("large", nil); chosen != "away" {
			t.Errorf("with nobody fit at home a large one goes %s", chosen)
		}
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Second)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}
