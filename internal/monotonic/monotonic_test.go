package monotonic

import (
	"testing"
	"time"
)

// TestSystemClock checks that the clock advances with the system's, in microseconds. Nothing here can suspend the machine; the
// simulator shows what follows from a clock that stops.
func TestSystemClock(t *testing.T) {
	clock := NewSystemClock()
	before := clock.Now()
	began := time.Now()
	after := clock.Now()
	for time.Since(began) < 5*time.Millisecond {
	}
	// Each bound is read outside of the other clock's readings, so that a pause anywhere does not matter.
	least := FromDuration(time.Since(began))
	now := clock.Now()
	most := FromDuration(time.Since(began))
	if now-before < least-1 || now-after > most+2 {
		t.Errorf("%d to %d microseconds by this clock, %d to %d by Go's", now-after, now-before, least, most)
	}
}

func BenchmarkSystemClock(b *testing.B) {
	clock := NewSystemClock()
	for b.Loop() {
		clock.Now()
	}
}
