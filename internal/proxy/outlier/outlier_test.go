package outlier

import (
	"math/rand/v2"
	"testing"

	"snowflow/internal/monotonic"
)

const ms = monotonic.Millisecond

// bench plays requests at one backend, one after the other or side by side.
type bench struct {
	t        *testing.T
	now      monotonic.Micros
	detector *Detector
	peers    Peers
}

func newBench(t *testing.T) *bench {
	return &bench{t: t, now: monotonic.Minute, detector: New(), peers: Peers{Known: 9, Pace: 1}}
}

func (bench *bench) ask(domain string) Ask {
	return Ask{Domain: domain, Kind: "forms", Aim: 400 * ms, Repeatable: true, Peers: bench.peers}
}

// one plays a request; it tells whether it was let in.
func (bench *bench) one(domain string, took monotonic.Micros, outcome Outcome) bool {
	visit, wait := bench.detector.Enter(bench.now, bench.ask(domain))
	if visit == nil {
		if wait <= 0 {
			bench.t.Error("a refusal without a time to come back")
		}
		return false
	}
	visit.Start(bench.now)
	bench.now += took
	visit.Close(bench.now, outcome)
	return true
}

// well plays requests that teach the usual time.
func (bench *bench) well(domains ...string) {
	for range 40 {
		for _, domain := range domains {
			if !bench.one(domain, 50*ms, Good) {
				bench.t.Fatal("a backend that is well is left out")
			}
		}
	}
}

func (bench *bench) ejected(domain string) bool { return bench.detector.Ejected(domain) }

// TestFaultsEject: a backend that fails in a row is left to probes, whatever its health answer says.
func TestFaultsEject(t *testing.T) {
	bench := newBench(t)
	bench.well("a", "b")
	for _, domain := range []string{"a", "b", "a", "b"} {
		if bench.ejected(domain) || !bench.one(domain, 5*ms, Faulty) {
			t.Fatal("left out too early")
		}
	}
	if !bench.ejected("a") || !bench.ejected("b") || !bench.ejected("never seen") {
		t.Error("four faults in a row, and it's sent to")
	}
	if bench.one("b", 5*ms, Good) {
		t.Error("a request at once after the ejection")
	}
	if changes := bench.detector.Changes(); len(changes) != 1 || !changes[0].Ejected || changes[0].Domain != "" {
		t.Errorf("told: %+v", changes)
	}
}

// TestHardlyFaulty: a few faults among many answers are no outlier.
func TestHardlyFaulty(t *testing.T) {
	bench := newBench(t)
	random := rand.New(rand.NewPCG(1, 1))
	ejections := 0
	for range 3000 {
		outcome := Good
		if random.Float64() < 0.05 {
			outcome = Faulty
		}
		bench.one("a", 50*ms, outcome)
		for _, change := range bench.detector.Changes() {
			if change.Ejected {
				ejections++
			}
		}
	}
	if ejections > 2 {
		t.Errorf("one answer in twenty is faulty: ejected %d times in 3000 requests", ejections)
	}
}

// TestPartlyFaulty: one that fails four in ten is found within a few dozen requests, and gets few of them from then on.
func TestPartlyFaulty(t *testing.T) {
	for seed := range uint64(20) {
		bench := newBench(t)
		bench.well("a", "b")
		random := rand.New(rand.NewPCG(seed, 1))
		offered, taken := 0, 0
		for began := bench.now; bench.now < began+6*monotonic.Second; offered++ {
			outcome := Good
			if random.Float64() < 0.4 {
				outcome = Faulty
			}
			if bench.one([]string{"a", "b"}[random.IntN(2)], 20*ms, outcome) {
				taken++
			} else {
				bench.now += 20 * ms
			}
		}
		if taken*3 > offered {
			t.Errorf("seed %d: %d of %d requests went to a backend that fails four in ten", seed, taken, offered)
		}
	}
}

// TestHangCounts: requests that are under way far longer than usual count before they end, and the queue needn't wait for them.
func TestHangCounts(t *testing.T) {
	bench := newBench(t)
	bench.well("a")
	for range 4 {
		visit, _ := bench.detector.Enter(bench.now, bench.ask("a"))
		visit.Start(bench.now)
	}
	bench.now += 200 * ms
	if visit, _ := bench.detector.Enter(bench.now, bench.ask("a")); visit == nil {
		t.Fatal("left out though 200 ms may well be needed")
	}
	bench.now += 110 * ms // more than six times the usual 50 ms
	if visit, _ := bench.detector.Enter(bench.now, bench.ask("a")); visit != nil {
		t.Error("four requests hang, and it's sent to")
	}
}

// TestSlowService: what all backends have is the service's trouble.
func TestSlowService(t *testing.T) {
	bench := newBench(t)
	bench.well("a")
	bench.peers.Faults, bench.peers.Pace = 0.4, 5
	for range 20 {
		for number := range 5 {
			outcome := Good
			if number < 2 {
				outcome = Faulty
			}
			if !bench.one("a", 400*ms, outcome) {
				t.Fatal("left out though its peers do no better")
			}
		}
	}
}

// TestBound: not more than half of a service is left out, never the only backend, and who has nowhere else to go is let in.
func TestBound(t *testing.T) {
	for _, row := range []struct {
		peers Peers
		out   bool
	}{
		{Peers{}, false}, {Peers{Known: 1}, true}, {Peers{Known: 1, Ejected: 1}, false}, {Peers{Known: 3, Ejected: 1}, true},
		{Peers{Known: 3, Ejected: 2}, false}, {Peers{Known: 9, Ejected: 4}, true}, {Peers{Known: 9, Ejected: 5}, false},
	} {
		bench := newBench(t)
		bench.well("a")
		bench.peers = row.peers
		for range 8 {
			bench.one("a", ms, Faulty)
		}
		if bench.ejected("a") != row.out {
			t.Errorf("%+v: ejected %v", row.peers, bench.ejected("a"))
		}
		if ask := bench.ask("a"); row.out {
			ask.Insists = true
			if visit, _ := bench.detector.Enter(bench.now, ask); visit == nil {
				t.Error("whoever has no other backend is turned down")
			}
			// Once the others are left out too, it's of use again.
			bench.peers.Ejected = bench.peers.Known
			if visit, _ := bench.detector.Enter(bench.now, bench.ask("a")); visit == nil {
				t.Error("all are left out")
			}
		}
	}
}

// TestReturn: after the trouble a backend is taken back by more and more, one by one at first.
func TestReturn(t *testing.T) {
	bench := newBench(t)
	bench.well("a")
	for range 4 {
		bench.one("a", ms, Faulty)
	}
	bench.now += firstGap
	var inside []*Visit
	most := []int{}
	for range 4 {
		for {
			visit, _ := bench.detector.Enter(bench.now, bench.ask("a"))
			if visit == nil {
				break
			}
			visit.Start(bench.now)
			inside = append(inside, visit)
			if len(inside) > 100 {
				most = append(most, len(inside))
				break
			}
		}
		most = append(most, len(inside))
		bench.now += 50 * ms
		for _, visit := range inside {
			visit.Close(bench.now, Good)
		}
		inside = nil
	}
	if most[0] != 1 || most[1] != 1 || most[2] != 2 || most[3] != 4 {
		t.Errorf("let in at once: %v", most)
	}
	bench.well("a")
	if bench.ejected("a") || bench.detector.Faults("a") != 0 {
		t.Error("it's well, and isn't taken for it")
	}
}

// TestFlapping: each further ejection, and each probe that fails, makes the next probe rarer, up to a bound.
func TestFlapping(t *testing.T) {
	bench := newBench(t)
	bench.well("a")
	first := monotonic.Micros(0)
	for round := range 4 {
		for !bench.ejected("a") {
			bench.one("a", ms, Faulty)
		}
		began := bench.now
		for !bench.one("a", ms, Good) {
			bench.now += 10 * ms
		}
		waited := bench.now - began
		if round == 0 {
			first = waited
		}
		if round == 3 && waited < 3*first || waited > mostGap+20*ms {
			t.Errorf("ejection %d: the first probe came after %d ms", round, waited/ms)
		}
		for bench.ejected("a") {
			bench.one("a", ms, Good)
		}
	}
	for !bench.ejected("a") {
		bench.one("a", ms, Faulty)
	}
	probes := 0
	for began := bench.now; bench.now < began+20*monotonic.Second; bench.now += 10 * ms {
		if bench.one("a", ms, Faulty) {
			probes++
		}
	}
	if probes > 11 || probes < 8 {
		t.Errorf("%d probes in 20 s of illness", probes)
	}
}

// TestOneDomain: what only one domain's callers see keeps only these away.
func TestOneDomain(t *testing.T) {
	bench := newBench(t)
	bench.well("a", "b", "c")
	for range 60 {
		bench.one("a", 5*ms, Faulty)
		bench.one("b", 50*ms, Good)
		bench.one("c", 50*ms, Good)
	}
	if !bench.ejected("a") || bench.ejected("b") || bench.ejected("c") {
		t.Errorf("ejected for a %v, b %v, c %v", bench.ejected("a"), bench.ejected("b"), bench.ejected("c"))
	}
}

// TestSlowed: one that has become slow gets what it can still answer in time, and little else; once it's quick again it
// gets everything.
func TestSlowed(t *testing.T) {
	bench := newBench(t)
	bench.well("a")
	taken, quick := 0, 0
	play := func(took monotonic.Micros) {
		if bench.one("a", took, Good) {
			taken++
		}
		ask := bench.ask("a")
		ask.Aim = 2 * monotonic.Second
		if visit, _ := bench.detector.Enter(bench.now, ask); visit != nil {
			visit.Start(bench.now)
			bench.now += took
			visit.Close(bench.now, Good)
			quick++
		}
	}
	for range 30 {
		play(230 * ms) // 4.6 times as long: in time
	}
	if taken != 30 || quick != 30 {
		t.Errorf("%d and %d of 30 that it answers in time", taken, quick)
	}
	taken, quick = 0, 0
	for range 40 {
		play(290 * ms)
		bench.peers.Pace = 1
	}
	if taken != 40 {
		t.Errorf("%d of 40 that it answers in time", taken)
	}
}

// TestTooSlow: the aim decides.
func TestTooSlow(t *testing.T) {
	bench := newBench(t)
	bench.well("a")
	short := func(took monotonic.Micros) bool {
		ask := bench.ask("a")
		ask.Aim = 120 * ms
		visit, _ := bench.detector.Enter(bench.now, ask)
		if visit == nil {
			bench.now += 50 * ms
			return false
		}
		visit.Start(bench.now)
		bench.now += took
		visit.Close(bench.now, Good)
		return true
	}
	taken := 0
	for range 60 {
		if short(200 * ms) {
			taken++
		}
	}
	if taken > 25 {
		t.Errorf("%d of 60 requests to a backend that can't answer them in time", taken)
	}
	for range 20 {
		bench.now += firstGap
		short(50 * ms)
	}
	for range 2 {
		if !short(50 * ms) {
			t.Error("it's quick again, and left out still")
		}
	}
}

// TestVisits: whatever becomes of a visit, closing it again changes nothing, and one that never began says nothing.
func TestVisits(t *testing.T) {
	bench := newBench(t)
	bench.well("a")
	for range 4 {
		bench.one("a", ms, Faulty)
	}
	bench.now += firstGap
	probe, _ := bench.detector.Enter(bench.now, bench.ask("a"))
	probe.Close(bench.now, Unknown)
	probe.Close(bench.now, Faulty)
	if visit, _ := bench.detector.Enter(bench.now, bench.ask("a")); visit == nil {
		t.Error("a probe that the queue refused keeps the next one out")
	}
	if len(bench.detector.started) != 0 || bench.detector.all.inside != 1 {
		t.Errorf("%d under way, %d inside", len(bench.detector.started), bench.detector.all.inside)
	}
}
