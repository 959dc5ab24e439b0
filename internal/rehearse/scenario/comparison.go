package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Comparison is one figure of one kind of traffic in paired runs.
type Comparison struct {
	Kind     string    `json:"kind"`
	Figure   string    `json:"figure"`
	Baseline []float64 `json:"quiet"`
	Changed  []float64 `json:"busy"`
	// Noise is the wider of the two spreads from least to most. With a single pair it's nothing.
	Noise float64 `json:"noise"`
	// Difference is by how much the busy runs' mean is worse than the quiet ones'.
	Difference float64 `json:"worse"`
}

// figures are what a report says of a kind: the more the worse.
var metrics = []struct {
	name string
	of   func(report Report, kind string) float64
}{
	{"not served, of 1", func(report Report, kind string) float64 {
		all := 0
		for _, count := range report.Kinds[kind] {
			all += count
		}
		return 1 - float64(report.Kinds[kind]["served"])/float64(max(1, all))
	}},
	{"p99, ms", func(report Report, kind string) float64 { return float64(report.Latency[kind][1]) / 1000 }},
}

// Compare sets runs with changes against runs without, by the kinds of traffic that pass chooses.
func Compare(baseline, changed []Report, chosen func(kind string) bool) (comparisons []Comparison) {
	kinds := map[string]bool{}
	for _, report := range slices.Concat(baseline, changed) {
		for kind := range report.Kinds {
			kinds[kind] = kinds[kind] || chosen(kind)
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		if !kinds[kind] {
			continue
		}
		for _, figure := range metrics {
			one := Comparison{Kind: kind, Figure: figure.name}
			for _, report := range baseline {
				one.Baseline = append(one.Baseline, figure.of(report, kind))
			}
			for _, report := range changed {
				one.Changed = append(one.Changed, figure.of(report, kind))
			}
			one.Difference = mean(one.Changed) - mean(one.Baseline)
			one.Noise = max(spread(one.Baseline), spread(one.Changed))
			comparisons = append(comparisons, one)
		}
	}
	return comparisons
}

func mean(values []float64) (sum float64) {
	for _, value := range values {
		sum += value / float64(len(values))
	}
	return sum
}

func spread(values []float64) float64 { return slices.Max(values) - slices.Min(values) }

// Significant tells whether the difference is beyond the noise.
func (c Comparison) Significant() bool { return c.Difference > c.Noise }

// Summary is the comparison in one line.
func (c Comparison) Summary() string {
	text := fmt.Sprintf("%-24s %-18s without changes %s, with %s, worse by %.4g, noise %.4g", c.Kind, c.Figure, formatValues(c.Baseline), formatValues(c.Changed), c.Difference, c.Noise)
	if c.Significant() {
		text += ": BEYOND THE NOISE"
	}
	return text
}

func formatValues(values []float64) string {
	var words []string
	for _, value := range values {
		words = append(words, fmt.Sprintf("%.4g", value))
	}
	return strings.Join(words, " ")
}
