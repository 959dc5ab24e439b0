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

// claimKey claims a key for an attempt and returns the outcome. Unless service is empty, the claim says that the proxy's own breaker of
// that service admitted the attempt.
func (m *Mesh) claimKey(key, service string) (outcome string) {
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

// householdsBreakerState returns the state of the shared breaker record of the households service, or an empty string without a record.
func (m *Mesh) householdsBreakerState() string {
	if node := m.primary(registry.Group); node != nil {
		for _, record := range m.registries[node.Name].Breakers() {
			if record.Service == householdsService {
				return record.State
			}
		}
	}
	return ""
}

// TestLocallyAdmittedClaims guards against attempts that reach a backend, besides the probes, although its shared breaker is not closed.
// Proxies admitted them by their own breakers while the core was unreachable, and their claims were granted once it was reachable again.
func TestLocallyAdmittedClaims(t *testing.T) {
	const limit = 200 // the maximum number of steps until the breaker reaches a state
	for _, seed := range seeds(t, 1, 2, 3, 4, 5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			m := Build(seed, smallTopology, Defects{})
			defer m.World.Close()
			m.start(Scenario{Rate: 60})
			setBehavior(m.liveBackends(householdsService), failing)
			for step := 0; m.householdsBreakerState() != breakerstore.Open && step < limit; step++ {
				m.runFor(100 * monotonic.Millisecond)
			}
			if state := m.householdsBreakerState(); state != breakerstore.Open {
				t.Fatalf("the breaker is %q, not open", state)
			}
			for name, test := range map[string]struct{ service, outcome string }{
				"admitted locally":               {householdsService, idempotency.NotAdmitted},
				"admitted by the shared breaker": {"", idempotency.Granted},
				"of a service that is well":      {formsService, idempotency.Granted},
			} {
				if outcome := m.claimKey(name, test.service); outcome != test.outcome {
					t.Errorf("%s: %q while the breaker is %q", name, outcome, m.householdsBreakerState())
				}
			}
			setBehavior(m.liveBackends(householdsService), healthy)
			for step := 0; m.householdsBreakerState() != breakerstore.Closed && step < limit; step++ {
				m.runFor(100 * monotonic.Millisecond)
			}
			if outcome := m.claimKey("after", householdsService); outcome != idempotency.Granted {
				t.Errorf("the claim ended with %q, expected a grant by a closed breaker; it is %q", outcome, m.householdsBreakerState())
			}
		})
	}
}
