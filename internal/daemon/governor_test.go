package daemon

import "testing"

// TestGovernor feeds shares of use: a rush gets all processors within three spans, calm gives them back one halving at a
// time, and a load that one processor can't bear keeps two.
func TestGovernor(t *testing.T) {
	for _, course := range []struct {
		name        string
		most, begin int
		spans       int
		load        float64 // processors' worth of work
		want        int
	}{
		{"little to do", 8, 1, 200, 0.3, 1},
		{"a rush, after one span", 8, 1, 1, 20, 2},
		{"a rush, after three spans", 8, 1, 3, 20, 8},
		{"no more than there are", 6, 1, 10, 20, 6},
		{"no more than allowed", 2, 1, 10, 20, 2},
		{"calm for too short", 8, 8, calmSpans - 1, 0.3, 8},
		{"calm for long enough", 8, 8, 3 * calmSpans, 0.3, 1},
		{"more than one can bear stays with two", 8, 1, 500, 0.8, 2},
	} {
		decide := &governor{most: course.most, present: course.begin}
		for range course.spans {
			decide.next(min(1, course.load/float64(decide.present)))
		}
		if decide.present != course.want {
			t.Errorf("%s: %d processors, not %d", course.name, decide.present, course.want)
		}
	}
}
