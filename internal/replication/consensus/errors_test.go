package consensus

import "testing"

// TestSentReasons checks the texts of rejections: they are sent in responses, so they must not change.
func TestSentReasons(t *testing.T) {
	for want, err := range map[string]error{
		"not voting yet":                           ErrNotVoting,
		"the clock may have leapt":                 ErrClockUnsteady,
		"a tenure stands":                          ErrLeaseGranted,
		"a higher ballot was promised":             ErrStaleProposal,
		"the voters are others by now: [a b]":      &OutdatedConfigError{Voters: []string{"a", "b"}},
		"voters differ: there [a b], here [a b c]": &InitialVotersError{Remote: []string{"a", "b"}, Local: []string{"a", "b", "c"}},
	} {
		if err.Error() != want {
			t.Errorf("got %q, want %q", err, want)
		}
	}
}
