package monotonic

import (
	"testing"
	"time"
)

// TestSystemClock: the clock goes with the system's, in microseconds. Nothing here can suspend the machine; what a clock that
// stands still would do is shown by the simulator's variant.
func TestSystemClock(t *testing.T) {
	clock := NewSystemClock()
	before := clock.Now()
	began := time.Now()
	after := clock.Now()
	for time.Since(began) < 5*time.Millisecond {
	}
	// Each bound was read on the outer side of the other clock, so a pause anywhere doesn't matter.
	least := FromDuration(time.Since(began))
	now := clock.Now()
	most := FromDuration(time.Since(began))
	if now-before < least-1 || now-after > most+2 {
		t.Errorf("%d to %d microseconds by this clock, %d to %d by the library's", now-after, now-before, least, most)
	}
}

func BenchmarkSystemClock(b *testing.B) {
	clock := NewSystemClock()
	for b.Loop() {
		clock.Now()
	}
}
