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

// simulate runs a body on one simulated host. It fails the test if the body hasn't returned after the duration.
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

// twoDomains is a balancer in domain a that reads reports of two backends, near in domain a and far in domain b.
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

func (d twoDomains) fastest(route string) string {
	return d.pickFastest(d.candidates, route, d.host.Now(), d.locality.basePenalty).Instance
}

func (d twoDomains) report(instance, route string, load *wire.Load) {
	load.Slots = 6
	d.inFlight[instance] = 1 // the attempt that brings the report
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
		for number := range 4 {
			pick, fault := balancer.Pick(directory, Criteria{Service: "forms", Avoid: avoid})
			if fault != nil || pick.LastBackend != (number >= 2) {
				t.Errorf("pick %d: last backend %v, %v", number, pick.LastBackend, fault)
			}
			instance := pick.Candidate.Instance
			if number < 3 && (avoid[instance] || instance == "3") {
				t.Errorf("pick %d: %s, though others are left", number, instance)
			}
			avoid[instance] = true
			pick.Release()
		}
	})
}

// TestLoadReportsDecay: a reported load of other callers counts less as it gets older, and a backend that hasn't reported
// for long counts like the average of its service.
func TestLoadReportsDecay(t *testing.T) {
	simulate(t, 2*monotonic.Minute, func(node *world.Host) {
		balancer := newTwoDomains(node)
		report := func(instance string, running, waiting uint32, work monotonic.Micros) {
			balancer.report(instance, "", &wire.Load{Running: running, Waiting: waiting, ServiceMicros: int64(work)})
		}
		for range 30 {
			report("near", 2, 0, 100*ms)
			report("far", 1, 0, 100*ms)
		}
		if balancer.fastest("") != "near" {
			t.Error("the other domain was picked, though the own one has free slots")
		}
		report("near", 6, 6, 100*ms)
		if balancer.fastest("") != "far" {
			t.Error("the own domain was picked, though it is full")
		}
		node.Sleep(500 * ms)
		if balancer.fastest("") != "near" {
			t.Error("a backend that was full half a second ago still counts as full")
		}
		for range 200 {
			report("near", 6, 4, 900*ms)
			report("far", 1, 0, 100*ms)
		}
		if balancer.fastest("") != "far" {
			t.Error("a backend that is usually slow and full was picked")
		}
		for range 50 { // only the other one goes on reporting
			node.Sleep(monotonic.Second)
			report("far", 1, 0, 100*ms)
		}
		if balancer.fastest("") != "near" {
			t.Error("a backend that hasn't reported for long is never tried again")
		}
	})
}

// TestServiceTimeByRoute: a short request stays in its domain though that backend has much long work of another route. Where
// its own route takes long, it goes to where that takes less.
func TestServiceTimeByRoute(t *testing.T) {
	simulate(t, monotonic.Second, func(node *world.Host) {
		balancer := newTwoDomains(node)
		report := func(instance, route string, work, routeWork monotonic.Micros) {
			balancer.report(instance, route, &wire.Load{Running: 1, ServiceMicros: int64(work), RouteMicros: int64(routeWork)})
		}
		for range 30 {
			report("near", "lookup", 300*ms, 50*ms)
			report("far", "lookup", 100*ms, 50*ms)
		}
		if balancer.fastest("lookup") != "near" {
			t.Error("a lookup takes as long in both domains, and left its own because of other requests' work")
		}
		report("near", "submission", 300*ms, 400*ms)
		report("far", "submission", 100*ms, 150*ms)
		if balancer.fastest("submission") != "far" {
			t.Error("a submission takes much longer in its own domain, and stayed")
		}
		if balancer.fastest("lookup") != "near" {
			t.Error("reports of submissions count for lookups")
		}
	})
}

// TestLargeRoutesStayInDomain: a route with large responses stays in its domain while a backend is available there, however
// full. One with small responses doesn't, and a domain without available backends doesn't make a request fail.
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
			t.Errorf("a small one waits at %s", chosen)
		}
		if chosen, lastBackend := pick("large"); chosen != "local" || !lastBackend {
			t.Errorf("a large one goes to %s, last backend %v", chosen, lastBackend)
		}
		balancer.MarkUnavailable("local")
		if chosen, _ := pick("large"); chosen != "remote" {
			t.Errorf("with no backend available in its domain a large one goes to %s", chosen)
		}
	})
}
