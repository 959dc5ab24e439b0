package slots_test

import (
	"math/rand/v2"
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
)

// tenantLoad is a tenant's traffic to one backend.
type tenantLoad struct {
	name      string
	priority  uint32
	perSecond int
}

// serveTenants simulates 20 s of traffic to a backend with four slots, where requests take 40 to 120 ms and have a latency target of
// 400 ms. It returns the fraction of each tenant's requests, and of all requests, that got a slot. If named is false, the pool can't
// tell the tenants apart.
func serveTenants(seed uint64, loads []tenantLoad, named bool) (shares map[string]float64, all float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	pool, now := slots.New(slots.DefaultLimits()), monotonic.Minute
	pool.SetCount(now, 4)
	type runningRequest struct {
		ticket *slots.Ticket
		until  monotonic.Micros
	}
	sent, served := map[string]int{}, map[string]int{}
	var waiting []*slots.Ticket
	var inProgress []runningRequest
	owners := map[*slots.Ticket]string{}
	for end := now + 20*monotonic.Second; now < end; now += ms {
		var stillInProgress []runningRequest
		for _, entry := range inProgress {
			if now < entry.until {
				stillInProgress = append(stillInProgress, entry)
				continue
			}
			pool.Release(now, entry.ticket, slots.Completed)
		}
		inProgress = stillInProgress
		for _, load := range loads {
			if random.IntN(1000) >= load.perSecond {
				continue
			}
			request := slots.Request{Priority: load.priority, LatencyTarget: now + 400*ms, Deadline: now + monotonic.Second, Kind: "lookup"}
			if named {
				request.Tenant = load.name
			}
			ticket := pool.Enter(now, request)
			owners[ticket] = load.name
			sent[load.name]++
			waiting = append(waiting, ticket)
		}
		pool.Advance(now)
		var stillWaiting []*slots.Ticket
		for _, ticket := range waiting {
			switch ticket.State() {
			case slots.Running:
				served[owners[ticket]]++
				inProgress = append(inProgress, runningRequest{ticket, now + 40*ms + monotonic.Micros(random.Uint64N(uint64(80*ms)))})
			case slots.Waiting:
				stillWaiting = append(stillWaiting, ticket)
			case slots.Rejected, slots.Ended:
			}
		}
		waiting = stillWaiting
	}
	shares = map[string]float64{}
	totalSent, totalServed := 0, 0
	for _, load := range loads {
		shares[load.name] = float64(served[load.name]) / float64(sent[load.name])
		totalSent += sent[load.name]
		totalServed += served[load.name]
	}
	return shares, float64(totalServed) / float64(totalSent)
}

// TestOverloadByOneTenant guards against a tenant with much traffic that crowds out tenants with little: whatever their rates, each
// tenant's share of served requests must be at least a quarter of the share over all tenants. A pool that doesn't know the tenants
// fails this, since each tenant then gets slots in proportion to its traffic.
func TestOverloadByOneTenant(t *testing.T) {
	loads := []tenantLoad{{"large", 1, 600}, {"middle", 1, 20}, {"small", 1, 5}, {"tiny", 1, 1}}
	better, seeds := 0, 50
	for seed := range uint64(seeds) {
		shares, all := serveTenants(seed, loads, true)
		for name, share := range shares {
			if share < all/4 {
				t.Errorf("seed %d: share of %s served: %.3f, of all: %.3f", seed, name, share, all)
			}
		}
		unnamed, allUnnamed := serveTenants(seed, loads, false)
		if shares["small"] >= 0.9 && unnamed["small"] < 0.5 {
			better++
		}
		if all < allUnnamed-0.02 {
			t.Errorf("seed %d: share of all served: %.3f, without tenant names: %.3f", seed, all, allUnnamed)
		}
	}
	if better < seeds*9/10 {
		t.Errorf("at least 0.9 of small is served with tenant names, and less than half without, only for %d of %d seeds", better, seeds)
	}
}

// TestTenantPriorityGoesFirst checks that fairness applies only among tenants of one priority: a tenant of a higher priority loses
// nothing to those of a lower one.
func TestTenantPriorityGoesFirst(t *testing.T) {
	for seed := range uint64(50) {
		shares, _ := serveTenants(seed, []tenantLoad{{"first", 0, 25}, {"second", 1, 300}}, true)
		if shares["first"] < 0.95 {
			t.Errorf("seed %d: share of first served: %.3f, of second: %.3f", seed, shares["first"], shares["second"])
		}
	}
}

// TestIdleTenantsCostNothing checks that a pool keeps no state of tenants without requests.
func TestIdleTenantsCostNothing(t *testing.T) {
	pool, now := slots.New(slots.DefaultLimits()), monotonic.Minute
	pool.SetCount(now, 2)
	var tickets []*slots.Ticket
	for number := range 40 {
		request := slots.Request{Tenant: string(rune('a' + number%26)), Deadline: now + monotonic.Second, LatencyTarget: now + 200*ms, NoAlternative: true}
		tickets = append(tickets, pool.Enter(now, request))
	}
	if pool.Tenants() == 0 {
		t.Error("no tenant is known while requests run")
	}
	for range 50 {
		now += 10 * ms
		for _, ticket := range tickets {
			pool.Release(now, ticket, slots.Completed)
		}
	}
	now += 2 * monotonic.Second
	pool.Advance(now)
	if pool.Tenants() != 0 || pool.Running() != 0 || pool.Waiting() != 0 {
		t.Errorf("%d tenants, %d running, %d waiting", pool.Tenants(), pool.Running(), pool.Waiting())
	}
}
