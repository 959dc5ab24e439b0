package scenario

import "testing"

// TestCompare: lookups that are served less, or more slowly, than the pairs' noise explains are found; what the noise explains isn't.
func TestCompare(t *testing.T) {
	run := func(served, refused int, p99 int64) Report {
		return Report{Kinds: map[string]map[string]int{"lookup/a": {"served": served, "refused 304 not_run": refused}, "form": {"served": 1}},
			Latency: map[string][3]int64{"lookup/a": {1000, p99, 2 * p99}}}
	}
	quiet := []Report{run(1000, 0, 20000), run(996, 4, 24000), run(1000, 0, 22000)}
	for name, one := range map[string]struct {
		busy   []Report
		beyond int
	}{
		"as without changes":  {[]Report{run(998, 2, 23000), run(1000, 0, 21000), run(1000, 0, 24000)}, 0},
		"within the noise":    {[]Report{run(996, 4, 25000), run(998, 2, 25000), run(998, 2, 25000)}, 0},
		"refused more":        {[]Report{run(990, 10, 22000), run(991, 9, 22000), run(990, 10, 22000)}, 1},
		"slower":              {[]Report{run(1000, 0, 40000), run(1000, 0, 42000), run(1000, 0, 41000)}, 1},
		"not asked at all":    {[]Report{{}, {}, {}}, 1},
		"refused and slower ": {[]Report{run(900, 100, 90000), run(900, 100, 90000), run(900, 100, 90000)}, 2},
	} {
		beyond := 0
		for _, compared := range Compare(quiet, one.busy, IsLookup) {
			if compared.Significant() {
				beyond++
			}
			if compared.Kind != "lookup/a" {
				t.Errorf("%s: %s", name, compared.Summary())
			}
		}
		if beyond != one.beyond {
			t.Errorf("%s: %d beyond the noise, %v", name, beyond, Compare(quiet, one.busy, IsLookup))
		}
	}
}
