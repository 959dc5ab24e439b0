package loadbalancer

import (
	"fmt"
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/proxy/retry"
	"snowflow/internal/proxy/session"
)

const (
	backendCount                  = 12
	unhealthyFrom, unhealthyUntil = 10 * monotonic.Second, 16 * monotonic.Second
	requestLatencyTarget          = 400 * ms
	requestTimeout                = 800 * ms
)

// unhealthyRun simulates many callers of a service some of whose backends are unhealthy for a while, although they report that
// they are healthy. A failed request is retried once at another backend.
type unhealthyRun struct {
	fault             backendFault
	withoutEjection   bool // no backend is ejected, for comparison
	unhealthyBackends int
	callers           int
}

// requestCounts counts the requests of a run by their outcome.
type requestCounts struct {
	requests, failed         int // requests sent while backends were unhealthy; failed includes late ones
	unhealthyVisits          int // requests that reached an unhealthy backend
	afterRecovery            int // visits to backends by requests sent 5 s or more after the recovery
	afterRecoveryAtUnhealthy int // the part of afterRecovery at the backends that had been unhealthy
}

func (c *requestCounts) add(other requestCounts) {
	c.requests += other.requests
	c.failed += other.failed
	c.unhealthyVisits += other.unhealthyVisits
	c.afterRecovery += other.afterRecovery
	c.afterRecoveryAtUnhealthy += other.afterRecoveryAtUnhealthy
}

func (c requestCounts) failedShare() float64 { return float64(c.failed) / float64(max(1, c.requests)) }

// run simulates the run with a seed.
func (r unhealthyRun) run(t *testing.T, seed uint64) (counts requestCounts) {
	t.Helper()
	runFleet(t, seed, 30*monotonic.Second, func(fleet *fleet) {
		var names []string
		for index := range backendCount {
			names = append(names, fmt.Sprintf("backend-%02d", index))
		}
		fleet.addBackends(names, 4, 3)
		const meanServiceTime = 70000.0 // microseconds: the mean of 20 to 120 ms
		rate := 0.6 * backendCount * 4 / meanServiceTime
		for index := range r.callers {
			fleet.addCaller(domainOf(index, 3), ms, float64(r.callers)/rate, func(balancer *Balancer) func() {
				serviceTime := fleet.uniformServiceTime(20000, 100000)
				request := &unhealthyRequest{unhealthyRun: r, fleet: fleet, balancer: balancer, serviceTime: serviceTime, random: fleet.random.Float64(), startedAt: fleet.node.Now()}
				return func() { request.send(&counts) }
			})
		}
	})
	return counts
}

// isUnhealthy reports whether a backend is one of those that become unhealthy.
func (r unhealthyRun) isUnhealthy(instance string) bool {
	index := 0
	_, _ = fmt.Sscanf(instance, "backend-%d", &index)
	return index < r.unhealthyBackends
}

// unhealthyRequest is one request of a run.
type unhealthyRequest struct {
	unhealthyRun
	*fleet
	balancer    *Balancer
	serviceTime monotonic.Micros // at a healthy backend
	random      float64          // in [0, 1); determines whether an unhealthy backend fails the request
	startedAt   monotonic.Micros
}

// send simulates the request: it is dispatched to at most 8 backends and makes at most 2 attempts.
func (r *unhealthyRequest) send(counts *requestCounts) {
	avoid := map[string]bool{}
	sentAt := r.startedAt - r.fleet.startedAt
	duringFault := sentAt >= unhealthyFrom && sentAt < unhealthyUntil
	if duringFault {
		counts.requests++
	}
	attempts, served := 0, false
	for dispatches := 0; attempts < 2 && !served && dispatches < 8; dispatches++ {
		pick, _ := r.balancer.Pick(r.directory, Criteria{Service: "forms", Avoid: avoid, LatencyTarget: requestLatencyTarget})
		instance := pick.Candidate.Instance
		avoid[instance] = true
		lastBackend := pick.LastBackend || dispatches >= retry.MaxRedispatches
		r.node.Sleep(ms / 2)
		unhealthy := r.isUnhealthy(instance) && duringFault
		reached, succeeded := r.visit(pick.Candidate, lastBackend, unhealthy)
		pick.Release()
		if reached {
			attempts++
			if unhealthy {
				counts.unhealthyVisits++
			}
			if sentAt >= unhealthyUntil+5*monotonic.Second {
				counts.afterRecovery++
				if r.isUnhealthy(instance) {
					counts.afterRecoveryAtUnhealthy++
				}
			}
		}
		served = succeeded
	}
	if duringFault && (!served || r.node.Now()-r.startedAt > requestLatencyTarget) {
		counts.failed++
	}
}

// visit simulates how a backend's proxy and its backend handle a request.
func (r *unhealthyRequest) visit(candidate session.Candidate, lastBackend, unhealthy bool) (reached, succeeded bool) {
	instance, domain := candidate.Instance, r.balancer.domain
	remaining := r.startedAt + requestTimeout - r.node.Now()
	peers := r.balancer.PeerStatistics(r.directory, "forms", instance)
	defer func() {
		load := r.backends.Load(instance, "forms")
		r.backends.AddHealth(load, instance, domain, "forms")
		r.node.Sleep(ms / 2)
		r.balancer.ObserveLoad(instance, "forms", load)
		r.balancer.ObserveHealth(r.directory, "forms", instance, load)
	}()
	observation, fault := r.backends.Observe(instance, outlier.RequestInfo{Domain: domain, Kind: "forms", LatencyTarget: r.startedAt + requestLatencyTarget - r.node.Now(), Idempotent: true, NoAlternative: lastBackend || r.withoutEjection,
		Peers: outlier.Peers{Known: int(peers.Known), Ejected: int(peers.Ejected), FaultRate: float64(peers.FaultRate) / 1000, LatencyRatio: float64(peers.LatencyRatio) / 1000}})
	if fault != nil {
		if fault.Cause == apierror.BackendUnhealthy {
			r.balancer.MarkUnavailable(instance)
		}
		return false, false
	}
	defer observation.Close(outlier.Unknown)
	slot, fault := r.backends.Admit(localbackends.Request{Instance: instance, Service: "forms", Request: slots.Request{LatencyTarget: r.startedAt + requestLatencyTarget, Deadline: r.startedAt + requestTimeout, NoAlternative: lastBackend}})
	if fault != nil {
		return false, false
	}
	observation.Start()
	fails, elapsed := false, r.serviceTime
	if unhealthy {
		if fails, elapsed = r.fault(r.random, remaining, domain); elapsed == 0 {
			elapsed = r.serviceTime
		} else if elapsed < 0 {
			elapsed = -elapsed * r.serviceTime
		}
	}
	r.node.Sleep(min(elapsed, max(1, r.startedAt+requestTimeout-r.node.Now())))
	outcome, end := outlier.Success, slots.Completed
	if fails {
		outcome, end = outlier.Failure, slots.Released
	}
	if r.startedAt+requestTimeout <= r.node.Now() {
		outcome, end, fails = outlier.Unknown, slots.Released, true
	}
	observation.Close(outcome)
	slot.Release(end)
	r.balancer.ObserveOutcome(instance, fails)
	return true, !fails
}

// backendFault returns whether an unhealthy backend fails a request, given a random number in [0, 1), and how long the request
// takes. An elapsed time of 0 stands for the request's service time, and -n for n times the service time.
type backendFault func(random float64, remaining monotonic.Micros, domain string) (fails bool, elapsed monotonic.Micros)

// backendFaults holds the ways in which a backend may be unhealthy, by test case.
var backendFaults = map[string]backendFault{
	"errors": func(float64, monotonic.Micros, string) (bool, monotonic.Micros) { return true, ms },
	"four errors in ten": func(random float64, _ monotonic.Micros, _ string) (bool, monotonic.Micros) {
		return random < 0.4, 0
	},
	"a third hangs": func(random float64, remaining monotonic.Micros, _ string) (bool, monotonic.Micros) {
		if random < 0.34 {
			return true, remaining
		}
		return false, 0
	},
	"all hangs": func(_ float64, remaining monotonic.Micros, _ string) (bool, monotonic.Micros) {
		return true, remaining
	},
	"eight times slower": func(float64, monotonic.Micros, string) (bool, monotonic.Micros) { return false, -8 },
	"errors for one zone": func(_ float64, _ monotonic.Micros, domain string) (bool, monotonic.Micros) {
		if domain == "zone-0" {
			return true, ms
		}
		return false, 0
	},
}

// TestUnhealthyBackendsAreAvoided: callers lose few requests to backends that are unhealthy but report that they are healthy, and
// use them as before after the recovery. Each case sets the largest allowed numbers of lost requests and of visits to unhealthy
// backends, as a share of those without ejection.
func TestUnhealthyBackendsAreAvoided(t *testing.T) {
	for name, allowed := range map[string]struct{ lost, visits float64 }{
		"errors":              {1, 0.1},
		"four errors in ten":  {1, 0.2},
		"a third hangs":       {0.5, 0.4},
		"all hangs":           {0.3, 0.3},
		"eight times slower":  {0.7, 0.6},
		"errors for one zone": {1, 0.7},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var with, without requestCounts
			for seed := range uint64(3) {
				with.add(unhealthyRun{fault: backendFaults[name], unhealthyBackends: 2, callers: 72}.run(t, seed))
				without.add(unhealthyRun{fault: backendFaults[name], unhealthyBackends: 2, callers: 72, withoutEjection: true}.run(t, seed))
			}
			shareAfter := float64(with.afterRecoveryAtUnhealthy) / float64(with.afterRecovery)
			t.Logf("two of twelve backends unhealthy for 6 s: %.2f %% of %d requests late or lost, %d visits; without ejection %.2f %%, %d visits; 5 s later the two have %.3f of all requests",
				100*with.failedShare(), with.requests, with.unhealthyVisits, 100*without.failedShare(), without.unhealthyVisits, shareAfter)
			if with.failedShare() > allowed.lost*without.failedShare() || float64(with.unhealthyVisits) > allowed.visits*float64(without.unhealthyVisits) {
				t.Errorf("%.4f of the requests are late or lost, %.4f without ejection; %d visits, %d without ejection", with.failedShare(), without.failedShare(), with.unhealthyVisits, without.unhealthyVisits)
			}
			if shareAfter < 0.1 {
				t.Errorf("the two backends have %.3f of all requests 5 s later, want about 0.167", shareAfter)
			}
		})
	}
}

// TestAllBackendsUnhealthy: a fault that all backends of a service share ejects none of them for long, so that requests still
// reach backends.
func TestAllBackendsUnhealthy(t *testing.T) {
	counts := unhealthyRun{fault: backendFaults["errors"], unhealthyBackends: backendCount, callers: 72}.run(t, 1)
	if counts.unhealthyVisits < counts.requests/2 {
		t.Errorf("%d of %d requests reached a backend although all backends are equally unhealthy", counts.unhealthyVisits, counts.requests)
	}
}
