package loadbalancer

import (
	"fmt"
	"testing"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/session"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

const ms = monotonic.Millisecond

// simulate runs body on one simulated host. The test fails if body hasn't returned after the duration.
func simulate(t *testing.T, duration monotonic.Micros, body func(node *world.Host)) {
	t.Helper()
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(node *world.Host) (host.Handlers, error) {
		body(node)
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + duration)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

// twoDomains is a balancer in domain a with two candidates: near in domain a and far in domain b.
type twoDomains struct {
	*Balancer
	candidates []session.Candidate
}

func newTwoDomains(node host.Host) twoDomains {
	return twoDomains{
		Balancer: New(Config{Host: node, Domain: "a", CrossDomainPenalty: 20 * ms}),
		candidates: []session.Candidate{
			{Instance: "near", Domain: "a", Slots: 6},
			{Instance: "far", Domain: "b", Slots: 6},
		},
	}
}

// fastest returns the backend that the balancer picks for a request of a route.
func (d twoDomains) fastest(route string) string {
	return d.pickFastest(d.candidates, route, d.host.Now(), d.locality.basePenalty).Instance
}

// report simulates a response of a backend that carries a load report.
func (d twoDomains) report(instance, route string, load *wire.Load) {
	load.Slots = 6
	d.inFlight[instance] = 1 // the attempt whose response carries the report
	d.ObserveLoad(instance, route, load)
	delete(d.inFlight, instance)
}

// TestPickReportsLastBackend: Pick reports when no other backend is left, and picks none twice while there is another.
func TestPickReportsLastBackend(t *testing.T) {
	simulate(t, monotonic.Second, func(node *world.Host) {
		balancer := New(Config{Host: node, Domain: "a"})
		directory := &session.Directory{Candidates: map[string][]session.Candidate{}}
		for index := range 4 {
			directory.Candidates["forms"] = append(directory.Candidates["forms"], session.Candidate{Proxy: fmt.Sprint("proxy-", index), Instance: fmt.Sprint(index), Service: "forms", Slots: 2})
		}
		balancer.MarkUnavailable("3")
		avoid := map[string]bool{}
		for round := range 4 {
			pick, fault := balancer.Pick(directory, Criteria{Service: "forms", Avoid: avoid})
			if fault != nil || pick.LastBackend != (round >= 2) {
				t.Errorf("pick %d: last backend %v, error %v", round, pick.LastBackend, fault)
			}
			instance := pick.Candidate.Instance
			if round < 3 && (avoid[instance] || instance == "3") {
				t.Errorf("pick %d: chose %s although other backends are left", round, instance)
			}
			avoid[instance] = true
			pick.Release()
		}
	})
}

// TestLoadReportsDecay: the weight of a reported load decreases with its age, and a backend that hasn't reported for a long time
// is treated like the average of its service.
func TestLoadReportsDecay(t *testing.T) {
	simulate(t, 2*monotonic.Minute, func(node *world.Host) {
		balancer := newTwoDomains(node)
		report := func(instance string, running, waiting uint32, serviceTime monotonic.Micros) {
			balancer.report(instance, "", &wire.Load{Running: running, Waiting: waiting, ServiceMicros: int64(serviceTime)})
		}
		for range 30 {
			report("near", 2, 0, 100*ms)
			report("far", 1, 0, 100*ms)
		}
		if balancer.fastest("") != "near" {
			t.Error("picked the other domain although the own one has free slots")
		}
		report("near", 6, 6, 100*ms)
		if balancer.fastest("") != "far" {
			t.Error("picked the own domain although it is full")
		}
		node.Sleep(500 * ms)
		if balancer.fastest("") != "near" {
			t.Error("a report of a full backend still counts after half a second")
		}
		for range 200 {
			report("near", 6, 4, 900*ms)
			report("far", 1, 0, 100*ms)
		}
		if balancer.fastest("") != "far" {
			t.Error("picked a backend that is usually slow and full")
		}
		for range 50 { // only the other backend continues to report
			node.Sleep(monotonic.Second)
			report("far", 1, 0, 100*ms)
		}
		if balancer.fastest("") != "near" {
			t.Error("a backend that hasn't reported for 50 s isn't tried again")
		}
	})
}

// TestServiceTimeByRoute: a request stays in its domain although requests of another route take long at the backend there. If
// its own route takes long there, it goes to the domain where that takes less time.
func TestServiceTimeByRoute(t *testing.T) {
	simulate(t, monotonic.Second, func(node *world.Host) {
		balancer := newTwoDomains(node)
		report := func(instance, route string, serviceTime, routeServiceTime monotonic.Micros) {
			balancer.report(instance, route, &wire.Load{Running: 1, ServiceMicros: int64(serviceTime), RouteMicros: int64(routeServiceTime)})
		}
		for range 30 {
			report("near", "lookup", 300*ms, 50*ms)
			report("far", "lookup", 100*ms, 50*ms)
		}
		if balancer.fastest("lookup") != "near" {
			t.Error("a lookup left its domain because of another route's service time")
		}
		report("near", "submission", 300*ms, 400*ms)
		report("far", "submission", 100*ms, 150*ms)
		if balancer.fastest("submission") != "far" {
			t.Error("a submission stayed in its domain although it takes much longer there")
		}
		if balancer.fastest("lookup") != "near" {
			t.Error("reports of submissions affect lookups")
		}
	})
}

// TestLargeRoutesStayInDomain: a route with large messages stays in its domain while a backend is available there, however
// loaded. A route with small messages doesn't. If the domain has no available backend, another domain is used.
func TestLargeRoutesStayInDomain(t *testing.T) {
	simulate(t, monotonic.Second, func(node *world.Host) {
		balancer := New(Config{Host: node, Domain: "a", CrossDomainPenalty: 20 * ms})
		directory := &session.Directory{Candidates: map[string][]session.Candidate{"packs": {
			{Proxy: "local", Instance: "local", Domain: "a", Slots: 2},
			{Proxy: "remote", Instance: "remote", Domain: "b", Slots: 2},
		}}}
		balancer.inFlight["local"] = 1
		balancer.ObserveLoad("local", "", &wire.Load{Slots: 2, Running: 2, Waiting: 12, ServiceMicros: int64(100 * ms)})
		balancer.ObserveLoad("remote", "", &wire.Load{Slots: 2, ServiceMicros: int64(100 * ms)})
		pick := func(route string) (string, bool) {
			pick, _ := balancer.Pick(directory, Criteria{Service: "packs", Route: route, LatencyTarget: 100 * ms})
			pick.Release()
			return pick.Candidate.Instance, pick.LastBackend
		}
		balancer.ObserveSize("small", 400)
		balancer.ObserveSize("large", 100<<10)
		if chosen, _ := pick("small"); chosen != "remote" {
			t.Errorf("route small goes to %s", chosen)
		}
		if chosen, lastBackend := pick("large"); chosen != "local" || !lastBackend {
			t.Errorf("route large goes to %s, last backend %v", chosen, lastBackend)
		}
		balancer.MarkUnavailable("local")
		if chosen, _ := pick("large"); chosen != "remote" {
			t.Errorf("without an available backend in its domain, route large goes to %s", chosen)
		}
	})
}
