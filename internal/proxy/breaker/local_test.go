package breaker

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

// TestLocalBreakerRounds: a half-open breaker admits as many probes as are permitted, and their outcomes decide.
func TestLocalBreakerRounds(t *testing.T) {
	settings := &wire.Breaker{WaitOpenMicros: proto.Int64(int64(2 * monotonic.Second)), PermittedHalfOpen: proto.Uint32(2), FailureRate: proto.Float64(0.5)}
	type probe struct {
		outcome Outcome
		slow    bool
	}
	for name, test := range map[string]struct {
		probes []probe
		state  string
		open   bool // the last probe opens the breaker again
	}{
		"all succeed":             {[]probe{{outcome: Success}, {outcome: Success}}, breakerstore.Closed, false},
		"failures reach the rate": {[]probe{{outcome: Success}, {outcome: Failure}}, breakerstore.HalfOpen, true},
		"a slow one is a failure": {[]probe{{outcome: Success}, {outcome: Success, slow: true}}, breakerstore.HalfOpen, true},
		"a neutral one is repeated": {[]probe{{outcome: Neutral}, {outcome: Success}, {outcome: Success}},
			breakerstore.Closed, false},
	} {
		t.Run(name, func(t *testing.T) {
			breaker := localBreaker{state: breakerstore.Open, enteredAt: monotonic.Minute}
			if decision := breaker.admit(monotonic.Minute+monotonic.Second, settings); decision.admitted || decision.retryAfter != monotonic.Second {
				t.Fatalf("while open: %+v", decision)
			}
			now, open := monotonic.Minute+2*monotonic.Second, false
			for number, probe := range test.probes {
				if decision := breaker.admit(now, settings); !decision.admitted || !decision.probe {
					t.Fatalf("probe %d: %+v", number, decision)
				}
				if open {
					t.Fatalf("opened before probe %d", number)
				}
				open = breaker.endProbe(settings, probe.outcome, probe.slow)
			}
			if breaker.state != test.state || open != test.open {
				t.Errorf("%s, opens again %v", breaker.state, open)
			}
		})
	}
}

// TestLocalBreakerLimitsProbes: while all permitted probes are in flight, further attempts are rejected.
func TestLocalBreakerLimitsProbes(t *testing.T) {
	settings := &wire.Breaker{PermittedHalfOpen: proto.Uint32(2)}
	breaker := localBreaker{state: breakerstore.Open}
	for number := range 4 {
		if decision := breaker.admit(monotonic.Minute, settings); decision.admitted != (number < 2) {
			t.Errorf("attempt %d: %+v", number, decision)
		}
	}
}
