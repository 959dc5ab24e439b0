package forward

import (
	"fmt"
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/proxy/session"
	"snowflow/internal/simulation/world"
)

// ailing is a run of many callers at a service of which one backend falls ill for a while: the real chooser at each caller, the
// real slots and standing at each backend's gate. A request that fails is tried at one more backend.
type unhealthyRun struct {
	fault             func(node *world.Host, random float64, left monotonic.Micros, domain string) (fails bool, took monotonic.Micros)
	withoutEjection   bool // nobody is left out, for comparison
	unhealthyBackends int  // how many backends fall ill
	callers           int
}

const (
	backendCount                  = 12
	unhealthyFrom, unhealthyUntil = 10 * monotonic.Second, 16 * monotonic.Second
	requestTimeout                = 800 * ms
)

type requestCounts struct {
	requests, failed, afterRecovery, afterRecoveryAtUnhealthy int
	unhealthyVisits                                           int // to those ill, while ill
}

func (c requestCounts) failedShare() float64 { return float64(c.failed) / float64(max(1, c.requests)) }

func (r unhealthyRun) run(t *testing.T, seed uint64) (result requestCounts) {
	simulated := world.New(seed)
	defer simulated.Close()
	simulated.Start(simulated.Add("one", "one", "one", func(node *world.Host) (host.Handlers, error) {
		began := node.Now()
		backends := localbackends.New(node, func() {})
		directory := &session.Directory{Candidates: map[string][]session.Candidate{}, ProxiesByDomain: map[string]int{}, Live: r.callers}
		sendHeartbeats := func(sequence uint64) {
			for index := range backendCount {
				name := fmt.Sprintf("backend-%02d", index)
				_, _ = backends.ApplyReport(localbackends.Report{Backend: localbackends.Backend{Service: "forms", Instance: name, Address: name}, Slots: 4, Condition: localbackends.Alive, Sequence: sequence})
			}
		}
		sendHeartbeats(1)
		for index := range backendCount {
			name := fmt.Sprintf("backend-%02d", index)
			directory.Candidates["forms"] = append(directory.Candidates["forms"], session.Candidate{Proxy: "carrier-" + name, Domain: fmt.Sprint("zone-", index%3), Service: "forms", Instance: name, Slots: 4})
		}
		node.Go(func() {
			for sequence := uint64(2); ; sequence++ {
				node.Sleep(2 * monotonic.Second)
				sendHeartbeats(sequence)
			}
		})
		random := simulated.Rand()
		const meanWork = 70000.0
		rate := 0.6 * backendCount * 4 / meanWork
		for index := range r.callers {
			domain := fmt.Sprint("zone-", index%3)
			directory.ProxiesByDomain[domain]++
			balancer := newLoadBalancer(node, domain, false, ms)
			node.Go(func() {
				for {
					node.Sleep(monotonic.Micros(random.ExpFloat64() * float64(r.callers) / rate))
					node.Go(func() {
						work := monotonic.Micros(20000 + random.IntN(100000))
						r.request(node, backends, balancer, directory, node.Now()-began, work, random.Float64(), &result)
					})
				}
			})
		}
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + 30*monotonic.Second)
	if simulated.Panicked != nil {
		t.Fatal(simulated.Panicked)
	}
	return result
}

func (r unhealthyRun) isUnhealthy(instance string) bool {
	index := 0
	_, _ = fmt.Sscanf(instance, "backend-%d", &index)
	return index < r.unhealthyBackends
}

// request plays one request; at is its moment in the run.
func (r unhealthyRun) request(node *world.Host, backends *localbackends.Set, balancer *loadBalancer, directory *session.Directory, at, work monotonic.Micros, random float64, result *requestCounts) {
	began, avoid := node.Now(), map[string]bool{}
	during := at >= unhealthyFrom && at < unhealthyUntil
	if during {
		result.requests++
	}
	attempts, served := 0, false
	for made := 0; attempts < 2 && !served && made < 8; made++ {
		candidate, lastBackend, release, _ := balancer.pick(directory, pickCriteria{service: "forms", avoid: avoid, latencyTarget: 400 * ms})
		avoid[candidate.Instance] = true
		lastBackend = lastBackend || made >= maxRedispatches
		node.Sleep(ms / 2)
		unhealthy := r.isUnhealthy(candidate.Instance) && during
		reached, fine := r.visit(node, backends, balancer, directory, candidate, began, work, random, lastBackend, unhealthy)
		release()
		if reached {
			attempts++
			if unhealthy {
				result.unhealthyVisits++
			}
			if at >= unhealthyUntil+5*monotonic.Second {
				result.afterRecovery++
				if r.isUnhealthy(candidate.Instance) {
					result.afterRecoveryAtUnhealthy++
				}
			}
		}
		served = fine
	}
	if during && (!served || node.Now()-began > 400*ms) {
		result.failed++
	}
}

// visit plays what a gate does with a request.
func (r unhealthyRun) visit(node *world.Host, backends *localbackends.Set, balancer *loadBalancer, directory *session.Directory, candidate session.Candidate, began, work monotonic.Micros, random float64, lastBackend, unhealthy bool) (reached, fine bool) {
	remaining := began + requestTimeout - node.Now()
	peers := balancer.peersOf(directory, "forms", candidate.Instance)
	defer func() {
		load := backends.Load(candidate.Instance, "forms")
		backends.AddHealth(load, candidate.Instance, balancer.domain, "forms")
		node.Sleep(ms / 2)
		balancer.observeLoad(candidate.Instance, "forms", load)
		balancer.observeHealth(directory, "forms", candidate.Instance, load)
	}()
	visit, fault := backends.Observe(candidate.Instance, outlier.RequestInfo{Domain: balancer.domain, Kind: "forms", LatencyTarget: began + 400*ms - node.Now(), Idempotent: true, NoAlternative: lastBackend || r.withoutEjection,
		Peers: outlier.Peers{Known: int(peers.Known), Ejected: int(peers.Ejected), FaultRate: float64(peers.FaultRate) / 1000, LatencyRatio: float64(peers.LatencyRatio) / 1000}})
	if fault != nil {
		if fault.Cause == apierror.BackendUnhealthy {
			balancer.markUnavailable(candidate.Instance)
		}
		return false, false
	}
	defer visit.Close(outlier.Unknown)
	admitted, fault := backends.Admit(localbackends.Request{Instance: candidate.Instance, Service: "forms", Request: slots.Request{LatencyTarget: began + 400*ms, Deadline: began + requestTimeout, Patient: lastBackend}})
	if fault != nil {
		return false, false
	}
	visit.Start()
	fails, took := false, work
	if unhealthy {
		if fails, took = r.fault(node, random, remaining, balancer.domain); took == 0 {
			took = work
		} else if took < 0 {
			took = -took * work
		}
	}
	node.Sleep(min(took, max(1, began+requestTimeout-node.Now())))
	outcome, end := outlier.Success, slots.Completed
	if fails {
		outcome, end = outlier.Failure, slots.Released
	}
	if began+requestTimeout <= node.Now() {
		outcome, end, fails = outlier.Unknown, slots.Released, true
	}
	visit.Close(outcome)
	admitted.Release(end)
	balancer.observeOutcome(candidate.Instance, fails)
	return true, !fails
}

// illnesses are the ways in which a backend may be ill while it says that it's well. A negative time is a multiple of the usual one.
var backendFaults = map[string]func(node *world.Host, random float64, left monotonic.Micros, domain string) (bool, monotonic.Micros){
	"errors": func(*world.Host, float64, monotonic.Micros, string) (bool, monotonic.Micros) { return true, ms },
	"four errors in ten": func(_ *world.Host, random float64, _ monotonic.Micros, _ string) (bool, monotonic.Micros) {
		return random < 0.4, 0
	},
	"a third hangs": func(_ *world.Host, random float64, left monotonic.Micros, _ string) (bool, monotonic.Micros) {
		if random < 0.34 {
			return true, left
		}
		return false, 0
	},
	"all hangs": func(_ *world.Host, _ float64, left monotonic.Micros, _ string) (bool, monotonic.Micros) {
		return true, left
	},
	"eight times slower": func(*world.Host, float64, monotonic.Micros, string) (bool, monotonic.Micros) { return false, -8 },
	"errors for one zone": func(_ *world.Host, _ float64, _ monotonic.Micros, domain string) (bool, monotonic.Micros) {
		if domain == "zone-0" {
			return true, ms
		}
		return false, 0
	},
}

// TestUnhealthyBackendsAreAvoided: of many callers, few lose requests to a backend that is ill while it says that it's well, and afterwards it's used as
// before. Each row holds the most that may be lost, and the most visits to those ill, as parts of what it is without.
func TestUnhealthyBackendsAreAvoided(t *testing.T) {
	for name, allowed := range map[string]struct{ lost, visits float64 }{"errors": {1, 0.1}, "four errors in ten": {1, 0.2}, "a third hangs": {0.5, 0.4},
		"all hangs": {0.3, 0.3}, "eight times slower": {0.7, 0.6}, "errors for one zone": {1, 0.7}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var with, without requestCounts
			for seed := range uint64(3) {
				one := unhealthyRun{fault: backendFaults[name], unhealthyBackends: 2, callers: 72}.run(t, seed)
				other := unhealthyRun{fault: backendFaults[name], unhealthyBackends: 2, callers: 72, withoutEjection: true}.run(t, seed)
				with.requests, with.failed, with.unhealthyVisits, with.afterRecovery, with.afterRecoveryAtUnhealthy = with.requests+one.requests, with.failed+one.failed, with.unhealthyVisits+one.unhealthyVisits, with.afterRecovery+one.afterRecovery, with.afterRecoveryAtUnhealthy+one.afterRecoveryAtUnhealthy
				without.requests, without.failed, without.unhealthyVisits = without.requests+other.requests, without.failed+other.failed, without.unhealthyVisits+other.unhealthyVisits
			}
			t.Logf(name+": two of twelve ill for 6 s: %.2f %% of %d late or lost, %d visits; without %.2f %%, %d visits; 5 s later they have %.3f of all", 100*with.failedShare(), with.requests, with.unhealthyVisits, 100*without.failedShare(), without.unhealthyVisits, float64(with.afterRecoveryAtUnhealthy)/float64(with.afterRecovery))
			if with.failedShare() > allowed.lost*without.failedShare() || float64(with.unhealthyVisits) > allowed.visits*float64(without.unhealthyVisits) {
				t.Errorf("%.4f of the requests are late or lost, %.4f where nobody is left out; %d visits, and %d", with.failedShare(), without.failedShare(), with.unhealthyVisits, without.unhealthyVisits)
			}
			if back := float64(with.afterRecoveryAtUnhealthy) / float64(with.afterRecovery); back < 0.1 {
				t.Errorf("they have %.3f of all 5 s later, not near 0.167", back)
			}
		})
	}
}

// TestAllBackendsUnhealthy: what the whole service has leaves nobody out for long: requests still come to backends.
func TestAllBackendsUnhealthy(t *testing.T) {
	result := unhealthyRun{fault: backendFaults["errors"], unhealthyBackends: backendCount, callers: 72}.run(t, 1)
	if result.unhealthyVisits < result.requests/2 {
		t.Errorf("%d of %d requests came to a backend, though none is better than another", result.unhealthyVisits, result.requests)
	}
}
