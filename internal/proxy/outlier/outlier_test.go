package outlier

import (
	"math/rand/v2"
	"testing"

	"snowflow/internal/monotonic"
)

const ms = monotonic.Millisecond

// bench plays requests at one backend, one after the other or side by side.
type backendTest struct {
	t        *testing.T
	now      monotonic.Micros
	detector *Detector
	peers    Peers
}

func newBackendTest(t *testing.T) *backendTest {
	return &backendTest{t: t, now: monotonic.Minute, detector: New(), peers: Peers{Known: 9, LatencyRatio: 1}}
}

func (bt *backendTest) request(domain string) RequestInfo {
	return RequestInfo{Domain: domain, Kind: "forms", LatencyTarget: 400 * ms, Idempotent: true, Peers: bt.peers}
}

// one plays a request; it tells whether it was let in.
func (bt *backendTest) send(domain string, elapsed monotonic.Micros, outcome Outcome) bool {
	c, wait := bt.detector.Admit(bt.now, bt.request(domain))
	if c == nil {
		if wait <= 0 {
			bt.t.Error("a refusal without a time to come back")
		}
		return false
	}
	c.Start(bt.now)
	bt.now += elapsed
	c.Close(bt.now, outcome)
	return true
}

// well plays requests that teach the usual time.
func (bt *backendTest) warmUp(domains ...string) {
	for range 40 {
		for _, domain := range domains {
			if !bt.send(domain, 50*ms, Success) {
				bt.t.Fatal("a backend that is well is left out")
			}
		}
	}
}

func (bt *backendTest) ejected(domain string) bool { return bt.detector.Ejected(domain) }

// TestConsecutiveFailuresEject: a backend that fails in a row is left to probes, whatever its health answer says.
func TestConsecutiveFailuresEject(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a", "b")
	for _, domain := range []string{"a", "b", "a", "b"} {
		if bt.ejected(domain) || !bt.send(domain, 5*ms, Failure) {
			t.Fatal("left out too early")
		}
	}
	if !bt.ejected("a") || !bt.ejected("b") || !bt.ejected("never seen") {
		t.Error("four faults in a row, and it's sent to")
	}
	if bt.send("b", 5*ms, Success) {
		t.Error("a request at once after the ejection")
	}
	if changes := bt.detector.TakeChanges(); len(changes) != 1 || !changes[0].Ejected || changes[0].Domain != "" {
		t.Errorf("told: %+v", changes)
	}
}

// TestOccasionalFailuresDoNotEject: a few faults among many answers are no outlier.
func TestOccasionalFailuresDoNotEject(t *testing.T) {
	bt := newBackendTest(t)
	random := rand.New(rand.NewPCG(1, 1))
	ejections := 0
	for range 3000 {
		outcome := Success
		if random.Float64() < 0.05 {
			outcome = Failure
		}
		bt.send("a", 50*ms, outcome)
		for _, change := range bt.detector.TakeChanges() {
			if change.Ejected {
				ejections++
			}
		}
	}
	if ejections > 2 {
		t.Errorf("one answer in twenty is faulty: ejected %d times in 3000 requests", ejections)
	}
}

// TestPartialFailuresEject: one that fails four in ten is found within a few dozen requests, and gets few of them from then on.
func TestPartialFailuresEject(t *testing.T) {
	for seed := range uint64(20) {
		bt := newBackendTest(t)
		bt.warmUp("a", "b")
		random := rand.New(rand.NewPCG(seed, 1))
		offered, taken := 0, 0
		for began := bt.now; bt.now < began+6*monotonic.Second; offered++ {
			outcome := Success
			if random.Float64() < 0.4 {
				outcome = Failure
			}
			if bt.send([]string{"a", "b"}[random.IntN(2)], 20*ms, outcome) {
				taken++
			} else {
				bt.now += 20 * ms
			}
		}
		if taken*3 > offered {
			t.Errorf("seed %d: %d of %d requests went to a backend that fails four in ten", seed, taken, offered)
		}
	}
}

// TestOverdueRequestsCountAsFailures: requests that are under way far longer than usual count before they end, and the queue needn't wait for them.
func TestOverdueRequestsCountAsFailures(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a")
	for range 4 {
		c, _ := bt.detector.Admit(bt.now, bt.request("a"))
		c.Start(bt.now)
	}
	bt.now += 200 * ms
	if c, _ := bt.detector.Admit(bt.now, bt.request("a")); c == nil {
		t.Fatal("left out though 200 ms may well be needed")
	}
	bt.now += 110 * ms // more than six times the usual 50 ms
	if c, _ := bt.detector.Admit(bt.now, bt.request("a")); c != nil {
		t.Error("four requests hang, and it's sent to")
	}
}

// TestServiceWideSlownessDoesNotEject: what all backends have is the service's trouble.
func TestServiceWideSlownessDoesNotEject(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a")
	bt.peers.FaultRate, bt.peers.LatencyRatio = 0.4, 5
	for range 20 {
		for number := range 5 {
			outcome := Success
			if number < 2 {
				outcome = Failure
			}
			if !bt.send("a", 400*ms, outcome) {
				t.Fatal("left out though its peers do no better")
			}
		}
	}
}

// TestEjectionIsBounded: not more than half of a service is left out, never the only backend, and who has nowhere else to go is let in.
func TestEjectionIsBounded(t *testing.T) {
	for _, row := range []struct {
		peers Peers
		out   bool
	}{
		{Peers{}, false}, {Peers{Known: 1}, true}, {Peers{Known: 1, Ejected: 1}, false}, {Peers{Known: 3, Ejected: 1}, true},
		{Peers{Known: 3, Ejected: 2}, false}, {Peers{Known: 9, Ejected: 4}, true}, {Peers{Known: 9, Ejected: 5}, false},
	} {
		bt := newBackendTest(t)
		bt.warmUp("a")
		bt.peers = row.peers
		for range 8 {
			bt.send("a", ms, Failure)
		}
		if bt.ejected("a") != row.out {
			t.Errorf("%+v: ejected %v", row.peers, bt.ejected("a"))
		}
		if request := bt.request("a"); row.out {
			request.NoAlternative = true
			if c, _ := bt.detector.Admit(bt.now, request); c == nil {
				t.Error("whoever has no other backend is turned down")
			}
			// Once the others are left out too, it's of use again.
			bt.peers.Ejected = bt.peers.Known
			if c, _ := bt.detector.Admit(bt.now, bt.request("a")); c == nil {
				t.Error("all are left out")
			}
		}
	}
}

// TestGradualReinstatement: after the trouble a backend is taken back by more and more, one by one at first.
func TestGradualReinstatement(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a")
	for range 4 {
		bt.send("a", ms, Failure)
	}
	bt.now += initialProbeInterval
	var inFlight []*Call
	admittedAtOnce := []int{}
	for range 4 {
		for {
			c, _ := bt.detector.Admit(bt.now, bt.request("a"))
			if c == nil {
				break
			}
			c.Start(bt.now)
			inFlight = append(inFlight, c)
			if len(inFlight) > 100 {
				admittedAtOnce = append(admittedAtOnce, len(inFlight))
				break
			}
		}
		admittedAtOnce = append(admittedAtOnce, len(inFlight))
		bt.now += 50 * ms
		for _, c := range inFlight {
			c.Close(bt.now, Success)
		}
		inFlight = nil
	}
	if admittedAtOnce[0] != 1 || admittedAtOnce[1] != 1 || admittedAtOnce[2] != 2 || admittedAtOnce[3] != 4 {
		t.Errorf("let in at once: %v", admittedAtOnce)
	}
	bt.warmUp("a")
	if bt.ejected("a") || bt.detector.FaultRate("a") != 0 {
		t.Error("it's well, and isn't taken for it")
	}
}

// TestRepeatedEjectionsBackOff: each further ejection, and each probe that fails, makes the next probe rarer, up to a bound.
func TestRepeatedEjectionsBackOff(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a")
	first := monotonic.Micros(0)
	for round := range 4 {
		for !bt.ejected("a") {
			bt.send("a", ms, Failure)
		}
		began := bt.now
		for !bt.send("a", ms, Success) {
			bt.now += 10 * ms
		}
		waited := bt.now - began
		if round == 0 {
			first = waited
		}
		if round == 3 && waited < 3*first || waited > maxProbeInterval+20*ms {
			t.Errorf("ejection %d: the first probe came after %d ms", round, waited/ms)
		}
		for bt.ejected("a") {
			bt.send("a", ms, Success)
		}
	}
	for !bt.ejected("a") {
		bt.send("a", ms, Failure)
	}
	probes := 0
	for began := bt.now; bt.now < began+20*monotonic.Second; bt.now += 10 * ms {
		if bt.send("a", ms, Failure) {
			probes++
		}
	}
	if probes > 11 || probes < 8 {
		t.Errorf("%d probes in 20 s of illness", probes)
	}
}

// TestEjectionForOneDomain: what only one domain's callers see keeps only these away.
func TestEjectionForOneDomain(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a", "b", "c")
	for range 60 {
		bt.send("a", 5*ms, Failure)
		bt.send("b", 50*ms, Success)
		bt.send("c", 50*ms, Success)
	}
	if !bt.ejected("a") || bt.ejected("b") || bt.ejected("c") {
		t.Errorf("ejected for a %v, b %v, c %v", bt.ejected("a"), bt.ejected("b"), bt.ejected("c"))
	}
}

// TestSlowBackendWithinLatencyTarget: one that has become slow gets what it can still answer in time, and little else; once it's quick again it
// gets everything.
func TestSlowBackendWithinLatencyTarget(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a")
	taken, recovered := 0, 0
	play := func(elapsed monotonic.Micros) {
		if bt.send("a", elapsed, Success) {
			taken++
		}
		request := bt.request("a")
		request.LatencyTarget = 2 * monotonic.Second
		if c, _ := bt.detector.Admit(bt.now, request); c != nil {
			c.Start(bt.now)
			bt.now += elapsed
			c.Close(bt.now, Success)
			recovered++
		}
	}
	for range 30 {
		play(230 * ms) // 4.6 times as long: in time
	}
	if taken != 30 || recovered != 30 {
		t.Errorf("%d and %d of 30 that it answers in time", taken, recovered)
	}
	taken, recovered = 0, 0
	for range 40 {
		play(290 * ms)
		bt.peers.LatencyRatio = 1
	}
	if taken != 40 {
		t.Errorf("%d of 40 that it answers in time", taken)
	}
}

// TestSlowBackendMissesLatencyTarget: the aim decides.
func TestSlowBackendMissesLatencyTarget(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a")
	short := func(elapsed monotonic.Micros) bool {
		request := bt.request("a")
		request.LatencyTarget = 120 * ms
		c, _ := bt.detector.Admit(bt.now, request)
		if c == nil {
			bt.now += 50 * ms
			return false
		}
		c.Start(bt.now)
		bt.now += elapsed
		c.Close(bt.now, Success)
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
		bt.now += initialProbeInterval
		short(50 * ms)
	}
	for range 2 {
		if !short(50 * ms) {
			t.Error("it's quick again, and left out still")
		}
	}
}

// TestClosingCalls: whatever becomes of a visit, closing it again changes nothing, and one that never began says nothing.
func TestClosingCalls(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a")
	for range 4 {
		bt.send("a", ms, Failure)
	}
	bt.now += initialProbeInterval
	probe, _ := bt.detector.Admit(bt.now, bt.request("a"))
	probe.Close(bt.now, Unknown)
	probe.Close(bt.now, Failure)
	if c, _ := bt.detector.Admit(bt.now, bt.request("a")); c == nil {
		t.Error("a probe that the queue refused keeps the next one out")
	}
	if len(bt.detector.inFlight) != 0 || bt.detector.global.probesInFlight != 1 {
		t.Errorf("%d under way, %d inside", len(bt.detector.inFlight), bt.detector.global.probesInFlight)
	}
}
