package upstream

import (
	"testing"
	"time"
)

// TestIdleLimits: once a backend closed an idle connection, no connection to it that was idle for nearly as long is used for a while. The
// end of a connection that was hardly idle sets no limit.
func TestIdleLimits(t *testing.T) {
	now, known := time.Unix(1000, 0), idleLimits{}
	if !known.allows(now, "one", 9*time.Second) {
		t.Error("nothing is known, and a connection is not used")
	}
	if known.observeClosed(now, "one", 20*time.Millisecond) {
		t.Error("20 ms is not idle")
	}
	if !known.observeClosed(now, "one", 400*time.Millisecond) {
		t.Error("400 ms is idle")
	}
	if known.allows(now, "one", 300*time.Millisecond) || !known.allows(now, "one", 290*time.Millisecond) || !known.allows(now, "other", time.Second) {
		t.Error("an idle time of 400 ms was too long: 300 ms is the limit from now on, at that backend")
	}
	if known.observeClosed(now.Add(time.Second), "one", 2*time.Second); known.allows(now.Add(time.Second), "one", 310*time.Millisecond) {
		t.Error("a longer idle time raised the limit")
	}
	if afterTTL := now.Add(time.Second + idleLimitTTL); !known.allows(afterTTL, "one", time.Second) {
		t.Error("the limit never ends")
	}
	for number := range 3 * maxIdleLimits {
		known.observeClosed(now, string(rune(number)), time.Second)
	}
	if len(known) > maxIdleLimits {
		t.Errorf("%d limits are held", len(known))
	}
}
