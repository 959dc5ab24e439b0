package daemon

import "testing"

// TestGovernor checks that a burst of load gets all processors within three intervals, that low load halves their number step by
// step, and that a load that is too high for one processor keeps two.
func TestGovernor(t *testing.T) {
	for _, test := range []struct {
		name         string
		limit, start int
		intervals    int
		load         float64 // in fully used processors
		want         int
	}{
		{"low load", 8, 1, 200, 0.3, 1},
		{"burst, after one interval", 8, 1, 1, 20, 2},
		{"burst, after three intervals", 8, 1, 3, 20, 8},
		{"limit of the machine", 6, 1, 10, 20, 6},
		{"limit of the settings", 2, 1, 10, 20, 2},
		{"low load for too short", 8, 8, lowUsageIntervals - 1, 0.3, 8},
		{"low load for long enough", 8, 8, 3 * lowUsageIntervals, 0.3, 1},
		{"too much for one keeps two", 8, 1, 500, 0.8, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			processors := &governor{limit: test.limit, current: test.start}
			for range test.intervals {
				processors.next(min(1, test.load/float64(processors.current)))
			}
			if processors.current != test.want {
				t.Errorf("%d processors, want %d", processors.current, test.want)
			}
		})
	}
}
