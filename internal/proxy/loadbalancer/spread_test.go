package loadbalancer

import (
	"fmt"
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/retry"
)

// spreadRun simulates callers that distribute their requests over backends of unequal speeds.
type spreadRun struct {
	speeds                 []float64 // of each backend
	slots                  uint32    // of each backend
	callers                int
	domains                int
	unequal                bool    // a domain's callers send three times as many requests as the next domain's
	utilisation            float64 // mean share of all slots that is occupied
	latencyTarget, timeout monotonic.Micros
	duration               monotonic.Micros
	ownLoadOnly            bool // balance by the caller's own requests in flight only, as if the slots were unknown
}

// spreadResult counts the requests of a run by their outcome.
type spreadResult struct {
	requests, rejected, late, crossDomain, redispatches int
	total                                               monotonic.Micros // sum of the response times of all served requests
	byBackend                                           map[string]int
}

func (r spreadResult) failedShare() float64 {
	return float64(r.rejected+r.late) / float64(r.requests)
}

func (r spreadResult) String() string {
	percent := func(count int) float64 { return 100 * float64(count) / float64(r.requests) }
	mean := r.total / monotonic.Micros(max(1, r.requests-r.rejected)) / ms
	return fmt.Sprintf("%d requests, %.2f %% rejected, %.2f %% late, mean %d ms, %.2f %% to another domain, %d redispatches, by backend %v",
		r.requests, percent(r.rejected), percent(r.late), mean, percent(r.crossDomain), r.redispatches, r.byBackend)
}

// run simulates the run with a seed.
func (r spreadRun) run(t *testing.T, seed uint64) spreadResult {
	t.Helper()
	result := spreadResult{byBackend: map[string]int{}}
	runFleet(t, seed, r.duration, func(fleet *fleet) {
		speeds := map[string]float64{}
		var names []string
		total := 0.0
		for index, speed := range r.speeds {
			name := fmt.Sprintf("backend-%d", index)
			names = append(names, name)
			speeds[name], total = speed, total+speed
		}
		fleet.addBackends(names, r.slots, r.domains)
		if r.ownLoadOnly {
			for index := range fleet.directory.Candidates["forms"] {
				fleet.directory.Candidates["forms"][index].Slots = 0
			}
		}
		const meanServiceTime = 157500.0 // microseconds: the mean of 15 to 300 ms, at speed 1
		rate := r.utilisation * total * float64(r.slots) / meanServiceTime
		weights, sum := r.weights()
		for index := range r.callers {
			fleet.addCaller(domainOf(index, r.domains), 20*ms, sum/(rate*weights[index]), func(balancer *Balancer) func() {
				serviceTime := fleet.uniformServiceTime(15000, 285000)
				return func() { r.sendRequest(fleet, balancer, speeds, serviceTime, &result) }
			})
		}
	})
	return result
}

// weights returns the relative request rate of each caller, and their sum.
func (r spreadRun) weights() (weights []float64, sum float64) {
	for index := range r.callers {
		weight := 1.0
		if r.unequal {
			weight = []float64{3, 1, 1.0 / 3}[index%r.domains%3]
		}
		weights, sum = append(weights, weight), sum+weight
	}
	return weights, sum
}

// sendRequest simulates one request, with its redispatches.
func (r spreadRun) sendRequest(fleet *fleet, balancer *Balancer, speeds map[string]float64, serviceTime monotonic.Micros, result *spreadResult) {
	startedAt, avoid := fleet.node.Now(), map[string]bool{}
	result.requests++
	for attempt := 0; ; attempt++ {
		pick, _ := balancer.Pick(fleet.directory, Criteria{Service: "forms", Avoid: avoid})
		instance := pick.Candidate.Instance
		avoid[instance] = true
		lastBackend := pick.LastBackend || attempt == retry.MaxRedispatches
		delay := ms / 2
		if pick.Candidate.Domain != balancer.domain {
			delay = 2 * ms
		}
		fleet.node.Sleep(delay)
		slot, fault := fleet.backends.Admit(localbackends.Request{Instance: instance, Service: "forms", Request: slots.Request{LatencyTarget: startedAt + r.latencyTarget, Deadline: startedAt + r.timeout, NoAlternative: lastBackend}})
		if fault == nil {
			fleet.node.Sleep(monotonic.Micros(float64(serviceTime) / speeds[instance]))
			slot.Release(slots.Completed)
		}
		load := fleet.backends.Load(instance, "")
		fleet.node.Sleep(delay)
		if !r.ownLoadOnly {
			balancer.ObserveLoad(instance, "", load)
		}
		pick.Release()
		if fault != nil && !lastBackend {
			result.redispatches++
			continue
		}
		if fault != nil {
			result.rejected++
			return
		}
		result.byBackend[instance]++
		if pick.Candidate.Domain != balancer.domain {
			result.crossDomain++
		}
		elapsed := fleet.node.Now() - startedAt
		result.total += elapsed
		if elapsed > r.latencyTarget {
			result.late++
		}
		return
	}
}

// TestSpreadUnderLoad: at high utilisation of backends of unequal speeds, no more requests are rejected or late than when callers
// balance by their own requests in flight alone.
func TestSpreadUnderLoad(t *testing.T) {
	for _, test := range []struct {
		name        string
		domains     int
		unequal     bool
		utilisation float64
	}{
		{"one domain", 1, false, 0.9},
		{"two domains, equal callers", 2, false, 0.9},
		{"two domains, one sends three times as much", 2, true, 0.9},
		{"two domains, one sends three times as much", 2, true, 0.85},
		{"two domains, one sends three times as much", 2, true, 0.95},
		{"two domains, half loaded", 2, false, 0.5},
	} {
		t.Run(fmt.Sprintf("%s at %.2f", test.name, test.utilisation), func(t *testing.T) {
			run := spreadRun{speeds: []float64{0.5, 1, 1, 1.5}, slots: 6, callers: 12, domains: test.domains, unequal: test.unequal, utilisation: test.utilisation, latencyTarget: 600 * ms, timeout: 2 * monotonic.Second, duration: 60 * monotonic.Second}
			var failed, failedOwnLoadOnly float64
			for seed := range uint64(3) {
				run.ownLoadOnly = false
				byExpectedTime := run.run(t, seed)
				run.ownLoadOnly = true
				byOwnLoad := run.run(t, seed)
				failed, failedOwnLoadOnly = failed+byExpectedTime.failedShare()/3, failedOwnLoadOnly+byOwnLoad.failedShare()/3
				if seed == 0 {
					t.Logf("by expected response time: %s\n by own requests in flight: %s", byExpectedTime, byOwnLoad)
				}
			}
			t.Logf("three runs: %.2f %% rejected or late, by own requests in flight %.2f %%", 100*failed, 100*failedOwnLoadOnly)
			if failed > failedOwnLoadOnly {
				t.Errorf("%.4f rejected or late, %.4f by own requests in flight", failed, failedOwnLoadOnly)
			}
		})
	}
}
