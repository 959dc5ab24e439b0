package outlier

import (
	"math/rand/v2"
	"testing"

	"snowflow/internal/monotonic"
)

const ms = monotonic.Millisecond

// backendTest simulates requests to one backend, in sequence or concurrently.
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

// send simulates a request from a caller in a domain and reports whether it was admitted.
func (bt *backendTest) send(domain string, elapsed monotonic.Micros, outcome Outcome) bool {
	bt.t.Helper()
	return bt.sendRequest(bt.request(domain), elapsed, outcome)
}

// sendRequest simulates a request and reports whether it was admitted.
func (bt *backendTest) sendRequest(request RequestInfo, elapsed monotonic.Micros, outcome Outcome) bool {
	bt.t.Helper()
	c, wait := bt.detector.Admit(bt.now, request)
	if c == nil {
		if wait <= 0 {
			bt.t.Error("a request was rejected without a retry-after time")
		}
		return false
	}
	c.Start(bt.now)
	bt.now += elapsed
	c.Close(bt.now, outcome)
	return true
}

// warmUp simulates successful requests of each domain, which establish the baseline latency.
func (bt *backendTest) warmUp(domains ...string) {
	for range 40 {
		for _, domain := range domains {
			if !bt.send(domain, 50*ms, Success) {
				bt.t.Fatal("a request to a healthy backend was rejected")
			}
		}
	}
}

func (bt *backendTest) ejected(domain string) bool { return bt.detector.Ejected(domain) }

// TestConsecutiveFailuresEject: a backend that fails several consecutive requests receives only probes, regardless of its own
// health check.
func TestConsecutiveFailuresEject(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a", "b")
	for _, domain := range []string{"a", "b", "a", "b"} {
		if bt.ejected(domain) || !bt.send(domain, 5*ms, Failure) {
			t.Fatal("ejected before four consecutive failures")
		}
	}
	if !bt.ejected("a") || !bt.ejected("b") || !bt.ejected("never seen") {
		t.Error("not ejected after four consecutive failures")
	}
	if bt.send("b", 5*ms, Success) {
		t.Error("a request was admitted right after the ejection")
	}
	if changes := bt.detector.TakeChanges(); len(changes) != 1 || !changes[0].Ejected || changes[0].Domain != "" {
		t.Errorf("changes: %+v", changes)
	}
}

// TestOccasionalFailuresDoNotEject: a backend with occasional failures is not an outlier.
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
		t.Errorf("with one failure in twenty the backend was ejected %d times in 3000 requests", ejections)
	}
}

// TestPartialFailuresEject: a backend that fails four requests in ten is ejected within a few dozen requests and then receives
// only a few.
func TestPartialFailuresEject(t *testing.T) {
	for seed := range uint64(20) {
		bt := newBackendTest(t)
		bt.warmUp("a", "b")
		random := rand.New(rand.NewPCG(seed, 1))
		offered, admitted := 0, 0
		for startedAt := bt.now; bt.now < startedAt+6*monotonic.Second; offered++ {
			outcome := Success
			if random.Float64() < 0.4 {
				outcome = Failure
			}
			if bt.send([]string{"a", "b"}[random.IntN(2)], 20*ms, outcome) {
				admitted++
			} else {
				bt.now += 20 * ms
			}
		}
		if admitted*3 > offered {
			t.Errorf("seed %d: %d of %d requests went to a backend that fails four in ten", seed, admitted, offered)
		}
	}
}

// TestOverdueRequestsCountAsFailures: requests that are in flight far longer than the baseline count as failures before they end.
func TestOverdueRequestsCountAsFailures(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a")
	for range 4 {
		c, _ := bt.detector.Admit(bt.now, bt.request("a"))
		c.Start(bt.now)
	}
	bt.now += 200 * ms
	if c, _ := bt.detector.Admit(bt.now, bt.request("a")); c == nil {
		t.Fatal("rejected although 200 ms is below the overdue timeout")
	}
	bt.now += 110 * ms // 310 ms in total: more than six times the baseline of 50 ms
	if c, _ := bt.detector.Admit(bt.now, bt.request("a")); c != nil {
		t.Error("not ejected although four requests are overdue")
	}
}

// TestServiceWideSlownessDoesNotEject: failures and latency that all backends share don't eject a backend.
func TestServiceWideSlownessDoesNotEject(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a")
	bt.peers.FaultRate, bt.peers.LatencyRatio = 0.4, 5
	for range 20 {
		for index := range 5 {
			outcome := Success
			if index < 2 {
				outcome = Failure
			}
			if !bt.send("a", 400*ms, outcome) {
				t.Fatal("rejected although the peers fail as often and are as slow")
			}
		}
	}
}

// TestEjectionIsBounded: at most half of a service's backends are ejected, never the only one, and a request that has no other
// backend is admitted.
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
				t.Errorf("ejected: %v", bt.ejected("a"))
			}
			if !test.ejected {
				return
			}
			request := bt.request("a")
			request.NoAlternative = true
			if c, _ := bt.detector.Admit(bt.now, request); c == nil {
				t.Error("a request that has no other backend was rejected")
			}
			// Once all other backends are ejected too, this one receives requests again.
			bt.peers.Ejected = bt.peers.Known
			if c, _ := bt.detector.Admit(bt.now, bt.request("a")); c == nil {
				t.Error("requests are rejected although all backends are ejected")
			}
		})
	}
}

// TestGradualReinstatement: after an ejection the number of concurrent probes rises with each success, starting at one.
func TestGradualReinstatement(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a")
	for range 4 {
		bt.send("a", ms, Failure)
	}
	bt.now += initialProbeInterval
	var inFlight []*Call
	admittedConcurrently := []int{}
	for range 4 {
		for {
			c, _ := bt.detector.Admit(bt.now, bt.request("a"))
			if c == nil {
				break
			}
			c.Start(bt.now)
			inFlight = append(inFlight, c)
			if len(inFlight) > 100 {
				admittedConcurrently = append(admittedConcurrently, len(inFlight))
				break
			}
		}
		admittedConcurrently = append(admittedConcurrently, len(inFlight))
		bt.now += 50 * ms
		for _, c := range inFlight {
			c.Close(bt.now, Success)
		}
		inFlight = nil
	}
	if admittedConcurrently[0] != 1 || admittedConcurrently[1] != 1 || admittedConcurrently[2] != 2 || admittedConcurrently[3] != 4 {
		t.Errorf("requests admitted concurrently in each round: %v", admittedConcurrently)
	}
	bt.warmUp("a")
	if bt.ejected("a") || bt.detector.FaultRate("a") != 0 {
		t.Error("a recovered backend isn't reinstated")
	}
}

// TestRepeatedEjectionsBackOff: each further ejection and each failed probe lengthens the pause before the next probe, up to a
// maximum.
func TestRepeatedEjectionsBackOff(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a")
	first := monotonic.Micros(0)
	for round := range 4 {
		for !bt.ejected("a") {
			bt.send("a", ms, Failure)
		}
		startedAt := bt.now
		for !bt.send("a", ms, Success) {
			bt.now += 10 * ms
		}
		waited := bt.now - startedAt
		if round == 0 {
			first = waited
		}
		if round == 3 && waited < 3*first || waited > maxProbeInterval+20*ms {
			t.Errorf("ejection %d: the first probe was admitted after %d ms", round, waited/ms)
		}
		for bt.ejected("a") {
			bt.send("a", ms, Success)
		}
	}
	for !bt.ejected("a") {
		bt.send("a", ms, Failure)
	}
	probes := 0
	for startedAt := bt.now; bt.now < startedAt+20*monotonic.Second; bt.now += 10 * ms {
		if bt.send("a", ms, Failure) {
			probes++
		}
	}
	if probes > 11 || probes < 8 {
		t.Errorf("%d probes in 20 s of failures", probes)
	}
}

// TestEjectionForOneDomain: a fault that affects the callers of only one domain ejects the backend only for them.
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

// TestSlowBackendWithinLatencyTarget: a slow backend still receives the requests that it can serve within their latency target.
func TestSlowBackendWithinLatencyTarget(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a")
	admitted, admittedLongTarget := 0, 0
	sendBoth := func(elapsed monotonic.Micros) {
		if bt.send("a", elapsed, Success) {
			admitted++
		}
		request := bt.request("a")
		request.LatencyTarget = 2 * monotonic.Second
		if bt.sendRequest(request, elapsed, Success) {
			admittedLongTarget++
		}
	}
	for range 30 {
		sendBoth(230 * ms) // 4.6 times the baseline, and within the target
	}
	if admitted != 30 || admittedLongTarget != 30 {
		t.Errorf("%d and %d of 30 requests with a reachable target were admitted", admitted, admittedLongTarget)
	}
	admitted, admittedLongTarget = 0, 0
	for range 40 {
		sendBoth(290 * ms)
		bt.peers.LatencyRatio = 1
	}
	if admitted != 40 {
		t.Errorf("%d of 40 requests with a reachable target were admitted", admitted)
	}
}

// TestSlowBackendMissesLatencyTarget: a slow backend receives few of the requests whose latency target it would miss, and all
// of them again once it is fast.
func TestSlowBackendMissesLatencyTarget(t *testing.T) {
	bt := newBackendTest(t)
	bt.warmUp("a")
	sendShortTarget := func(elapsed monotonic.Micros) bool {
		request := bt.request("a")
		request.LatencyTarget = 120 * ms
		admitted := bt.sendRequest(request, elapsed, Success)
		if !admitted {
			bt.now += 50 * ms
		}
		return admitted
	}
	admittedCount := 0
	for range 60 {
		if sendShortTarget(200 * ms) {
			admittedCount++
		}
	}
	if admittedCount > 25 {
		t.Errorf("%d of 60 requests went to a backend that can't serve them in time", admittedCount)
	}
	for range 20 {
		bt.now += initialProbeInterval
		sendShortTarget(50 * ms)
	}
	for range 2 {
		if !sendShortTarget(50 * ms) {
			t.Error("a request to a recovered backend was rejected")
		}
	}
}

// TestClosingCalls: closing a call twice has no further effect, and the outcome of a call that never started isn't counted.
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
		t.Error("a probe that was never sent to the backend blocks the next one")
	}
	if len(bt.detector.calls) != 0 || bt.detector.global.probesInFlight != 1 {
		t.Errorf("%d in flight, %d probes in flight", len(bt.detector.calls), bt.detector.global.probesInFlight)
	}
}
