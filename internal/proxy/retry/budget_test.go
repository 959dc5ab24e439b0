package retry_test

import (
	"math/rand/v2"
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/retry"
)

type clock struct{ now monotonic.Micros }

func (c *clock) Now() monotonic.Micros { return c.now }

// TestBudgetBoundsRetriesInEveryWindow sends bursts that stop, which a count over the last ten seconds pays for twice, and checks
// every window there was.
func TestBudgetBoundsRetriesInEveryWindow(t *testing.T) {
	const ratio, allowance, share = 0.2, 8, 4.0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		clock := &clock{now: monotonic.Minute}
		budget := retry.NewBudget(clock, func(uint32) float64 { return share })
		type attempt struct {
			at    monotonic.Micros
			retry bool
		}
		var attempts []attempt
		for range 2000 {
			clock.now += monotonic.Micros(random.IntN(40000))
			if random.IntN(300) == 0 {
				clock.now += monotonic.Micros(random.IntN(int(12 * monotonic.Second)))
			}
			budget.Deposit("forms", ratio, allowance)
			attempts = append(attempts, attempt{clock.now, false})
			for outage := clock.now/(7*monotonic.Second)%2 == 0; outage && budget.TryWithdraw("forms", allowance); {
				attempts = append(attempts, attempt{clock.now, true})
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
				// A first try at a window's very edge may have paid for a further one just inside it.
				if float64(retries) > ratio*float64(firstAttempts+1)+share+1e-6 {
					t.Fatalf("seed %d: %d further and %d first tries from %d", seed, retries, firstAttempts, attempts[start].at)
				}
			}
		}
	}
}
