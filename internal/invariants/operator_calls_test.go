package invariants

import (
	"strings"
	"testing"

	"snowflow/internal/monotonic"
)

// TestOperatorCallsLinearizable shows the check short histories: it finds nothing where all is as one copy would tell it, and each fault that it's for.
func TestOperatorCallsLinearizable(t *testing.T) {
	sent := func(version uint64, digest string, from, until int64, outcome CallOutcome) OperatorCall {
		return OperatorCall{Endpoint: "a", Version: version, Digest: digest, Sent: monotonic.Micros(from), Ended: monotonic.Micros(until), Outcome: outcome}
	}
	read := func(version uint64, digest string, from, until int64) OperatorCall {
		call := sent(version, digest, from, until, Confirmed)
		call.Read = true
		return call
	}
	for name, one := range map[string]struct {
		orders []OperatorCall
		finds  string // nothing if empty
	}{
		"as it should be":                 {[]OperatorCall{sent(1, "x", 0, 1, Confirmed), read(1, "x", 2, 3), sent(2, "y", 4, 9, Unknown), read(2, "y", 5, 6), sent(2, "y", 10, 11, Confirmed)}, ""},
		"a read beside an order":          {[]OperatorCall{sent(1, "x", 0, 1, Confirmed), sent(2, "y", 2, 8, Confirmed), read(1, "x", 3, 9)}, ""},
		"a lower one is confirmed":        {[]OperatorCall{sent(5, "x", 0, 1, Confirmed), sent(3, "y", 2, 3, Confirmed), read(5, "x", 4, 5)}, ""},
		"another content is declined":     {[]OperatorCall{sent(1, "x", 0, 1, Confirmed), sent(1, "y", 2, 3, Rejected), read(1, "x", 4, 5)}, ""},
		"an older version":                {[]OperatorCall{sent(1, "x", 0, 1, Confirmed), sent(2, "y", 2, 3, Confirmed), read(1, "x", 4, 5)}, "2 was confirmed"},
		"a read goes back":                {[]OperatorCall{sent(1, "x", 0, 1, Confirmed), sent(2, "y", 2, 9, Unknown), read(2, "y", 3, 4), read(1, "x", 5, 6)}, "had given 2"},
		"two contents":                    {[]OperatorCall{sent(1, "x", 0, 1, Confirmed), sent(1, "y", 2, 3, Confirmed), read(1, "x", 4, 5)}, "two contents"},
		"confirmed, and then declined":    {[]OperatorCall{sent(1, "x", 0, 1, Confirmed), sent(1, "x", 2, 3, Rejected), read(1, "x", 4, 5)}, "both confirmed and declined"},
		"a declined content shows":        {[]OperatorCall{sent(1, "x", 0, 1, Unknown), sent(1, "y", 2, 3, Rejected), sent(0, "z", 2, 3, Confirmed), read(1, "y", 4, 5)}, "never taken"},
		"a content that wasn't taken":     {[]OperatorCall{sent(1, "x", 0, 1, Confirmed), sent(2, "y", 2, 3, NotAccepted), read(2, "y", 4, 5)}, "never taken"},
		"another content than confirmed":  {[]OperatorCall{sent(1, "x", 0, 1, Confirmed), sent(1, "y", 0, 1, Unknown), read(1, "y", 4, 5)}, "never taken"},
		"a content that nobody ever sent": {[]OperatorCall{sent(1, "x", 0, 1, Confirmed), read(1, "q", 4, 5)}, "never taken"},
	} {
		t.Run(name, func(t *testing.T) {
			history := &History{OperatorCalls: one.orders}
			findings, seen := OperatorCallsLinearizable.Run(history)
			switch {
			case seen == 0:
				t.Error("it saw nothing")
			case one.finds == "" && len(findings) > 0:
				t.Error(findings)
			case one.finds != "" && (len(findings) == 0 || !strings.Contains(findings[0].Text, one.finds)):
				t.Error(findings)
			}
		})
	}
}
