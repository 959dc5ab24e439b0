package loadbalancer

import (
	"fmt"
	"math"
	"testing"

	"snowflow/internal/proxy/session"
	"snowflow/internal/simulation/world"
)

// TestDomainShares: callers stay in their own domain with the probability that balances the load. The remaining requests go to
// the domains whose share of the backends exceeds their share of the callers.
func TestDomainShares(t *testing.T) {
	directory := &session.Directory{Live: 8, ProxiesByDomain: map[string]int{"a": 4, "b": 2, "c": 2}}
	var candidates []session.Candidate
	for index, domain := range []string{"a", "b", "b", "c"} {
		candidates = append(candidates, session.Candidate{Instance: fmt.Sprint(index), Domain: domain})
	}
	shares := newDomainShares(directory, candidates)
	for domain, expected := range map[string]float64{"a": 0.5, "b": 2, "c": 1} {
		if probability := shares.localProbability(domain); math.Abs(probability-expected) > 1e-9 {
			t.Errorf("%s: probability %v, want %v", domain, probability, expected)
		}
	}
	spare := shares.spareCandidates("a", candidates)
	if len(spare.candidates) != 2 || spare.candidates[0].Domain != "b" || spare.candidates[1].Domain != "b" {
		t.Errorf("spare candidates: %v", spare.candidates)
	}
	if drawn := spare.draw(0); drawn.Instance != "1" {
		t.Errorf("drew %s with the smallest random number", drawn.Instance)
	}
	if drawn := spare.draw(randomSteps - 1); drawn.Instance != "2" {
		t.Errorf("drew %s with the largest random number", drawn.Instance)
	}
}

// TestPreferLocalDomain: the share of choices in the caller's own domain equals the probability that balances the load.
func TestPreferLocalDomain(t *testing.T) {
	simulate(t, ms, func(node *world.Host) {
		balancer := New(Config{Host: node, Domain: "a"})
		directory := &session.Directory{Live: 4, ProxiesByDomain: map[string]int{"a": 3, "b": 1}}
		candidates := []session.Candidate{{Instance: "1", Domain: "a"}, {Instance: "2", Domain: "b"}}
		local := 0
		for range 3000 {
			if balancer.preferLocalDomain(directory, candidates)[0].Domain == "a" {
				local++
			}
		}
		if local < 1900 || local > 2100 { // 1/2 of the backends divided by 3/4 of the callers is 2/3
			t.Errorf("%d of 3000 choices are in the own domain, want about 2000", local)
		}
	})
}
