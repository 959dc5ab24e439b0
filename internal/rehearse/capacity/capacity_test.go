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

var docsFolder = filepath.Join("..", "..", "..", "docs")

func recordedPoints(t *testing.T) []sweep.Point {
	t.Helper()
	points, err := sweep.Results(filepath.Join(docsFolder, "capacity"))
	if err != nil || len(points) == 0 {
		t.Fatalf("%d points are recorded: %v", len(points), err)
	}
	return points
}

// TestPageAgreesWithRecords: the page's tables are what the records give.
func TestPageAgreesWithRecords(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(docsFolder, "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	fresh, err := Render(string(content), recordedPoints(t))
	if err != nil {
		t.Fatal(err)
	}
	if fresh != string(content) {
		t.Error("the page's tables differ from docs/capacity; run depot capacity")
	}
	for _, found := range regexp.MustCompile(`\]\((capacity/[^)]+)\)`).FindAllStringSubmatch(string(content), -1) {
		if _, err := os.Stat(filepath.Join(docsFolder, found[1])); err != nil {
			t.Errorf("the page leads nowhere: %s", found[1])
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

// TestEveryDimensionIsRecorded: each has its sizes, with as many runs as the page says, and each run belongs where it stands.
func TestEveryDimensionIsRecorded(t *testing.T) {
	points := map[string][]int{}
	for _, point := range recordedPoints(t) {
		dimension, err := sweep.Find(point.Dimension)
		if err != nil {
			t.Fatal(err)
		}
		points[point.Dimension] = append(points[point.Dimension], point.Value)
		if len(point.Runs) != 3 {
			t.Errorf("%s %d has %d runs", point.Dimension, point.Value, len(point.Runs))
		}
		for _, run := range point.Runs {
			if run.Size != dimension.SizeAt(point.Value) || run.Seconds < point.Window.Seconds() {
				t.Errorf("%s %d holds a run of %+v over %v s", point.Dimension, point.Value, run.Size, run.Seconds)
			}
		}
	}
	for _, dimension := range sweep.Dimensions {
		if len(points[dimension.Name]) == 0 {
			t.Errorf("nothing is recorded along %s", dimension.Name)
		}
	}
}

// TestFit compares with a line worked out by hand: 1, 2, 3 and 4 measured as 2, 4, 5 and 8 give 1.9x with residuals
// 0.1, 0.2, -0.7 and 0.4, so a standard error of the root of 0.7/2/5.
func TestFit(t *testing.T) {
	line, drawn := Fit([]float64{1, 2, 3, 4}, []float64{2, 4, 5, 8})
	if !drawn || math.Abs(line.Slope-1.9) > 1e-9 || math.Abs(line.Intercept) > 1e-9 || math.Abs(line.SlopeError-math.Sqrt(0.07)) > 1e-9 || line.Points != 4 || !line.Significant() {
		t.Errorf("%+v", line)
	}
	if level, _ := Fit([]float64{1, 2, 3, 4}, []float64{5, 4, 5, 4}); level.Significant() {
		t.Errorf("%+v is taken for a slope", level)
	}
	for name, values := range map[string][]float64{"two points": {1, 2}, "one value": {3, 3, 3}, "nothing": {}} {
		if _, drawn := Fit(values, make([]float64, len(values))); drawn {
			t.Errorf("%s give a line", name)
		}
	}
}

func newRun(proxies int) sweep.Run {
	size := sweep.Base
	size.Proxies = proxies
	return sweep.Run{Size: size, Number: 1, Seconds: 10, Roles: map[string]sweep.Role{
		"carrier": {Processes: proxies, Kinds: map[string]sweep.Traffic{"sorter_poll": {SentBytes: 100, ReceivedBytes: float64(2 * proxies)}}}}}
}

// TestNeeds works a need out from made-up runs: along carriers 100 bytes and 2 for each, and at ten more routes or services
// nothing else.
func TestNeeds(t *testing.T) {
	points := []sweep.Point{{Dimension: "carriers", Runs: []sweep.Run{newRun(50), newRun(200), newRun(800)}}}
	requirement := Requirement{Terms: []Term{{"carriers", "carrier bytes", Nodes, 0}}}
	if _, sum, err := requirement.Parts(points); err != nil || math.Abs(sum-(100+2*Nodes)) > 1e-6 {
		t.Errorf("%v, %v", sum, err)
	}
	moved := newRun(50)
	moved.Size.Services = 110
	moved.Roles["carrier"].Kinds["sorter_poll"] = sweep.Traffic{SentBytes: 100, ReceivedBytes: 100 + 300}
	points = append(points, sweep.Point{Dimension: "services", Runs: []sweep.Run{moved, moved}})
	requirement.Terms = append(requirement.Terms, Term{"services", "carrier bytes", 10, 1})
	if parts, sum, err := requirement.Parts(points); err != nil || math.Abs(parts[1].Value-3*10*Nodes/50.0) > 1e-6 || math.Abs(sum-parts[0].Value-parts[1].Value) > 1e-6 {
		t.Errorf("%+v, %v, %v", parts, sum, err)
	}
	if _, _, err := (Requirement{Terms: []Term{{"calls", "carrier bytes", 1, 0}}}).Parts(points); err == nil {
		t.Error("a need is worked out from runs that aren't there")
	}
	for _, requirement := range Requirements {
		if requirement.Role == "" || requirement.Mechanism == "" || len(requirement.Terms) == 0 {
			t.Errorf("%+v is incomplete", requirement)
		}
	}
}

// TestRenderNeedsItsMarks: a page that marks a part not at all, or twice, is refused.
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
		t.Errorf("a second writing differs, or %v", err)
	}
	for _, broken := range []string{strings.Replace(marked, "<!-- needs -->", "", 1), strings.Replace(marked, "<!-- end of needs -->", "", 1), marked + marked} {
		if _, err := Render(broken, points); err == nil {
			t.Errorf("taken: %s", broken)
		}
	}
}
