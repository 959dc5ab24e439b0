package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Compared is one figure of one kind of traffic in paired runs.
type Compared struct {
	Kind   string    `json:"kind"`
	Figure string    `json:"figure"`
	Quiet  []float64 `json:"quiet"`
	Busy   []float64 `json:"busy"`
	// Noise is the wider of the two spreads from least to most. With a single pair it's nothing.
	Noise float64 `json:"noise"`
	// Worse is by how much the busy runs' mean is worse than the quiet ones'.
	Worse float64 `json:"worse"`
}

// figures are what a report says of a kind: the more the worse.
var figures = []struct {
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
func Compare(quiet, busy []Report, chosen func(kind string) bool) (compared []Compared) {
	kinds := map[string]bool{}
	for _, report := range slices.Concat(quiet, busy) {
		for kind := range report.Kinds {
			kinds[kind] = kinds[kind] || chosen(kind)
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		if !kinds[kind] {
			continue
		}
		for _, figure := range figures {
			one := Compared{Kind: kind, Figure: figure.name}
			for _, report := range quiet {
				one.Quiet = append(one.Quiet, figure.of(report, kind))
			}
			for _, report := range busy {
				one.Busy = append(one.Busy, figure.of(report, kind))
			}
			one.Worse = mean(one.Busy) - mean(one.Quiet)
			one.Noise = max(spread(one.Quiet), spread(one.Busy))
			compared = append(compared, one)
		}
	}
	return compared
}

func mean(values []float64) (sum float64) {
	for _, value := range values {
		sum += value / float64(len(values))
	}
	return sum
}

func spread(values []float64) float64 { return slices.Max(values) - slices.Min(values) }

// Beyond tells whether the difference is beyond the noise.
func (compared Compared) Beyond() bool { return compared.Worse > compared.Noise }

// Line is the comparison in one line.
func (compared Compared) Line() string {
	text := fmt.Sprintf("%-24s %-18s without changes %s, with %s, worse by %.4g, noise %.4g", compared.Kind, compared.Figure, list(compared.Quiet), list(compared.Busy), compared.Worse, compared.Noise)
	if compared.Beyond() {
		text += ": BEYOND THE NOISE"
	}
	return text
}

func list(values []float64) string {
	var words []string
	for _, value := range values {
		words = append(words, fmt.Sprintf("%.4g", value))
	}
	return strings.Join(words, " ")
}
