package monotonic

import (
	"testing"
	"time"
)

// TestSystemClock checks that the clock advances like Go's monotonic clock, in microseconds. The test cannot suspend the machine;
// simulations show the consequences of a clock that stops.
func TestSystemClock(t *testing.T) {
	clock := NewSystemClock()
	before := clock.Now()
	began := time.Now()
	after := clock.Now()
	for time.Since(began) < 5*time.Millisecond {
	}
	// The lower bound is measured within the readings of this clock, and the upper bound around them, so that a pause at any point
	// does not matter.
	least := FromDuration(time.Since(began))
	now := clock.Now()
	most := FromDuration(time.Since(began))
	if now-before < least-1 || now-after > most+2 {
		t.Errorf("%d to %d microseconds by SystemClock, %d to %d by Go's clock", now-after, now-before, least, most)
	}
}

func BenchmarkSystemClock(b *testing.B) {
	clock := NewSystemClock()
	for b.Loop() {
		clock.Now()
	}
}
