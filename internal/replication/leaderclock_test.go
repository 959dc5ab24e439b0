package replication

import (
	"testing"

	"snowflow/internal/monotonic"
)

func TestPrimaryClock(t *testing.T) {
	const second = monotonic.Second
	clock := primaryClock{base: 100 * second, baseAt: 10 * second, confirmedAt: 12 * second}
	if got := clock.at(15 * second); got != 105*second {
		t.Errorf("at: %d", got)
	}
	for name, test := range map[string]struct{ now, want monotonic.Micros }{
		"just confirmed":                        {12 * second, 102 * second},
		"within the interval":                   {12*second + clockSyncInterval/2, 102*second + clockSyncInterval/2},
		"no further than the interval after it": {60 * second, 102*second + clockSyncInterval},
	} {
		t.Run(name, func(t *testing.T) {
			if got := clock.confirmed(test.now); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

func TestClockBound(t *testing.T) {
	const second = monotonic.Second
	bound := clockBound{at: 10 * second, estimate: 100 * second}
	if got, want := bound.limit(20*second), 110*second+second/10+maxClockLead; got != want {
		t.Errorf("limit: got %d, want %d", got, want)
	}
	if got := bound.limit(5 * second); got != 100*second+maxClockLead {
		t.Errorf("the limit of a clock that went back: %d", got)
	}
	for name, test := range map[string]struct{ accepted, want monotonic.Micros }{
		"a clock behind the estimate lowers it":          {105 * second, 105 * second},
		"a clock ahead of the estimate doesn't raise it": {111 * second, 110*second + second/10},
	} {
		t.Run(name, func(t *testing.T) {
			next := bound
			next.accept(20*second, test.accepted)
			if got := next.now(20 * second); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
