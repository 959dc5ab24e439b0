package daemon

import "testing"

// TestGovernor feeds shares of use: a rush gets all processors within three spans, calm gives them back one halving at a
// time, and a load that one processor can't bear keeps two.
func TestGovernor(t *testing.T) {
	for _, test := range []struct {
		name         string
		limit, start int
		periods      int
		load         float64 // processors' worth of work
		want         int
	}{
		{"little to do", 8, 1, 200, 0.3, 1},
		{"a rush, after one span", 8, 1, 1, 20, 2},
		{"a rush, after three spans", 8, 1, 3, 20, 8},
		{"no more than there are", 6, 1, 10, 20, 6},
		{"no more than allowed", 2, 1, 10, 20, 2},
		{"calm for too short", 8, 8, lowUsagePeriods - 1, 0.3, 8},
		{"calm for long enough", 8, 8, 3 * lowUsagePeriods, 0.3, 1},
		{"more than one can bear stays with two", 8, 1, 500, 0.8, 2},
	} {
		processors := &governor{limit: test.limit, current: test.start}
		for range test.periods {
			processors.next(min(1, test.load/float64(processors.current)))
		}
		if processors.current != test.want {
			t.Errorf("%s: %d processors, not %d", test.name, processors.current, test.want)
		}
	}
}
