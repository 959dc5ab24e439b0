package outlier

import (
	"math/rand/v2"
	"testing"

	"snowflow/internal/monotonic"
)

const ms = monotonic.Millisecond

// backendTest plays requests at one backend, one after the other or side by side.
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

// send plays a request of a domain and reports whether it was admitted.
func (bt *backendTest) send(domain string, elapsed monotonic.Micros, outcome Outcome) bool {
	bt.t.Helper()
	return bt.play(bt.request(domain), elapsed, outcome)
}

// play plays a request and reports whether it was admitted.
func (bt *backendTest) play(request RequestInfo, elapsed monotonic.Micros, outcome Outcome) bool {
	bt.t.Helper()
	c, wait := bt.detector.Admit(bt.now, request)
	if c == nil {
		if wait <= 0 {
			bt.t.Error("a rejection without a time to come back")
		}
		return false
	}
	c.Start(bt.now)
	bt.now += elapsed
	c.Close(bt.now, outcome)
	return true
}

// warmUp plays successful requests, from which the usual time is learnt.
func (bt *backendTest) warmUp(domains ...string) {
	for range 40 {
		for _, domain := range domains {
			if !bt.send(domain, 50*ms, Success) {
				bt.t.Fatal("a healthy backend rejects requests")
			}
		}
	}
}

func (bt *backendTest) ejected(domain string) bool { return bt.detector.Ejected(domain) }

// TestConsecutiveFailuresEject: a backend that fails several requests in a row gets only probes, whatever the result of its
// own health check.
func TestConsecutiveFailuresEject(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a", "b")
	for _, domain := range []string{"a", "b", "a", "b"} {
		if bt.ejected(domain) || !bt.send(domain, 5*ms, Failure) {
			t.Fatal("ejected too early")
		}
	}
	if !bt.ejected("a") || !bt.ejected("b") || !bt.ejected("never seen") {
		t.Error("not ejected after four failures in a row")
	}
	if bt.send("b", 5*ms, Success) {
		t.Error("a request was admitted right after the ejection")
	}
	if changes := bt.detector.TakeChanges(); len(changes) != 1 || !changes[0].Ejected || changes[0].Domain != "" {
		t.Errorf("changes: %+v", changes)
	}
}

// TestOccasionalFailuresDoNotEject: a backend with a few failures among many responses isn't an outlier.
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
		t.Errorf("with one failure in twenty it was ejected %d times in 3000 requests", ejections)
	}
}

// TestPartialFailuresEject: a backend that fails four requests in ten is ejected within a few dozen, and gets few from then on.
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

// TestOverdueRequestsCountAsFailures: requests that are in flight far longer than usual count before they end.
func TestOverdueRequestsCountAsFailures(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a")
	for range 4 {
		c, _ := bt.detector.Admit(bt.now, bt.request("a"))
		c.Start(bt.now)
	}
	bt.now += 200 * ms
	if c, _ := bt.detector.Admit(bt.now, bt.request("a")); c == nil {
		t.Fatal("rejected though a request may well take 200 ms")
	}
	bt.now += 110 * ms // more than six times the usual 50 ms
	if c, _ := bt.detector.Admit(bt.now, bt.request("a")); c != nil {
		t.Error("not ejected while four requests hang")
	}
}

// TestServiceWideSlownessDoesNotEject: a fault that all backends have is the service's.
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
				t.Fatal("rejected though its peers do no better")
			}
		}
	}
}

// TestEjectionIsBounded: no more than half of a service is ejected, never the only backend, and a request without another
// backend to go to is admitted.
func TestEjectionIsBounded(t *testing.T) {
	for name, test := range map[string]struct {
		peers   Peers
		ejected bool
	}{
		"only backend":   {Peers{}, false},
		"one of two":     {Peers{Known: 1}, true},
		"second of two":  {Peers{Known: 1, Ejected: 1}, false},
		"second of four": {Peers{Known: 3, Ejected: 1}, true},
		"third of four":  {Peers{Known: 3, Ejected: 2}, false},
		"fifth of ten":   {Peers{Known: 9, Ejected: 4}, true},
		"sixth of ten":   {Peers{Known: 9, Ejected: 5}, false},
	} {
		t.Run(name, func(t *testing.T) {
			bt := newBackendTest(t)
			bt.warmUp("a")
			bt.peers = test.peers
			for range 8 {
				bt.send("a", ms, Failure)
			}
			if bt.ejected("a") != test.ejected {
				t.Errorf("ejected %v", bt.ejected("a"))
			}
			if !test.ejected {
				return
			}
			request := bt.request("a")
			request.NoAlternative = true
			if c, _ := bt.detector.Admit(bt.now, request); c == nil {
				t.Error("a request without another backend was rejected")
			}
			// Once all others are ejected too, it gets requests again.
			bt.peers.Ejected = bt.peers.Known
			if c, _ := bt.detector.Admit(bt.now, bt.request("a")); c == nil {
				t.Error("all backends reject requests")
			}
		})
	}
}

// TestGradualReinstatement: after a fault a backend gets more and more requests at once, beginning with one.
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
		t.Errorf("admitted at once: %v", admittedAtOnce)
	}
	bt.warmUp("a")
	if bt.ejected("a") || bt.detector.FaultRate("a") != 0 {
		t.Error("a backend that has recovered isn't reinstated")
	}
}

// TestRepeatedEjectionsBackOff: each further ejection, and each failed probe, makes the pause before the next probe longer, up
// to a bound.
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
		t.Errorf("%d probes in 20 s of failures", probes)
	}
}

// TestEjectionForOneDomain: a fault that only one domain's callers see ejects the backend for these alone.
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

// TestSlowBackendWithinLatencyTarget: a backend that has become slow still gets the requests that it serves in time.
func TestSlowBackendWithinLatencyTarget(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a")
	taken, takenLongTarget := 0, 0
	play := func(elapsed monotonic.Micros) {
		if bt.send("a", elapsed, Success) {
			taken++
		}
		request := bt.request("a")
		request.LatencyTarget = 2 * monotonic.Second
		if bt.play(request, elapsed, Success) {
			takenLongTarget++
		}
	}
	for range 30 {
		play(230 * ms) // 4.6 times its usual time, and within the target
	}
	if taken != 30 || takenLongTarget != 30 {
		t.Errorf("%d and %d of 30 that it serves in time", taken, takenLongTarget)
	}
	taken, takenLongTarget = 0, 0
	for range 40 {
		play(290 * ms)
		bt.peers.LatencyRatio = 1
	}
	if taken != 40 {
		t.Errorf("%d of 40 that it serves in time", taken)
	}
}

// TestSlowBackendMissesLatencyTarget: a slow backend gets few requests that it serves too late, and all of them again once
// it is fast.
func TestSlowBackendMissesLatencyTarget(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a")
	short := func(elapsed monotonic.Micros) bool {
		request := bt.request("a")
		request.LatencyTarget = 120 * ms
		admitted := bt.play(request, elapsed, Success)
		if !admitted {
			bt.now += 50 * ms
		}
		return admitted
	}
	taken := 0
	for range 60 {
		if short(200 * ms) {
			taken++
		}
	}
	if taken > 25 {
		t.Errorf("%d of 60 requests went to a backend that can't serve them in time", taken)
	}
	for range 20 {
		bt.now += initialProbeInterval
		short(50 * ms)
	}
	for range 2 {
		if !short(50 * ms) {
			t.Error("a backend that has recovered rejects requests")
		}
	}
}

// TestClosingCalls: closing a call again changes nothing, and the outcome of one that never started isn't counted.
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
		t.Error("a probe that was never handed to the backend blocks the next one")
	}
	if len(bt.detector.calls) != 0 || bt.detector.global.probesInFlight != 1 {
		t.Errorf("%d in flight, %d probes in flight", len(bt.detector.calls), bt.detector.global.probesInFlight)
	}
}
