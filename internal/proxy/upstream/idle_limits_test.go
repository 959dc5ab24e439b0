package upstream

import (
	"testing"
	"time"
)

// TestIdleLimits: after a backend has closed an idle connection, connections to it that were idle for nearly as long are not used until
// the limit expires. A connection that closes after less than minIdleTime sets no limit.
func TestIdleLimits(t *testing.T) {
	now, limits := time.Unix(1000, 0), idleLimits{}
	if !limits.allows(now, "one", 9*time.Second) {
		t.Error("an idle connection is not allowed without a limit")
	}
	if limits.observeClosed(now, "one", 20*time.Millisecond) {
		t.Error("a connection that closed after 20 ms counts as idle")
	}
	if !limits.observeClosed(now, "one", 400*time.Millisecond) {
		t.Error("a connection that closed after 400 ms does not count as idle")
	}
	if limits.allows(now, "one", 300*time.Millisecond) || !limits.allows(now, "one", 290*time.Millisecond) || !limits.allows(now, "other", time.Second) {
		t.Error("a connection that closed after 400 ms does not set a limit of 300 ms for that backend only")
	}
	if limits.observeClosed(now.Add(time.Second), "one", 2*time.Second); limits.allows(now.Add(time.Second), "one", 310*time.Millisecond) {
		t.Error("a longer idle time raised the limit")
	}
	if afterTTL := now.Add(time.Second + idleLimitTTL); !limits.allows(afterTTL, "one", time.Second) {
		t.Error("the limit does not expire")
	}
	for number := range 3 * maxIdleLimits {
		limits.observeClosed(now, string(rune(number)), time.Second)
	}
	if len(limits) > maxIdleLimits {
		t.Errorf("%d limits are held", len(limits))
	}
}
