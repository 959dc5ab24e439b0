package scenario

import (
	"fmt"
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/registry/idempotency"
	"snowflow/internal/transport/wire"
)

// claimAs claims a key for an attempt, which a proxy's own breaker admitted if service isn't empty, and returns the outcome.
func (m *Mesh) claimAs(key, service string) (outcome string) {
	m.External.Go(func() {
		response := &wire.ClaimResponse{}
		request := &wire.ClaimRequest{Scope: "path\n" + key, Digest: []byte("d"), Attempt: "1", Proxy: m.proxyNames[0], LocallyAdmittedService: service}
		if node := m.primary(registry.Group); node != nil && m.resolver.Call(node.Name, wire.Kind_claim, request, response, monotonic.Second) == nil {
			outcome = response.Outcome
		}
	})
	m.runFor(1500 * monotonic.Millisecond)
	return outcome
}

// householdsBreaker returns the state of that service's shared breaker record, empty without a record.
func (m *Mesh) householdsBreaker() string {
	if node := m.primary(registry.Group); node != nil {
		for _, record := range m.registries[node.Name].Breakers() {
			if record.Service == householdsService {
				return record.State
			}
		}
	}
	return ""
}

// TestLocallyAdmittedClaims guards against attempts that proxies admitted by their own breakers while the core was away, and that reached
// a backend among the probes once the core was back: their claims aren't granted while the shared breaker isn't closed.
func TestLocallyAdmittedClaims(t *testing.T) {
	const limit = 200 // of steps until the breaker is in a state
	for _, seed := range seeds(t, 1, 2, 3, 4, 5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			m := Build(seed, smallTopology, Defects{})
			defer m.World.Close()
			m.start(Scenario{Rate: 60})
			setBehavior(m.liveBackends(householdsService), failing)
			for step := 0; m.householdsBreaker() != breakerstore.Open && step < limit; step++ {
				m.runFor(100 * monotonic.Millisecond)
			}
			if state := m.householdsBreaker(); state != breakerstore.Open {
				t.Fatalf("the breaker is %q", state)
			}
			for name, test := range map[string]struct{ service, outcome string }{
				"admitted locally":               {householdsService, idempotency.NotAdmitted},
				"admitted by the shared breaker": {"", idempotency.Granted},
				"of a service that is well":      {formsService, idempotency.Granted},
			} {
				if outcome := m.claimAs(name, test.service); outcome != test.outcome {
					t.Errorf("%s: %q while the breaker is %q", name, outcome, m.householdsBreaker())
				}
			}
			setBehavior(m.liveBackends(householdsService), healthy)
			for step := 0; m.householdsBreaker() != breakerstore.Closed && step < limit; step++ {
				m.runFor(100 * monotonic.Millisecond)
			}
			if outcome := m.claimAs("after", householdsService); outcome != idempotency.Granted {
				t.Errorf("%q after the breaker has closed: %q", outcome, m.householdsBreaker())
			}
		})
	}
}
