package forward

import (
	"fmt"
	"testing"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/session"
	"snowflow/internal/simulation/world"
)

const ms = monotonic.Millisecond

// queueing is a run of callers at backends, in simulated time: the real chooser at each caller, the real gate's slots at
// each backend. Only the way between them is a pause.
type spreadRun struct {
	speeds                 []float64
	slots                  uint32
	callers                int
	zones                  int
	unequal                bool    // a zone's callers bring three times as much as the next one's
	utilisation            float64 // of all slots
	latencyTarget, timeout monotonic.Micros
	length                 monotonic.Micros
	ownLoadOnly            bool // by the own requests in flight alone, as where slots aren't known
}

type spreadResult struct {
	requests, rejected, late, crossDomain, redispatches int
	total                                               monotonic.Micros
	byBackend                                           map[string]int
}

func (r spreadResult) failedShare() float64 {
	return float64(r.rejected+r.late) / float64(r.requests)
}

func (r spreadResult) String() string {
	return fmt.Sprintf("%d asked, %.2f %% refused, %.2f %% late, mean %d ms, %.2f %% to another zone, %d moves, by backend %v", r.requests, 100*float64(r.rejected)/float64(r.requests),
		100*float64(r.late)/float64(r.requests), r.total/monotonic.Micros(max(1, r.requests-r.rejected))/ms, 100*float64(r.crossDomain)/float64(r.requests), r.redispatches, r.byBackend)
}

func (r spreadRun) run(t *testing.T, seed uint64) (result spreadResult) {
	simulated := world.New(seed)
	defer simulated.Close()
	result.byBackend = map[string]int{}
	simulated.Start(simulated.Add("one", "one", "one", func(node *world.Host) (host.Handlers, error) {
		backends := localbackends.New(node, func() {})
		directory := &session.Directory{Candidates: map[string][]session.Candidate{}, ProxiesByDomain: map[string]int{}, Live: r.callers}
		speeds := map[string]float64{}
		total := 0.0
		for index, speed := range r.speeds {
			name := fmt.Sprintf("backend-%d", index)
			speeds[name], total = speed, total+speed
			_, _ = backends.ApplyReport(localbackends.Report{Backend: localbackends.Backend{Service: "forms", Instance: name, Address: name}, Slots: r.slots, Condition: localbackends.Alive, Sequence: 1})
			candidate := session.Candidate{Proxy: "carrier-" + name, Domain: fmt.Sprint("zone-", index%r.zones), Service: "forms", Instance: name, Slots: r.slots}
			if r.ownLoadOnly {
				candidate.Slots = 0
			}
			directory.Candidates["forms"] = append(directory.Candidates["forms"], candidate)
		}
		node.Go(func() { // their beats
			for sequence := uint64(2); ; sequence++ {
				node.Sleep(2 * monotonic.Second)
				for name := range speeds {
					_, _ = backends.ApplyReport(localbackends.Report{Backend: localbackends.Backend{Service: "forms", Instance: name, Address: name}, Slots: r.slots, Condition: localbackends.Alive, Sequence: sequence})
				}
			}
		})
		const meanWork = 157500.0 // of 15 to 300 ms, at speed 1
		rate := r.utilisation * total * float64(r.slots) / meanWork
		weights, sum := make([]float64, r.callers), 0.0
		for index := range r.callers {
			weights[index] = 1
			if r.unequal {
				weights[index] = []float64{3, 1, 1.0 / 3}[index%r.zones%3]
			}
			sum += weights[index]
		}
		random := simulated.Rand()
		for index := range r.callers {
			domain := fmt.Sprint("zone-", index%r.zones)
			directory.ProxiesByDomain[domain]++
			balancer := newLoadBalancer(node, domain, false, 20*ms)
			node.Go(func() {
				for {
					node.Sleep(monotonic.Micros(random.ExpFloat64() * sum / (rate * weights[index])))
					node.Go(func() {
						if work := monotonic.Micros(15000 + random.IntN(285000)); result.requests >= 0 {
							r.request(node, backends, balancer, directory, speeds, work, &result)
						}
					})
				}
			})
		}
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + r.length)
	if simulated.Panicked != nil {
		t.Fatal(simulated.Panicked)
	}
	return result
}

func (r spreadRun) request(node *world.Host, backends *localbackends.Set, balancer *loadBalancer, directory *session.Directory, speeds map[string]float64, work monotonic.Micros, result *spreadResult) {
	began, avoid := node.Now(), map[string]bool{}
	result.requests++
	for made := 0; ; made++ {
		candidate, lastBackend, release, _ := balancer.pick(directory, pickCriteria{service: "forms", avoid: avoid})
		avoid[candidate.Instance] = true
		lastBackend = lastBackend || made == maxRedispatches
		delay := ms / 2
		if candidate.Domain != balancer.domain {
			delay = 2 * ms
		}
		node.Sleep(delay)
		admitted, fault := backends.Admit(localbackends.Request{Instance: candidate.Instance, Service: "forms", Request: slots.Request{LatencyTarget: began + r.latencyTarget, Deadline: began + r.timeout, Patient: lastBackend}})
		if fault == nil {
			node.Sleep(monotonic.Micros(float64(work) / speeds[candidate.Instance]))
			admitted.Release(slots.Completed)
		}
		load := backends.Load(candidate.Instance, "")
		node.Sleep(delay)
		if !r.ownLoadOnly {
			balancer.observeLoad(candidate.Instance, "", load)
		}
		release()
		if fault != nil && !lastBackend {
			result.redispatches++
			continue
		}
		if fault != nil {
			result.rejected++
			return
		}
		result.byBackend[candidate.Instance]++
		if candidate.Domain != balancer.domain {
			result.crossDomain++
		}
		elapsed := node.Now() - began
		result.total += elapsed
		if elapsed > r.latencyTarget {
			result.late++
		}
		return
	}
}

// TestSpreadUnderLoad: near full, at backends of unequal speeds, fewer requests are refused or late than when callers go by their own
// requests alone.
func TestSpreadUnderLoad(t *testing.T) {
	for _, row := range []struct {
		name    string
		zones   int
		unequal bool
		load    float64
	}{
		{"one zone", 1, false, 0.9},
		{"two zones, equal callers", 2, false, 0.9},
		{"two zones, one brings three times as much", 2, true, 0.9},
		{"two zones, one brings three times as much", 2, true, 0.85},
		{"two zones, one brings three times as much", 2, true, 0.95},
		{"two zones, half loaded", 2, false, 0.5},
	} {
		run := spreadRun{speeds: []float64{0.5, 1, 1, 1.5}, slots: 6, callers: 12, zones: row.zones, unequal: row.unequal, utilisation: row.load, latencyTarget: 600 * ms, timeout: 2 * monotonic.Second, length: 60 * monotonic.Second}
		var failed, failedOwnLoadOnly float64
		for seed := range uint64(3) {
			run.ownLoadOnly = false
			byExpectedTime := run.run(t, seed)
			run.ownLoadOnly = true
			byOwnLoad := run.run(t, seed)
			failed, failedOwnLoadOnly = failed+byExpectedTime.failedShare()/3, failedOwnLoadOnly+byOwnLoad.failedShare()/3
			if seed == 0 {
				t.Logf("%s at %.2f:\n by expected time: %s\n by own in flight: %s", row.name, row.load, byExpectedTime, byOwnLoad)
			}
		}
		t.Logf("%s at %.2f, three runs: %.2f %% refused or late, by own in flight %.2f %%", row.name, row.load, 100*failed, 100*failedOwnLoadOnly)
		if failed > failedOwnLoadOnly {
			t.Errorf("%s at %.2f: worse than by the own requests alone", row.name, row.load)
		}
	}
}
