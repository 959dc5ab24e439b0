package sweep

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Plan is what a sweep is to play.
type Plan struct {
	Dimension Dimension
	Sizes     []int
	Runs      int
	Window    time.Duration
	Results   string // folder of the records
}

// Check refuses what can't be played, before anything starts.
func (p Plan) Check(bounds Bounds) error {
	if p.Runs < 1 || p.Window <= 0 || len(p.Sizes) == 0 {
		return fmt.Errorf("there must be a size, a run and a window at least")
	}
	for _, value := range p.Sizes {
		if err := bounds.Check(p.Dimension.SizeAt(value)); err != nil {
			return fmt.Errorf("%s %d: %w", p.Dimension.Name, value, err)
		}
	}
	return nil
}

// Sweep plays each size as often as the plan says and records it once all its runs are done, so one that is cut off leaves
// the sizes before. play plays one run.
func Sweep(plan Plan, play func(size Size, number int) (Run, error), say func(format string, arguments ...any)) error {
	for position, value := range plan.Sizes {
		point := Point{Dimension: plan.Dimension.Name, Value: value, Window: plan.Window}
		for number := 1; number <= plan.Runs; number++ {
			began := time.Now()
			run, err := play(plan.Dimension.SizeAt(value), number)
			if err != nil {
				return fmt.Errorf("%s %d, run %d: %w", plan.Dimension.Name, value, number, err)
			}
			point.Runs = append(point.Runs, run)
			say("%s %d (size %d of %d), run %d of %d: %.1f s, load %.1f", plan.Dimension.Name, value, position+1, len(plan.Sizes), number, plan.Runs, time.Since(began).Seconds(), run.LoadAverage)
		}
		if err := Record(plan.Results, point); err != nil {
			return err
		}
	}
	return nil
}

// Record writes a point into its file, whole or not at all.
func Record(folder string, point Point) error {
	content, err := json.MarshalIndent(point, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	path := filepath.Join(folder, fmt.Sprintf("%s-%d.json", point.Dimension, point.Value))
	if err := os.WriteFile(path+".new", append(content, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Results reads every point recorded in a folder, by dimension and value.
func Results(folder string) ([]Point, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, err
	}
	var points []Point
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		point := Point{}
		if err := json.Unmarshal(content, &point); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if _, err := Find(point.Dimension); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		points = append(points, point)
	}
	order := func(point Point) int { return slices.Index(Names(), point.Dimension) }
	slices.SortFunc(points, func(one, other Point) int {
		return 1000000000*(order(one)-order(other)) + one.Value - other.Value
	})
	return points, nil
}

// RunsAlong gives the runs that a dimension's slopes are drawn through, the base's among them.
func RunsAlong(points []Point, dimension Dimension) (runs []Run) {
	for _, point := range points {
		for _, run := range point.Runs {
			if dimension.Includes(run.Size) {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// EpochChanged tells whether a group's epoch changed within the window, to another primary or backup: then voters were asked for
// promises.
func (r Run) EpochChanged(group string) bool {
	for name, role := range r.Roles {
		if strings.HasPrefix(name, group+" ") && role.Kinds["register_promise"].Received > 0 {
			return true
		}
	}
	return false
}

// Metric is something that is measured in each run.
type Metric struct {
	Name    string
	Unit    string
	Measure func(run Run) (value float64, known bool)
}

var roleNames = []string{"carrier", "sorter primary", "sorter backup", "sorter witness", "postmaster primary", "postmaster backup", "postmaster witness"}

// Metrics are all that slopes are drawn of: for each role processor time, resident memory, messages and bytes; and spans.
func Metrics() (metrics []Metric) {
	for _, name := range roleNames {
		ofRole := func(read func(role Role) float64) func(run Run) (float64, bool) {
			return func(run Run) (float64, bool) {
				role, known := run.Roles[name]
				return read(role), known
			}
		}
		metrics = append(metrics,
			Metric{name + " processor", "µs/s", ofRole(func(role Role) float64 { return role.CPUMicros })},
			Metric{name + " memory", "KB", ofRole(func(role Role) float64 { return role.ResidentBytes / 1024 })},
			Metric{name + " messages", "1/s", ofRole(func(role Role) float64 { all := role.Total(); return all.Sent + all.Received })},
			Metric{name + " bytes", "B/s", ofRole(func(role Role) float64 { all := role.Total(); return all.SentBytes + all.ReceivedBytes })})
	}
	failures := func(read func(failures *Failures) *float64) func(run Run) (float64, bool) {
		return func(run Run) (float64, bool) {
			if run.Failures == nil || read(run.Failures) == nil {
				return 0, false
			}
			return *read(run.Failures), true
		}
	}
	highest := func(values []float64) (float64, bool) {
		if len(values) == 0 {
			return 0, false
		}
		return slices.Max(values), true
	}
	return append(metrics,
		Metric{"desired state", "B", func(run Run) (float64, bool) { return float64(run.ConfigBytes), run.ConfigBytes > 0 }},
		Metric{"take-up, slowest carrier", "s", func(run Run) (float64, bool) { return highest(run.TakeUp) }},
		Metric{"acknowledgement", "s", func(run Run) (float64, bool) { return highest(run.Acknowledged) }},
		Metric{"claim, p99", "s", func(run Run) (float64, bool) { return run.Claims.P99, run.Claims.Granted > 0 }},
		Metric{"until claims again", "s", failures(func(failures *Failures) *float64 { return failures.Claims })},
		Metric{"until reads again", "s", failures(func(failures *Failures) *float64 { return failures.Reads })},
		Metric{"until changes again", "s", failures(func(failures *Failures) *float64 { return failures.Applies })},
		Metric{"until all are ready", "s", failures(func(failures *Failures) *float64 { return failures.Ready })},
		Metric{"until all see all", "s", failures(func(failures *Failures) *float64 { return failures.Complete })})
}

// KindBytes is the figure of one role's bytes in messages of one kind.
func KindBytes(role, kind string) Metric {
	return Metric{Name: role + " bytes of " + kind, Unit: "B/s", Measure: func(run Run) (float64, bool) {
		of, known := run.Roles[role]
		counted := of.Kinds[kind]
		return counted.SentBytes + counted.ReceivedBytes, known
	}}
}

// FindMetric gives a figure by its name.
func FindMetric(name string) (Metric, error) {
	for _, metric := range Metrics() {
		if metric.Name == name {
			return metric, nil
		}
	}
	if role, kind, found := strings.Cut(name, " bytes of "); found && slices.Contains(roleNames, role) {
		return KindBytes(role, kind), nil
	}
	return Metric{}, fmt.Errorf("no figure %q", name)
}
