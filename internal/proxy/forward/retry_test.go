package forward

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/retry"
	"snowflow/internal/proxy/session"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

type clock struct{ now monotonic.Micros }

func (clock *clock) Now() monotonic.Micros { return clock.now }

func overloaded(wait monotonic.Micros) *apierror.Fault {
	fault := apierror.New(apierror.Overloaded, apierror.NotRun, "full")
	fault.RetryAfter = wait
	return fault
}

// TestRedispatches: a request that no backend has seen moves on without cost, at most so often, and only while another backend is
// left. What may have reached one never does, and whatever a further try cost stays spent unless none was reached.
func TestRedispatches(t *testing.T) {
	unreached, lost := apierror.New(apierror.ForwardUnreachable, apierror.NotRun, ""), apierror.New(apierror.ForwardLost, apierror.MayHaveRun, "")
	declined, older := apierror.New(apierror.NotExecuted, apierror.NotRun, ""), apierror.New(apierror.VersionOlder, apierror.NotRun, "")
	type attempt struct {
		fault        *apierror.Fault
		lastBackend  bool
		redispatched bool
	}
	for _, row := range []struct {
		name       string
		charged    bool
		attempts   []attempt
		remaining  int // further tries that the budget still allows
		retryAfter monotonic.Micros
	}{
		{"full, full, taken: a first try", false, []attempt{{overloaded(30), false, true}, {overloaded(20), false, true}, {nil, false, false}}, 3, 20},
		{"two moves at most", false, []attempt{{overloaded(40), false, true}, {unreached, false, true}, {overloaded(30), false, false}}, 2, 30},
		{"no other backend left", false, []attempt{{overloaded(40), true, false}}, 2, 40},
		{"its answer was lost", false, []attempt{{lost, false, false}}, 3, 0},
		{"the backend itself declined", false, []attempt{{declined, false, false}}, 3, 0},
		{"not resolved by this serial: no other backend helps", false, []attempt{{older, false, false}}, 2, 0},
		{"a paid try that moves stays paid", true, []attempt{{overloaded(10), false, true}, {nil, false, false}}, 1, 10},
		{"a paid try that ends unreached is given back", true, []attempt{{overloaded(10), false, true}, {overloaded(20), true, false}}, 2, 10},
		{"a paid try that was lost", true, []attempt{{lost, false, false}}, 1, 0},
	} {
		time := &clock{now: monotonic.Minute}
		budget := retry.NewBudget(time, func(uint32) float64 { return 4 })
		exchange := &Exchange{Service: &config.Service{Name: "forms", Retry: &wire.Retry{BudgetRatio: proto.Float64(1), Allowance: proto.Uint32(4)}}}
		for range 2 { // two are left of the four that it begins with
			if !budget.TryWithdraw("forms", 4) {
				t.Fatal("nothing to spend")
			}
		}
		if row.charged {
			exchange.retries.charged = budget.TryWithdraw("forms", 4)
		}
		for number, attempt := range row.attempts {
			if redispatched := exchange.retries.endAttempt(budget, exchange, attempt.fault, true, attempt.lastBackend); redispatched != attempt.redispatched {
				t.Errorf("%s, try %d: moved %v", row.name, number, redispatched)
			}
		}
		left := 0
		for left < 9 && budget.TryWithdraw("forms", 4) {
			left++
		}
		if left != row.remaining {
			t.Errorf("%s: %d further tries are left, not %d", row.name, left, row.remaining)
		}
		if exchange.retries.minRetryAfter != row.retryAfter {
			t.Errorf("%s: told to come back after %d", row.name, exchange.retries.minRetryAfter)
		}
	}
}

// TestMeasuredRetryAfterIsUnchanged: a gate's expected wait reaches the caller as it is, however long refusals have lasted.
func TestMeasuredRetryAfterIsUnchanged(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(node *world.Host) (host.Handlers, error) {
		jitter := newRetryAfterJitter(node)
		for range 20 {
			jitter.apply(overloaded(70 * ms))
			measured := overloaded(70 * ms)
			measured.RetryAfterMeasured = true
			jitter.apply(measured)
			if measured.RetryAfter != 70*ms {
				t.Errorf("told %d", measured.RetryAfter)
			}
			node.Sleep(monotonic.Second)
		}
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

// TestPickReportsLastBackend: the chooser tells when no other backend is left, and asks none twice while there is one.
func TestPickReportsLastBackend(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(node *world.Host) (host.Handlers, error) {
		balancer := newLoadBalancer(node, "a", false, 0)
		directory := &session.Directory{Candidates: map[string][]session.Candidate{}}
		for index := range 4 {
			directory.Candidates["forms"] = append(directory.Candidates["forms"], session.Candidate{Proxy: fmt.Sprint("carrier-", index), Instance: fmt.Sprint(index), Service: "forms", Slots: 2})
		}
		balancer.markUnavailable("3")
		avoid := map[string]bool{}
		for number := range 4 {
			candidate, lastBackend, release, fault := balancer.pick(directory, pickCriteria{service: "forms", avoid: avoid})
			if fault != nil || lastBackend != (number >= 2) {
				t.Errorf("choice %d: last %v, %v", number, lastBackend, fault)
			}
			if number < 3 && (avoid[candidate.Instance] || candidate.Instance == "3") {
				t.Errorf("choice %d: %s, though others are left", number, candidate.Instance)
			}
			avoid[candidate.Instance] = true
			release()
		}
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Second)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

// TestLoadReportsDecay: what others had at a backend counts less as it gets older, and one not heard of for long counts like
// its siblings.
func TestLoadReportsDecay(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(node *world.Host) (host.Handlers, error) {
		balancer := newLoadBalancer(node, "a", false, 20*ms)
		near, crossDomainPenalty := session.Candidate{Instance: "near", Domain: "a", Slots: 6}, session.Candidate{Instance: "far", Domain: "b", Slots: 6}
		pick := func() string {
			return balancer.pickFastest([]session.Candidate{near, crossDomainPenalty}, "", node.Now(), balancer.crossDomainPenalty).Instance
		}
		observe := func(instance string, running, waiting uint32, work monotonic.Micros) {
			balancer.inFlight[instance] = 1 // the pass that brings it
			balancer.observeLoad(instance, "", &wire.Load{Slots: 6, Running: running, Waiting: waiting, ServiceMicros: int64(work)})
			delete(balancer.inFlight, instance)
		}
		for range 30 {
			observe("near", 2, 0, 100*ms)
			observe("far", 1, 0, 100*ms)
		}
		if pick() != "near" {
			t.Error("the own zone has slots free, and another was chosen")
		}
		observe("near", 6, 6, 100*ms)
		if pick() != "far" {
			t.Error("the own zone is full, and it was chosen")
		}
		node.Sleep(500 * ms)
		if pick() != "near" {
			t.Error("what was full half a second ago is still taken for full")
		}
		for range 200 {
			observe("near", 6, 4, 900*ms)
			observe("far", 1, 0, 100*ms)
		}
		if pick() != "far" {
			t.Error("slow and full as a rule, and it was chosen")
		}
		for range 50 { // the other one is heard of on and on
			node.Sleep(monotonic.Second)
			observe("far", 1, 0, 100*ms)
		}
		if pick() != "near" {
			t.Error("not heard of for long, it's never asked again")
		}
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + 2*monotonic.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

// TestWorkIsKnownByRoute: a short request keeps to its zone though that backend has much long work of another kind; where its own kind
// takes long there, it goes to where that takes less.
func TestWorkIsKnownByRoute(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(node *world.Host) (host.Handlers, error) {
		balancer := newLoadBalancer(node, "a", false, 20*ms)
		near, crossDomainPenalty := session.Candidate{Instance: "near", Domain: "a", Slots: 6}, session.Candidate{Instance: "far", Domain: "b", Slots: 6}
		pick := func(route string) string {
			return balancer.pickFastest([]session.Candidate{near, crossDomainPenalty}, route, node.Now(), balancer.crossDomainPenalty).Instance
		}
		observe := func(instance, route string, work, backendOnly monotonic.Micros) {
			balancer.inFlight[instance] = 1 // the pass that brings it
			balancer.observeLoad(instance, route, &wire.Load{Slots: 6, Running: 1, ServiceMicros: int64(work), RouteMicros: int64(backendOnly)})
			delete(balancer.inFlight, instance)
		}
		for range 30 {
			observe("near", "lookup", 300*ms, 50*ms)
			observe("far", "lookup", 100*ms, 50*ms)
		}
		if pick("lookup") != "near" {
			t.Error("a lookup takes as long in both, and went to another zone because of other requests' work")
		}
		observe("near", "submission", 300*ms, 400*ms)
		observe("far", "submission", 100*ms, 150*ms)
		if pick("submission") != "far" {
			t.Error("a submission takes much longer at home, and stayed")
		}
		if pick("lookup") != "near" {
			t.Error("what was heard of submissions counts for lookups")
		}
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Second)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

// TestLargeRoutesStayInDomain: a route with large answers stays in its zone while a backend is fit there, however full; small ones
// don't, and a zone without fit backends is no reason to fail.
func TestLargeRoutesStayInDomain(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(node *world.Host) (host.Handlers, error) {
		balancer := newLoadBalancer(node, "a", false, 20*ms)
		directory := &session.Directory{Candidates: map[string][]session.Candidate{"packs": {{Proxy: "home", Instance: "home", Domain: "a", Slots: 2}, {Proxy: "away", Instance: "away", Domain: "b", Slots: 2}}}}
		balancer.inFlight["home"] = 1
		balancer.observeLoad("home", "", &wire.Load{Slots: 2, Running: 2, Waiting: 12, ServiceMicros: int64(100 * ms)})
		balancer.observeLoad("away", "", &wire.Load{Slots: 2, ServiceMicros: int64(100 * ms)})
		pick := func(route string, avoid map[string]bool) (string, bool) {
			candidate, lastBackend, release, _ := balancer.pick(directory, pickCriteria{service: "packs", route: route, latencyTarget: 100 * ms, avoid: avoid})
			release()
			return candidate.Instance, lastBackend
		}
		balancer.observeSize("small", 400)
		balancer.observeSize("large", 100<<10)
		if chosen, _ := pick("small", nil); chosen != "away" {
			t.Errorf("a small one waits %s", chosen)
		}
		if chosen, lastBackend := pick("large", nil); chosen != "home" || !lastBackend {
			t.Errorf("a large one goes %s, last %v", chosen, lastBackend)
		}
		balancer.markUnavailable("home")
		if chosen, _ := pick("large", nil); chosen != "away" {
			t.Errorf("with nobody fit at home a large one goes %s", chosen)
		}
		ended = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Second)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}
