package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Comparison compares one metric of one kind of traffic between runs with route changes and runs without.
type Comparison struct {
	Kind     string    `json:"kind"`
	Metric   string    `json:"figure"` // the metric's name
	Baseline []float64 `json:"quiet"`  // values of the runs without changes
	Changed  []float64 `json:"busy"`   // values of the runs with changes
	// Noise is the wider of the two ranges from the lowest to the highest value. It is zero with a single pair of runs.
	Noise float64 `json:"noise"`
	// Difference is the mean with changes minus the mean without.
	Difference float64 `json:"worse"`
}

// metric computes a value for a kind of traffic from a report. Higher values are worse.
type metric struct {
	name  string
	value func(report Report, kind string) float64
}

var metrics = []metric{
	{"not served, of 1", notServedShare},
	{"p99, ms", func(report Report, kind string) float64 { return float64(report.Latency[kind][1]) / 1000 }},
}

// notServedShare returns the share of a kind's attempts that were not served; 1 for a kind without attempts.
func notServedShare(report Report, kind string) float64 {
	all := 0
	for _, count := range report.Kinds[kind] {
		all += count
	}
	return 1 - float64(report.Kinds[kind][outcomeServed])/float64(max(1, all))
}

// Compare compares runs with route changes to runs without, by each metric, for the kinds of traffic that chosen accepts.
func Compare(baseline, changed []Report, chosen func(kind string) bool) (comparisons []Comparison) {
	kinds := map[string]bool{}
	for _, report := range slices.Concat(baseline, changed) {
		for kind := range report.Kinds {
			if chosen(kind) {
				kinds[kind] = true
			}
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		for _, metric := range metrics {
			comparisons = append(comparisons, metric.compare(baseline, changed, kind))
		}
	}
	return comparisons
}

func (m metric) compare(baseline, changed []Report, kind string) Comparison {
	c := Comparison{Kind: kind, Metric: m.name, Baseline: m.values(baseline, kind), Changed: m.values(changed, kind)}
	c.Difference = mean(c.Changed) - mean(c.Baseline)
	c.Noise = max(valueRange(c.Baseline), valueRange(c.Changed))
	return c
}

func (m metric) values(reports []Report, kind string) (values []float64) {
	for _, report := range reports {
		values = append(values, m.value(report, kind))
	}
	return values
}

func mean(values []float64) (sum float64) {
	for _, value := range values {
		sum += value / float64(len(values))
	}
	return sum
}

func valueRange(values []float64) float64 { return slices.Max(values) - slices.Min(values) }

// Significant reports whether the runs with changes are worse by more than the noise.
func (c Comparison) Significant() bool { return c.Difference > c.Noise }

// Summary formats the comparison as one line.
func (c Comparison) Summary() string {
	text := fmt.Sprintf("%-24s %-18s without changes %s, with %s, worse by %.4g, noise %.4g", c.Kind, c.Metric, formatValues(c.Baseline), formatValues(c.Changed), c.Difference, c.Noise)
	if c.Significant() {
		text += ": BEYOND THE NOISE"
	}
	return text
}

func formatValues(values []float64) string {
	var texts []string
	for _, value := range values {
		texts = append(texts, fmt.Sprintf("%.4g", value))
	}
	return strings.Join(texts, " ")
}
