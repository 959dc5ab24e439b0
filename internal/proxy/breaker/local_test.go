package breaker

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

// TestLocalBreakerRounds: the outcomes of the permitted probes of a half-open round close the breaker or open it again.
func TestLocalBreakerRounds(t *testing.T) {
	settings := &wire.Breaker{WaitOpenMicros: proto.Int64(int64(2 * monotonic.Second)), PermittedHalfOpen: proto.Uint32(2), FailureRate: proto.Float64(0.5)}
	type probe struct {
		outcome Outcome
		slow    bool
	}
	for name, test := range map[string]struct {
		probes []probe
		state  string
		open   bool // the last probe reports that the breaker must open again
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
			for index, probe := range test.probes {
				if decision := breaker.admit(now, settings); !decision.admitted || !decision.probe {
					t.Fatalf("probe %d: %+v", index, decision)
				}
				if open {
					t.Fatalf("opened before probe %d", index)
				}
				open = breaker.endProbe(settings, probe.outcome, probe.slow)
			}
			if breaker.state != test.state || open != test.open {
				t.Errorf("state %s, must open again: %v", breaker.state, open)
			}
		})
	}
}

// TestLocalBreakerLimitsProbes: while all permitted probes are in flight, further attempts are rejected.
func TestLocalBreakerLimitsProbes(t *testing.T) {
	settings := &wire.Breaker{PermittedHalfOpen: proto.Uint32(2)}
	breaker := localBreaker{state: breakerstore.Open}
	for index := range 4 {
		if decision := breaker.admit(monotonic.Minute, settings); decision.admitted != (index < 2) {
			t.Errorf("attempt %d: %+v", index, decision)
		}
	}
}
