package replication

import "testing"

// TestSentReason: a primary compares this text with what a backup of another release may send, so it stays as it is.
func TestSentReason(t *testing.T) {
	if reasonClockAhead != "holder time is ahead of what passed here" {
		t.Errorf("%q", reasonClockAhead)
	}
}
