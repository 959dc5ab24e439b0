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

// Plan describes a sweep along one dimension.
type Plan struct {
	Dimension Dimension
	Sizes     []int // values of the dimension to measure
	Runs      int   // number of runs of each size
	Window    time.Duration
	Results   string // folder of the records
}

// Check returns an error if the plan is empty or one of its sizes is invalid or exceeds the bounds.
func (p Plan) Check(bounds Bounds) error {
	if p.Runs < 1 || p.Window <= 0 || len(p.Sizes) == 0 {
		return fmt.Errorf("a sweep needs at least a size, a run and a window")
	}
	for _, value := range p.Sizes {
		if err := bounds.Check(p.Dimension.SizeAt(value)); err != nil {
			return fmt.Errorf("%s %d: %w", p.Dimension.Name, value, err)
		}
	}
	return nil
}

// Sweep measures each size of a plan and records it after all its runs, so that an interrupted sweep keeps the completed sizes.
// measureRun measures one run. logf reports progress after each run.
func Sweep(plan Plan, measureRun func(size Size, number int) (Run, error), logf func(format string, arguments ...any)) error {
	for position, value := range plan.Sizes {
		point := Point{Dimension: plan.Dimension.Name, Value: value, Window: plan.Window}
		for number := 1; number <= plan.Runs; number++ {
			started := time.Now()
			run, err := measureRun(plan.Dimension.SizeAt(value), number)
			if err != nil {
				return fmt.Errorf("%s %d, run %d: %w", plan.Dimension.Name, value, number, err)
			}
			point.Runs = append(point.Runs, run)
			logf("%s %d (size %d of %d), run %d of %d: took %.1f s, load average %.1f", plan.Dimension.Name, value, position+1, len(plan.Sizes), number, plan.Runs, time.Since(started).Seconds(), run.LoadAverage)
		}
		if err := WritePoint(plan.Results, point); err != nil {
			return err
		}
	}
	return nil
}

// WritePoint atomically writes the record file of a point in folder.
func WritePoint(folder string, point Point) error {
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

// ReadPoints reads all record files in a folder and returns their points, ordered by dimension and value.
func ReadPoints(folder string) ([]Point, error) {
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
		if _, err := FindDimension(point.Dimension); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		points = append(points, point)
	}
	order := func(point Point) int { return slices.Index(DimensionNames(), point.Dimension) }
	slices.SortFunc(points, func(one, other Point) int {
		return 1000000000*(order(one)-order(other)) + one.Value - other.Value
	})
	return points, nil
}

// RunsAlong returns the runs whose size equals the base size in all other dimensions, including the runs of the base size.
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

// EpochChanged reports whether a replication group changed its primary or backup within the window. A change is recognized by the
// prepare messages that the group's members received.
func (r Run) EpochChanged(group string) bool {
	for name, role := range r.Roles {
		if strings.HasPrefix(name, group+" ") && role.Kinds["register_promise"].Received > 0 {
			return true
		}
	}
	return false
}

// Metric is a figure that can be read from a run.
type Metric struct {
	Name    string
	Unit    string
	Measure func(run Run) (value float64, known bool) // known is false if the run did not measure it
}

// roleNames lists the roles by their names in the records, in the order of the capacity page.
var roleNames = []string{"carrier", "sorter primary", "sorter backup", "sorter witness", "postmaster primary", "postmaster backup", "postmaster witness"}

// Metrics lists the metrics to which lines are fitted: CPU time, memory, messages and bytes of each role, the size of a configuration,
// and durations.
func Metrics() (metrics []Metric) {
	for _, name := range roleNames {
		ofRole := func(read func(usage RoleUsage) float64) func(run Run) (float64, bool) {
			return func(run Run) (float64, bool) {
				usage, known := run.Roles[name]
				return read(usage), known
			}
		}
		metrics = append(metrics,
			Metric{name + " processor", "µs/s", ofRole(func(usage RoleUsage) float64 { return usage.CPUMicros })},
			Metric{name + " memory", "KB", ofRole(func(usage RoleUsage) float64 { return usage.ResidentBytes / 1024 })},
			Metric{name + " messages", "1/s", ofRole(func(usage RoleUsage) float64 { total := usage.Total(); return total.Sent + total.Received })},
			Metric{name + " bytes", "B/s", ofRole(func(usage RoleUsage) float64 { total := usage.Total(); return total.SentBytes + total.ReceivedBytes })})
	}
	recoveryTime := func(read func(times *RecoveryTimes) *float64) func(run Run) (float64, bool) {
		return func(run Run) (float64, bool) {
			if run.Recovery == nil || read(run.Recovery) == nil {
				return 0, false
			}
			return *read(run.Recovery), true
		}
	}
	maximum := func(values []float64) (float64, bool) {
		if len(values) == 0 {
			return 0, false
		}
		return slices.Max(values), true
	}
	return append(metrics,
		Metric{"desired state", "B", func(run Run) (float64, bool) { return float64(run.ConfigBytes), run.ConfigBytes > 0 }},
		Metric{"take-up, slowest carrier", "s", func(run Run) (float64, bool) { return maximum(run.AdoptionSeconds) }},
		Metric{"acknowledgement", "s", func(run Run) (float64, bool) { return maximum(run.AcknowledgementSeconds) }},
		Metric{"claim, p99", "s", func(run Run) (float64, bool) { return run.Claims.P99, run.Claims.Granted > 0 }},
		Metric{"until claims again", "s", recoveryTime(func(times *RecoveryTimes) *float64 { return times.Claims })},
		Metric{"until reads again", "s", recoveryTime(func(times *RecoveryTimes) *float64 { return times.Reads })},
		Metric{"until changes again", "s", recoveryTime(func(times *RecoveryTimes) *float64 { return times.Applies })},
		Metric{"until all are ready", "s", recoveryTime(func(times *RecoveryTimes) *float64 { return times.Ready })},
		Metric{"until all see all", "s", recoveryTime(func(times *RecoveryTimes) *float64 { return times.Complete })})
}

// KindBytes returns the metric of the bytes per second that a process of a role exchanges in messages of one kind.
func KindBytes(role, kind string) Metric {
	return Metric{Name: role + " bytes of " + kind, Unit: "B/s", Measure: func(run Run) (float64, bool) {
		usage, known := run.Roles[role]
		traffic := usage.Kinds[kind]
		return traffic.SentBytes + traffic.ReceivedBytes, known
	}}
}

// FindMetric returns the metric with a name, which may be one of KindBytes, or an error if there is none.
func FindMetric(name string) (Metric, error) {
	for _, metric := range Metrics() {
		if metric.Name == name {
			return metric, nil
		}
	}
	if role, kind, found := strings.Cut(name, " bytes of "); found && slices.Contains(roleNames, role) {
		return KindBytes(role, kind), nil
	}
	return Metric{}, fmt.Errorf("unknown metric %q", name)
}
