package retry_test

import (
	"math/rand/v2"
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/retry"
)

type clock struct{ now monotonic.Micros }

func (c *clock) Now() monotonic.Micros { return c.now }

// sentAttempt is an attempt that was sent: a first attempt, or a retry that the budget allowed.
type sentAttempt struct {
	at    monotonic.Micros
	retry bool
}

// TestBudgetBoundsRetriesInEveryWindow checks the bound on retries in every period of ten seconds. It sends bursts with pauses
// between them, for which a sliding count over the last ten seconds would pay for retries twice.
func TestBudgetBoundsRetriesInEveryWindow(t *testing.T) {
	const ratio, allowance, share = 0.2, 8, 4.0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		clock := &clock{now: monotonic.Minute}
		budget := retry.NewBudget(clock, func(uint32) float64 { return share })
		var attempts []sentAttempt
		for range 2000 {
			clock.now += monotonic.Micros(random.IntN(40000))
			if random.IntN(300) == 0 {
				clock.now += monotonic.Micros(random.IntN(int(12 * monotonic.Second)))
			}
			budget.Deposit("forms", ratio, allowance)
			attempts = append(attempts, sentAttempt{clock.now, false})
			for outage := clock.now/(7*monotonic.Second)%2 == 0; outage && budget.TryWithdraw("forms", allowance); {
				attempts = append(attempts, sentAttempt{clock.now, true})
			}
		}
		for start := range attempts {
			firstAttempts, retries := 0, 0
			for index := start; index < len(attempts) && attempts[index].at-attempts[start].at <= 10*monotonic.Second; index++ {
				if attempts[index].retry {
					retries++
				} else {
					firstAttempts++
				}
				// A first attempt just outside the window may have paid for a retry just inside it.
				if float64(retries) > ratio*float64(firstAttempts+1)+share+1e-6 {
					t.Fatalf("seed %d: %d retries for %d first attempts in the period from %d", seed, retries, firstAttempts, attempts[start].at)
				}
			}
		}
	}
}
