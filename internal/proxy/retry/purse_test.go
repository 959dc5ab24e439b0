package retry_test

import (
	"math/rand/v2"
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/retry"
)

type clock struct{ now monotonic.Micros }

func (clock *clock) Now() monotonic.Micros { return clock.now }

// TestEveryWindowIsBounded sends bursts that stop, which a count over the last ten seconds pays for twice, and checks
// every window there was.
func TestEveryWindowIsBounded(t *testing.T) {
	const ratio, allowance, part = 0.2, 8, 4.0
	for seed := range uint64(200) {
		chance := rand.New(rand.NewPCG(seed, 1))
		clock := &clock{now: monotonic.Minute}
		budget := retry.New(clock, func(uint32) float64 { return part })
		type try struct {
			at      monotonic.Micros
			further bool
		}
		var tries []try
		for range 2000 {
			clock.now += monotonic.Micros(chance.IntN(40000))
			if chance.IntN(300) == 0 {
				clock.now += monotonic.Micros(chance.IntN(int(12 * monotonic.Second)))
			}
			budget.First("forms", ratio, allowance)
			tries = append(tries, try{clock.now, false})
			for failing := clock.now/(7*monotonic.Second)%2 == 0; failing && budget.Spend("forms", allowance); {
				tries = append(tries, try{clock.now, true})
			}
		}
		for start := range tries {
			first, further := 0, 0
			for index := start; index < len(tries) && tries[index].at-tries[start].at <= 10*monotonic.Second; index++ {
				if tries[index].further {
					further++
				} else {
					first++
				}
				// A first try at a window's very edge may have paid for a further one just inside it.
				if float64(further) > ratio*float64(first+1)+part+1e-6 {
					t.Fatalf("seed %d: %d further and %d first tries from %d", seed, further, first, tries[start].at)
				}
			}
		}
	}
}
