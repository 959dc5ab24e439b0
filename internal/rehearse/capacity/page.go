package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"snowflow/internal/rehearse/sweep"
)

// tables are the page's generated parts by name.
var tables = map[string]func(points []sweep.Point) (string, error){"played": played, "spans": spans, "slopes": slopes, "needs": needs}

// Render gives the page with each marked part written anew. Every part must be marked, once.
func Render(page string, points []sweep.Point) (string, error) {
	for name, write := range tables {
		begin, end := "<!-- "+name+" -->\n", "<!-- end of "+name+" -->"
		before, rest, found := strings.Cut(page, begin)
		_, after, ended := strings.Cut(rest, end)
		if !found || !ended || strings.Contains(after, begin) {
			return "", fmt.Errorf("the page must mark the part %q once: %s...%s", name, strings.TrimSpace(begin), end)
		}
		text, err := write(points)
		if err != nil {
			return "", err
		}
		page = before + begin + text + end + after
	}
	return page, nil
}

// Number writes three digits that count.
func Number(value float64) string {
	if value == 0 {
		return "0"
	}
	if size := math.Abs(value); size >= 1000 && size < 1e9 {
		digits := math.Pow(10, math.Floor(math.Log10(size))-2)
		return fmt.Sprintf("%.0f", math.Round(value/digits)*digits)
	}
	return fmt.Sprintf("%.3g", value)
}

// scales write a value in the unit that suits its size, from the least that each is for.
var scales = map[string][]struct {
	least, by float64
	unit      string
}{
	"B/s":  {{1e6, 1e6, "MB/s"}, {1e3, 1e3, "KB/s"}},
	"B":    {{1e9, 1e9, "GB"}, {1e6, 1e6, "MB"}, {1e3, 1e3, "KB"}},
	"KB":   {{1e6, 1e6, "GB"}, {1e3, 1e3, "MB"}},
	"µs":   {{1e6, 1e6, "processor-seconds"}},
	"µs/s": {{1e6, 1e6, "processors"}, {1e3, 1e4, "% of a processor"}},
}

// Amount writes a value with its unit.
func Amount(value float64, unit string) string {
	for _, scale := range scales[unit] {
		if math.Abs(value) >= scale.least {
			return Number(value/scale.by) + " " + scale.unit
		}
	}
	return Number(value) + " " + unit
}

func median(values []float64) float64 {
	ordered := slices.Sorted(slices.Values(values))
	if len(ordered) == 0 {
		return 0
	}
	return ordered[len(ordered)/2]
}

// spread writes the median, and least to most.
func spread(values []float64) string {
	if len(values) == 0 {
		return "-"
	}
	return fmt.Sprintf("%s (%s to %s)", Number(median(values)), Number(slices.Min(values)), Number(slices.Max(values)))
}

func collect(runs []sweep.Run, of func(run sweep.Run) (float64, bool)) (values []float64) {
	for _, run := range runs {
		if value, known := of(run); known {
			values = append(values, value)
		}
	}
	return values
}

func table(header ...string) *strings.Builder {
	text := &strings.Builder{}
	fmt.Fprintf(text, "| %s |\n|%s\n", strings.Join(header, " | "), strings.Repeat("---|", len(header)))
	return text
}

func line(text *strings.Builder, cells ...string) {
	fmt.Fprintf(text, "| %s |\n", strings.Join(cells, " | "))
}

func played(points []sweep.Point) (string, error) {
	text := table("swept", "size", "runs", "window, s", "desired state, KB", "guards' records", "load average before", "runs in which an epoch changed: sorters, postmasters")
	for _, point := range points {
		of := func(read func(run sweep.Run) float64) []float64 {
			return collect(point.Runs, func(run sweep.Run) (float64, bool) { return read(run), true })
		}
		line(text, point.Dimension, fmt.Sprint(point.Value), fmt.Sprint(len(point.Runs)), spread(of(func(run sweep.Run) float64 { return run.Seconds })),
			Number(median(of(func(run sweep.Run) float64 { return float64(run.Content) / 1000 }))), Number(median(of(func(run sweep.Run) float64 { return float64(run.Guards) }))),
			spread(of(func(run sweep.Run) float64 { return run.Load })), fmt.Sprintf("%d, %d", changed(point, "sorter"), changed(point, "postmaster")))
	}
	return text.String(), nil
}

func changed(point sweep.Point, group string) (count int) {
	for _, run := range point.Runs {
		if run.Changed(group) {
			count++
		}
	}
	return count
}

func quantile(values []float64, part float64) float64 {
	ordered := slices.Sorted(slices.Values(values))
	if len(ordered) == 0 {
		return 0
	}
	return ordered[min(len(ordered)-1, int(float64(len(ordered))*part))]
}

func spans(points []sweep.Point) (string, error) {
	text := table("swept", "size", "take-up at the slowest carrier: changes, p50, p99, most", "claim: granted, other, p50, p99", "claims again", "reads again", "changes again", "all ready", "all see all", "KB for each carrier until then")
	for _, point := range points {
		var takeUp []float64
		granted, other := 0, 0
		var half, most []float64
		for _, run := range point.Runs {
			takeUp = append(takeUp, run.TakeUp...)
			granted, other = granted+run.Claims.Granted, other+run.Claims.Other
			half, most = append(half, run.Claims.P50), append(most, run.Claims.P99)
		}
		cells := []string{point.Dimension, fmt.Sprint(point.Value),
			fmt.Sprintf("%d, %s, %s, %s", len(takeUp), Number(quantile(takeUp, 0.5)), Number(quantile(takeUp, 0.99)), Number(quantile(takeUp, 1))),
			fmt.Sprintf("%d, %d, %s, %s", granted, other, Number(median(half)), Number(median(most)))}
		for _, name := range []string{"until claims again", "until reads again", "until changes again", "until all are ready", "until all see all"} {
			figure, err := sweep.FindFigure(name)
			if err != nil {
				return "", err
			}
			values := collect(point.Runs, figure.Of)
			cell := spread(values)
			if measured := collect(point.Runs, func(run sweep.Run) (float64, bool) { return 0, run.Failures != nil }); len(values) < len(measured) {
				cell += fmt.Sprintf("; not reached in %d", len(measured)-len(values))
			}
			cells = append(cells, cell)
		}
		cells = append(cells, spread(collect(point.Runs, func(run sweep.Run) (float64, bool) {
			if run.Failures == nil {
				return 0, false
			}
			return run.Failures.Bytes / 1000, true
		})))
		line(text, cells...)
	}
	return text.String(), nil
}

func slopes(points []sweep.Point) (string, error) {
	text := table("along", "of", "at the base", "slope", "standard error", "runs")
	for _, dimension := range sweep.Dimensions {
		without := 0
		for _, figure := range sweep.Figures() {
			drawn, possible := Along(points, dimension, figure)
			if !possible {
				continue
			}
			if !drawn.Certain() {
				without++
				continue
			}
			base, _ := baseValue(points, dimension)
			line(text, dimension.Name, figure.Name, Number(drawn.At(base))+" "+figure.Unit, Number(drawn.Slope)+" "+figure.Unit+" for a "+dimension.Unit, Number(drawn.Error), fmt.Sprint(drawn.Points))
		}
		if without > 0 {
			line(text, dimension.Name, fmt.Sprintf("%d more, with no slope beyond twice its error", without), "", "", "", "")
		}
	}
	return text.String(), nil
}

// baseValue is what slopes of a dimension go by at the base.
func baseValue(points []sweep.Point, dimension sweep.Dimension) (float64, bool) {
	values := []float64{}
	for _, point := range points {
		for _, run := range point.Runs {
			if run.Size == sweep.Base {
				values = append(values, dimension.Value(run))
			}
		}
	}
	return median(values), len(values) > 0
}

func needs(points []sweep.Point) (string, error) {
	text := table("role", "need", "at the letter's size", "made of", "bound", "holds", "carried by")
	for _, need := range Needs {
		parts, sum, err := need.Parts(points)
		if err != nil {
			return "", err
		}
		made := []string{}
		for _, part := range parts {
			note := ""
			if !part.Line.Rises() {
				note = " (doesn't rise)"
			}
			made = append(made, fmt.Sprintf("%s %s%s", part.Term.Dimension, Amount(part.Value, need.Unit), note))
		}
		bound, met := "none given", "-"
		if need.Bound > 0 {
			bound, met = Amount(need.Bound, need.Unit), "yes"
			if sum > need.Bound {
				met = fmt.Sprintf("**no, %s times over**", Number(sum/need.Bound))
			}
		}
		line(text, need.Role, need.What, Amount(sum, need.Unit), strings.Join(made, ", "), bound, met, need.By)
	}
	return text.String(), nil
}
