package capacity

import (
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"snowflow/internal/rehearse/sweep"
)

// docsFolder is the folder of the page and the records.
var docsFolder = filepath.Join("..", "..", "..", "docs")

// recordedPoints reads the records that the page is generated from.
func recordedPoints(t *testing.T) []sweep.Point {
	t.Helper()
	points, err := sweep.ReadPoints(filepath.Join(docsFolder, "capacity"))
	if err != nil || len(points) == 0 {
		t.Fatalf("read %d recorded points: %v", len(points), err)
	}
	return points
}

// TestPageAgreesWithRecords checks that the page's tables equal those rendered from the records, and that the files it links to and all
// plots exist.
func TestPageAgreesWithRecords(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(docsFolder, "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	rendered, err := Render(string(content), recordedPoints(t))
	if err != nil {
		t.Fatal(err)
	}
	if rendered != string(content) {
		t.Error("the page's tables differ from the records in docs/capacity; run 'rehearse capacity'")
	}
	for _, link := range regexp.MustCompile(`\]\((capacity/[^)]+)\)`).FindAllStringSubmatch(string(content), -1) {
		if _, err := os.Stat(filepath.Join(docsFolder, link[1])); err != nil {
			t.Errorf("the page links to a missing file: %s", link[1])
		}
	}
	for dimension, metrics := range PlottedMetrics {
		for _, metric := range metrics {
			if _, err := os.Stat(filepath.Join(docsFolder, "capacity", PlotFile(dimension, metric))); err != nil {
				t.Error(err)
			}
		}
	}
}

// TestEveryDimensionIsRecorded checks that each dimension has records, that each recorded size has three runs, as the page says, and that
// each run has its point's size and a window of the full length.
func TestEveryDimensionIsRecorded(t *testing.T) {
	points := map[string][]int{}
	for _, point := range recordedPoints(t) {
		dimension, err := sweep.FindDimension(point.Dimension)
		if err != nil {
			t.Fatal(err)
		}
		points[point.Dimension] = append(points[point.Dimension], point.Value)
		if len(point.Runs) != 3 {
			t.Errorf("%s %d has %d runs instead of 3", point.Dimension, point.Value, len(point.Runs))
		}
		for _, run := range point.Runs {
			if run.Size != dimension.SizeAt(point.Value) || run.Seconds < point.Window.Seconds() {
				t.Errorf("%s %d has a run of size %+v over %v s", point.Dimension, point.Value, run.Size, run.Seconds)
			}
		}
	}
	for _, dimension := range sweep.Dimensions {
		if len(points[dimension.Name]) == 0 {
			t.Errorf("no size is recorded along %s", dimension.Name)
		}
	}
}

// TestFit compares with a line computed by hand: the values 2, 4, 5 and 8 at x = 1, 2, 3 and 4 give y = 1.9x with residuals 0.1, 0.2,
// -0.7 and 0.4, so the slope's standard error is the square root of 0.7/2/5.
func TestFit(t *testing.T) {
	line, fitted := Fit([]float64{1, 2, 3, 4}, []float64{2, 4, 5, 8})
	if !fitted || math.Abs(line.Slope-1.9) > 1e-9 || math.Abs(line.Intercept) > 1e-9 || math.Abs(line.SlopeError-math.Sqrt(0.07)) > 1e-9 || line.Points != 4 || !line.Significant() {
		t.Errorf("%+v", line)
	}
	if flat, _ := Fit([]float64{1, 2, 3, 4}, []float64{5, 4, 5, 4}); flat.Significant() {
		t.Errorf("the slope of %+v is reported as significant", flat)
	}
	for name, values := range map[string][]float64{"two points": {1, 2}, "one value": {3, 3, 3}, "nothing": {}} {
		if _, fitted := Fit(values, make([]float64, len(values))); fitted {
			t.Errorf("%s: a line was fitted", name)
		}
	}
}

// newRun returns a run of the base size with another number of proxies. Each proxy exchanges 100 bytes per second, and 2 more for each
// proxy of the run.
func newRun(proxies int) sweep.Run {
	size := sweep.Base
	size.Proxies = proxies
	return sweep.Run{Size: size, Number: 1, Seconds: 10, Roles: map[string]sweep.RoleUsage{
		"carrier": {Processes: proxies, Kinds: map[string]sweep.Traffic{"sorter_poll": {SentBytes: 100, ReceivedBytes: float64(2 * proxies)}}}}}
}

// TestRequirements computes a requirement from synthetic runs: 100 bytes plus 2 for each proxy along "carriers", and 3 more for each
// service above the base size along "services".
func TestRequirements(t *testing.T) {
	points := []sweep.Point{{Dimension: "carriers", Runs: []sweep.Run{newRun(50), newRun(200), newRun(800)}}}
	requirement := Requirement{Terms: []Term{{"carriers", "carrier bytes", Proxies, 0}}}
	if _, sum, err := requirement.Parts(points); err != nil || math.Abs(sum-(100+2*Proxies)) > 1e-6 {
		t.Errorf("along carriers: sum %v, error %v", sum, err)
	}
	moreServices := newRun(50)
	moreServices.Size.Services = 110
	moreServices.Roles["carrier"].Kinds["sorter_poll"] = sweep.Traffic{SentBytes: 100, ReceivedBytes: 100 + 300}
	points = append(points, sweep.Point{Dimension: "services", Runs: []sweep.Run{moreServices, moreServices}})
	requirement.Terms = append(requirement.Terms, Term{"services", "carrier bytes", 10, 1})
	if parts, sum, err := requirement.Parts(points); err != nil || math.Abs(parts[1].Value-3*10*Proxies/50.0) > 1e-6 || math.Abs(sum-parts[0].Value-parts[1].Value) > 1e-6 {
		t.Errorf("along carriers and services: parts %+v, sum %v, error %v", parts, sum, err)
	}
	if _, _, err := (Requirement{Terms: []Term{{"calls", "carrier bytes", 1, 0}}}).Parts(points); err == nil {
		t.Error("a requirement was computed without runs")
	}
	for _, requirement := range Requirements {
		if requirement.Role == "" || requirement.Mechanism == "" || len(requirement.Terms) == 0 {
			t.Errorf("%+v is incomplete", requirement)
		}
	}
}

// TestRenderNeedsItsMarks checks that Render rejects a page that lacks a section's marker or has it twice, and that rendering is
// idempotent.
func TestRenderNeedsItsMarks(t *testing.T) {
	marked := ""
	for name := range tables {
		marked += "<!-- " + name + " -->\n<!-- end of " + name + " -->\n"
	}
	points := recordedPoints(t)
	once, err := Render(marked, points)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := Render(once, points); err != nil || again != once {
		t.Errorf("the second rendering differs, or failed: %v", err)
	}
	for _, broken := range []string{strings.Replace(marked, "<!-- needs -->", "", 1), strings.Replace(marked, "<!-- end of needs -->", "", 1), marked + marked} {
		if _, err := Render(broken, points); err == nil {
			t.Errorf("the page was accepted: %s", broken)
		}
	}
}
