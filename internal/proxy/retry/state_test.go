package retry_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/retry"
	"snowflow/internal/transport/wire"
)

func overloaded(retryAfter monotonic.Micros) *apierror.Error {
	fault := apierror.New(apierror.Overloaded, apierror.NotRun, "full")
	fault.RetryAfter = retryAfter
	return fault
}

// TestRedispatches checks that a request that no backend has seen is redispatched without charge, up to the limit and only while
// another backend is left, and that a request that may have reached a backend never is. It also checks that the charge for a retry is
// refunded only if no backend was reached.
func TestRedispatches(t *testing.T) {
	unreachable, lost := apierror.New(apierror.ForwardUnreachable, apierror.NotRun, ""), apierror.New(apierror.ForwardLost, apierror.MayHaveRun, "")
	notExecuted, older := apierror.New(apierror.NotExecuted, apierror.NotRun, ""), apierror.New(apierror.VersionOlder, apierror.NotRun, "")
	type attempt struct {
		fault        *apierror.Error
		lastBackend  bool
		redispatched bool
	}
	for _, test := range []struct {
		name       string
		charged    bool
		attempts   []attempt
		remaining  int // retries that the budget still allows
		retryAfter monotonic.Micros
	}{
		{"first attempt: full, full, accepted", false, []attempt{{overloaded(30), false, true}, {overloaded(20), false, true}, {nil, false, false}}, 3, 20},
		{"two redispatches at most", false, []attempt{{overloaded(40), false, true}, {unreachable, false, true}, {overloaded(30), false, false}}, 2, 30},
		{"no other backend left", false, []attempt{{overloaded(40), true, false}}, 2, 40},
		{"response lost", false, []attempt{{lost, false, false}}, 3, 0},
		{"not executed by the backend", false, []attempt{{notExecuted, false, false}}, 3, 0},
		{"configuration version too old: no other backend helps", false, []attempt{{older, false, false}}, 2, 0},
		{"charge of a redispatched retry stands", true, []attempt{{overloaded(10), false, true}, {nil, false, false}}, 1, 10},
		{"charge of a retry that reached no backend is refunded", true, []attempt{{overloaded(10), false, true}, {overloaded(20), true, false}}, 2, 10},
		{"charge of a lost retry stands", true, []attempt{{lost, false, false}}, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget := retry.NewBudget(&clock{now: monotonic.Minute}, func(uint32) float64 { return 4 })
			policy := &wire.Retry{BudgetRatio: proto.Float64(1), Allowance: proto.Uint32(4)}
			var state retry.State
			for range 2 { // leaves two of the four initial tokens
				if !budget.TryWithdraw("forms", 4) {
					t.Fatal("the budget is empty at the start")
				}
			}
			if test.charged && !state.Charge(budget, "forms", policy) {
				t.Fatal("no token left to charge")
			}
			for number, attempt := range test.attempts {
				result := retry.AttemptResult{Fault: attempt.fault, Retriable: true, LastBackend: attempt.lastBackend}
				if redispatched := state.EndAttempt(budget, "forms", policy, result); redispatched != attempt.redispatched {
					t.Errorf("attempt %d: redispatched %v", number, redispatched)
				}
			}
			remaining := 0
			for remaining < 9 && budget.TryWithdraw("forms", 4) {
				remaining++
			}
			if remaining != test.remaining {
				t.Errorf("%d retries are left, not %d", remaining, test.remaining)
			}
			if state.MinRetryAfter() != test.retryAfter {
				t.Errorf("minimum Retry-After is %d, not %d", state.MinRetryAfter(), test.retryAfter)
			}
		})
	}
}
