package replication

import "testing"

// TestSentReason: a primary compares this text with the one that a backup of another release sends, so it must not change.
func TestSentReason(t *testing.T) {
	if reasonClockAhead != "holder time is ahead of what passed here" {
		t.Errorf("the reason sent to primaries has changed: %q", reasonClockAhead)
	}
}
