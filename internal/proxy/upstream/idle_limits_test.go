package upstream

import (
	"testing"
	"time"
)

// TestIdleLimits: once a rested connection turned out to be forgotten, none that rested near as long is used for a while; one that had hardly
// rested says something of its backend.
func TestIdleLimits(t *testing.T) {
	now, known := time.Unix(1000, 0), idleLimits{}
	if !known.allows(now, "one", 9*time.Second) {
		t.Error("nothing is known, and a connection isn't used")
	}
	if known.observeClosed(now, "one", 20*time.Millisecond) {
		t.Error("20 ms is no rest")
	}
	if !known.observeClosed(now, "one", 400*time.Millisecond) || known.allows(now, "one", 300*time.Millisecond) || !known.allows(now, "one", 290*time.Millisecond) || !known.allows(now, "other", time.Second) {
		t.Error("a rest of 400 ms was too long: 300 ms is the most from now on, at that backend")
	}
	if known.observeClosed(now.Add(time.Second), "one", 2*time.Second); known.allows(now.Add(time.Second), "one", 310*time.Millisecond) {
		t.Error("a longer rest made the bound longer")
	}
	if afterTTL := now.Add(time.Second + idleLimitTTL); !known.allows(afterTTL, "one", time.Second) {
		t.Error("it's never tried again")
	}
	for number := range 3 * maxIdleLimits {
		known.observeClosed(now, string(rune(number)), time.Second)
	}
	if len(known) > maxIdleLimits {
		t.Errorf("%d are kept", len(known))
	}
}
