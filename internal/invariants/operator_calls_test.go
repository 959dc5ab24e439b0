package invariants

import (
	"strings"
	"testing"

	"snowflow/internal/monotonic"
)

// TestOperatorCallsLinearizable runs the check on short histories: linearizable ones, and one or more for each kind of violation.
func TestOperatorCallsLinearizable(t *testing.T) {
	write := func(version uint64, digest string, from, until int64, outcome CallOutcome) OperatorCall {
		return OperatorCall{Endpoint: "a", Version: version, Digest: digest, Sent: monotonic.Micros(from), Ended: monotonic.Micros(until), Outcome: outcome}
	}
	read := func(version uint64, digest string, from, until int64) OperatorCall {
		call := write(version, digest, from, until, Confirmed)
		call.Read = true
		return call
	}
	for _, test := range []struct {
		name    string
		calls   []OperatorCall
		finding string // a part of the first finding's text; empty if there must be no finding
	}{
		{"linearizable", []OperatorCall{write(1, "x", 0, 1, Confirmed), read(1, "x", 2, 3), write(2, "y", 4, 9, Unknown), read(2, "y", 5, 6), write(2, "y", 10, 11, Confirmed)}, ""},
		{"a read concurrent with a write", []OperatorCall{write(1, "x", 0, 1, Confirmed), write(2, "y", 2, 8, Confirmed), read(1, "x", 3, 9)}, ""},
		{"a lower version is confirmed", []OperatorCall{write(5, "x", 0, 1, Confirmed), write(3, "y", 2, 3, Confirmed), read(5, "x", 4, 5)}, ""},
		{"another content is rejected", []OperatorCall{write(1, "x", 0, 1, Confirmed), write(1, "y", 2, 3, Rejected), read(1, "x", 4, 5)}, ""},
		{"a stale read", []OperatorCall{write(1, "x", 0, 1, Confirmed), write(2, "y", 2, 3, Confirmed), read(1, "x", 4, 5)}, "2 was confirmed"},
		{"a read goes back", []OperatorCall{write(1, "x", 0, 1, Confirmed), write(2, "y", 2, 9, Unknown), read(2, "y", 3, 4), read(1, "x", 5, 6)}, "had returned 2"},
		{"two contents", []OperatorCall{write(1, "x", 0, 1, Confirmed), write(1, "y", 2, 3, Confirmed), read(1, "x", 4, 5)}, "two contents"},
		{"confirmed and then rejected", []OperatorCall{write(1, "x", 0, 1, Confirmed), write(1, "x", 2, 3, Rejected), read(1, "x", 4, 5)}, "both confirmed and rejected"},
		{"a rejected content is read", []OperatorCall{write(1, "x", 0, 1, Unknown), write(1, "y", 2, 3, Rejected), write(0, "z", 2, 3, Confirmed), read(1, "y", 4, 5)}, "never accepted"},
		{"a content that was not accepted is read", []OperatorCall{write(1, "x", 0, 1, Confirmed), write(2, "y", 2, 3, NotAccepted), read(2, "y", 4, 5)}, "never accepted"},
		{"another content than confirmed is read", []OperatorCall{write(1, "x", 0, 1, Confirmed), write(1, "y", 0, 1, Unknown), read(1, "y", 4, 5)}, "never accepted"},
		{"a content that nobody wrote is read", []OperatorCall{write(1, "x", 0, 1, Confirmed), read(1, "q", 4, 5)}, "never accepted"},
	} {
		t.Run(test.name, func(t *testing.T) {
			findings, examined := OperatorCallsLinearizable.Run(&History{OperatorCalls: test.calls})
			switch {
			case examined == 0:
				t.Error("the check examined nothing")
			case test.finding == "" && len(findings) > 0:
				t.Error(findings)
			case test.finding != "" && (len(findings) == 0 || !strings.Contains(findings[0].Text, test.finding)):
				t.Error(findings)
			}
		})
	}
}
