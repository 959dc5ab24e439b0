package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"snowflow/internal/rehearse/sweep"
)

// tables maps the name of each generated section of the page, as its markers have it, to the function that renders it.
var tables = map[string]func(points []sweep.Point) (string, error){"played": measuredTable, "spans": durationsTable, "slopes": slopesTable, "needs": requirementsTable}

// Render returns the page with the text between each section's markers replaced by one rendered from points. It returns an error unless
// each section is marked exactly once.
func Render(page string, points []sweep.Point) (string, error) {
	for name, write := range tables {
		begin, end := "<!-- "+name+" -->\n", "<!-- end of "+name+" -->"
		before, rest, found := strings.Cut(page, begin)
		_, after, ended := strings.Cut(rest, end)
		if !found || !ended || strings.Contains(after, begin) {
			return "", fmt.Errorf("the page must mark the section %q exactly once: %s...%s", name, strings.TrimSpace(begin), end)
		}
		text, err := write(points)
		if err != nil {
			return "", err
		}
		page = before + begin + text + end + after
	}
	return page, nil
}

// FormatNumber formats a value to three significant digits.
func FormatNumber(value float64) string {
	if value == 0 {
		return "0"
	}
	if size := math.Abs(value); size >= 1000 && size < 1e9 {
		digits := math.Pow(10, math.Floor(math.Log10(size))-2)
		return fmt.Sprintf("%.0f", math.Round(value/digits)*digits)
	}
	return fmt.Sprintf("%.3g", value)
}

// unitScales lists, by unit, the larger units that replace it for values of at least minimum, in descending order.
var unitScales = map[string][]struct {
	minimum, divisor float64
	unit             string
}{
	"B/s":  {{1e6, 1e6, "MB/s"}, {1e3, 1e3, "KB/s"}},
	"B":    {{1e9, 1e9, "GB"}, {1e6, 1e6, "MB"}, {1e3, 1e3, "KB"}},
	"KB":   {{1e6, 1e6, "GB"}, {1e3, 1e3, "MB"}},
	"µs":   {{1e6, 1e6, "processor-seconds"}},
	"µs/s": {{1e6, 1e6, "processors"}, {1e3, 1e4, "% of a processor"}},
}

// FormatValue formats a value with its unit, or with a larger unit if unitScales has one for it.
func FormatValue(value float64, unit string) string {
	for _, scale := range unitScales[unit] {
		if math.Abs(value) >= scale.minimum {
			return FormatNumber(value/scale.divisor) + " " + scale.unit
		}
	}
	return FormatNumber(value) + " " + unit
}

// median returns the median, of an even number of values the higher of the middle two. It returns 0 if there are none.
func median(values []float64) float64 {
	ordered := slices.Sorted(slices.Values(values))
	if len(ordered) == 0 {
		return 0
	}
	return ordered[len(ordered)/2]
}

// medianAndRange formats the median with the lowest and highest value.
func medianAndRange(values []float64) string {
	if len(values) == 0 {
		return "-"
	}
	return fmt.Sprintf("%s (%s to %s)", FormatNumber(median(values)), FormatNumber(slices.Min(values)), FormatNumber(slices.Max(values)))
}

// collect returns the values that measure reads from runs, without the runs that have none.
func collect(runs []sweep.Run, measure func(run sweep.Run) (float64, bool)) (values []float64) {
	for _, run := range runs {
		if value, known := measure(run); known {
			values = append(values, value)
		}
	}
	return values
}

// newTable starts a Markdown table with a header row.
func newTable(header ...string) *strings.Builder {
	text := &strings.Builder{}
	fmt.Fprintf(text, "| %s |\n|%s\n", strings.Join(header, " | "), strings.Repeat("---|", len(header)))
	return text
}

// writeRow adds a row to a Markdown table.
func writeRow(text *strings.Builder, cells ...string) {
	fmt.Fprintf(text, "| %s |\n", strings.Join(cells, " | "))
}

// measuredTable lists the recorded sizes and the conditions under which their runs were measured.
func measuredTable(points []sweep.Point) (string, error) {
	text := newTable("swept", "size", "runs", "window, s", "desired state, KB", "guards' records", "load average before", "runs in which an epoch changed: sorters, postmasters")
	for _, point := range points {
		valuesOf := func(read func(run sweep.Run) float64) []float64 {
			return collect(point.Runs, func(run sweep.Run) (float64, bool) { return read(run), true })
		}
		writeRow(text, point.Dimension, fmt.Sprint(point.Value), fmt.Sprint(len(point.Runs)), medianAndRange(valuesOf(func(run sweep.Run) float64 { return run.Seconds })),
			FormatNumber(median(valuesOf(func(run sweep.Run) float64 { return float64(run.ConfigBytes) / 1000 }))), FormatNumber(median(valuesOf(func(run sweep.Run) float64 { return float64(run.Breakers) }))),
			medianAndRange(valuesOf(func(run sweep.Run) float64 { return run.LoadAverage })), fmt.Sprintf("%d, %d", countEpochChanges(point, "sorter"), countEpochChanges(point, "postmaster")))
	}
	return text.String(), nil
}

// countEpochChanges returns the number of runs in which a group's epoch changed.
func countEpochChanges(point sweep.Point, group string) (count int) {
	for _, run := range point.Runs {
		if run.EpochChanged(group) {
			count++
		}
	}
	return count
}

// quantile returns the value below which the given fraction of the values lies. It returns 0 if there are none.
func quantile(values []float64, fraction float64) float64 {
	ordered := slices.Sorted(slices.Values(values))
	if len(ordered) == 0 {
		return 0
	}
	return ordered[min(len(ordered)-1, int(float64(len(ordered))*fraction))]
}

// durationsTable lists how long changes, claims and recoveries took at each size.
func durationsTable(points []sweep.Point) (string, error) {
	text := newTable("swept", "size", "take-up at the slowest carrier: changes, p50, p99, most", "claim: granted, other, p50, p99", "claims again", "reads again", "changes again", "all ready", "all see all", "KB for each carrier until then")
	for _, point := range points {
		var adoptions []float64
		granted, other := 0, 0
		var medians, p99s []float64
		for _, run := range point.Runs {
			adoptions = append(adoptions, run.AdoptionSeconds...)
			granted, other = granted+run.Claims.Granted, other+run.Claims.Other
			medians, p99s = append(medians, run.Claims.P50), append(p99s, run.Claims.P99)
		}
		cells := []string{point.Dimension, fmt.Sprint(point.Value),
			fmt.Sprintf("%d, %s, %s, %s", len(adoptions), FormatNumber(quantile(adoptions, 0.5)), FormatNumber(quantile(adoptions, 0.99)), FormatNumber(quantile(adoptions, 1))),
			fmt.Sprintf("%d, %d, %s, %s", granted, other, FormatNumber(median(medians)), FormatNumber(median(p99s)))}
		for _, name := range []string{"until claims again", "until reads again", "until changes again", "until all are ready", "until all see all"} {
			metric, err := sweep.FindMetric(name)
			if err != nil {
				return "", err
			}
			values := collect(point.Runs, metric.Measure)
			cell := medianAndRange(values)
			if measured := collect(point.Runs, func(run sweep.Run) (float64, bool) { return 0, run.Recovery != nil }); len(values) < len(measured) {
				cell += fmt.Sprintf("; not reached in %d", len(measured)-len(values))
			}
			cells = append(cells, cell)
		}
		cells = append(cells, medianAndRange(collect(point.Runs, func(run sweep.Run) (float64, bool) {
			if run.Recovery == nil {
				return 0, false
			}
			return run.Recovery.Bytes / 1000, true
		})))
		writeRow(text, cells...)
	}
	return text.String(), nil
}

// slopesTable lists the significant slopes along each dimension, and the number of the others.
func slopesTable(points []sweep.Point) (string, error) {
	text := newTable("along", "of", "at the base", "slope", "standard error", "runs")
	for _, dimension := range sweep.Dimensions {
		insignificant := 0
		for _, metric := range sweep.Metrics() {
			line, fitted := FitAlong(points, dimension, metric)
			if !fitted {
				continue
			}
			if !line.Significant() {
				insignificant++
				continue
			}
			base, _ := baseCoordinate(points, dimension)
			writeRow(text, dimension.Name, metric.Name, FormatNumber(line.At(base))+" "+metric.Unit, FormatNumber(line.Slope)+" "+metric.Unit+" for a "+dimension.Unit, FormatNumber(line.SlopeError), fmt.Sprint(line.Points))
		}
		if insignificant > 0 {
			writeRow(text, dimension.Name, fmt.Sprintf("%d more, with no slope beyond twice its error", insignificant), "", "", "", "")
		}
	}
	return text.String(), nil
}

// baseCoordinate returns the median coordinate along a dimension of the runs with the base size, and whether there are any.
func baseCoordinate(points []sweep.Point, dimension sweep.Dimension) (float64, bool) {
	values := []float64{}
	for _, point := range points {
		for _, run := range point.Runs {
			if run.Size == sweep.Base {
				values = append(values, dimension.Coordinate(run))
			}
		}
	}
	return median(values), len(values) > 0
}

// requirementsTable compares each requirement at the target size with its bound.
func requirementsTable(points []sweep.Point) (string, error) {
	text := newTable("role", "need", "at the letter's size", "made of", "bound", "holds", "carried by")
	for _, requirement := range Requirements {
		parts, sum, err := requirement.Parts(points)
		if err != nil {
			return "", err
		}
		contributions := []string{}
		for _, part := range parts {
			note := ""
			if !part.Line.Increasing() {
				note = " (doesn't rise)"
			}
			contributions = append(contributions, fmt.Sprintf("%s %s%s", part.Term.Dimension, FormatValue(part.Value, requirement.Unit), note))
		}
		bound, met := "none given", "-"
		if requirement.Bound > 0 {
			bound, met = FormatValue(requirement.Bound, requirement.Unit), "yes"
			if sum > requirement.Bound {
				met = fmt.Sprintf("**no, %s times over**", FormatNumber(sum/requirement.Bound))
			}
		}
		writeRow(text, requirement.Role, requirement.Description, FormatValue(sum, requirement.Unit), strings.Join(contributions, ", "), bound, met, requirement.Mechanism)
	}
	return text.String(), nil
}
