package scenario

import "testing"

// TestCompare checks that a comparison is significant only if lookups are served less often, or more slowly, than the noise explains.
func TestCompare(t *testing.T) {
	run := func(served, refused int, p99 int64) Report {
		return Report{Kinds: map[string]map[string]int{"lookup/a": {"served": served, "refused 304 not_run": refused}, "form": {"served": 1}},
			Latency: map[string][3]int64{"lookup/a": {1000, p99, 2 * p99}}}
	}
	baseline := []Report{run(1000, 0, 20000), run(996, 4, 24000), run(1000, 0, 22000)}
	for name, one := range map[string]struct {
		changed     []Report
		significant int
	}{
		"as without changes":  {[]Report{run(998, 2, 23000), run(1000, 0, 21000), run(1000, 0, 24000)}, 0},
		"within the noise":    {[]Report{run(996, 4, 25000), run(998, 2, 25000), run(998, 2, 25000)}, 0},
		"refused more":        {[]Report{run(990, 10, 22000), run(991, 9, 22000), run(990, 10, 22000)}, 1},
		"slower":              {[]Report{run(1000, 0, 40000), run(1000, 0, 42000), run(1000, 0, 41000)}, 1},
		"not sent at all":     {[]Report{{}, {}, {}}, 1},
		"refused and slower ": {[]Report{run(900, 100, 90000), run(900, 100, 90000), run(900, 100, 90000)}, 2},
	} {
		significant := 0
		for _, compared := range Compare(baseline, one.changed, IsLookup) {
			if compared.Significant() {
				significant++
			}
			if compared.Kind != "lookup/a" {
				t.Errorf("%s: %s", name, compared.Summary())
			}
		}
		if significant != one.significant {
			t.Errorf("%s: %d significant, %v", name, significant, Compare(baseline, one.changed, IsLookup))
		}
	}
}
