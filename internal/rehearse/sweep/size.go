// Package sweep measures the cost of the control plane and of the proxies' control traffic as a mesh grows. A sweep varies one dimension
// of a base size, measures each size in several runs and records them as JSON. Package capacity extrapolates from the records.
//
// Keys and names in records date from before the programs were renamed: a carrier is a proxy, the sorter is the registry, the
// postmaster is the configuration store, and guards are breakers.
package sweep

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"syscall"
	"time"
)

// Size is the size of a mesh and the load on it. All numbers apply to the whole mesh.
type Size struct {
	Proxies   int `json:"carriers"`
	Services  int `json:"services"`
	Routes    int `json:"routes"`
	Changes   int `json:"changes"`  // configurations applied within the window
	ClaimRate int `json:"calls"`    // claims of idempotency keys per second
	Restarts  int `json:"restarts"` // proxies restarted within the window
}

// Base is the size of which each sweep varies one dimension.
var Base = Size{Proxies: 50, Services: 10, Routes: 10, Changes: 4, ClaimRate: 10}

// Dimension is a field of Size that can be swept.
type Dimension struct {
	Name  string
	Unit  string // unit of Coordinate
	Sizes []int  // measured by default
	// Field returns a pointer to the dimension's field of a size.
	Field func(size *Size) *int
	// PerWindow is set if the field counts events within the window. Coordinate then divides it by the window's length.
	PerWindow bool
	// Failures is set if each run ends with failures of both primaries and a restart of all proxies at once.
	Failures bool
}

// Dimensions lists all dimensions in the order in which they are swept.
var Dimensions = []Dimension{
	{Name: "carriers", Unit: "carrier", Sizes: []int{50, 200, 800}, Field: func(size *Size) *int { return &size.Proxies }, Failures: true},
	{Name: "services", Unit: "service", Sizes: []int{580}, Field: func(size *Size) *int { return &size.Services }},
	{Name: "routes", Unit: "route", Sizes: []int{10000}, Field: func(size *Size) *int { return &size.Routes }},
	{Name: "changes", Unit: "change a second", Sizes: []int{40}, Field: func(size *Size) *int { return &size.Changes }, PerWindow: true},
	{Name: "calls", Unit: "claim a second", Sizes: []int{400}, Field: func(size *Size) *int { return &size.ClaimRate }},
	{Name: "restarts", Unit: "restart a second", Sizes: []int{10}, Field: func(size *Size) *int { return &size.Restarts }, PerWindow: true},
}

// FindDimension returns the dimension with a name, or an error that lists the known names.
func FindDimension(name string) (Dimension, error) {
	for _, dimension := range Dimensions {
		if dimension.Name == name {
			return dimension, nil
		}
	}
	return Dimension{}, fmt.Errorf("no dimension %q; known dimensions are %v", name, DimensionNames())
}

// DimensionNames lists the names of Dimensions, in the same order.
func DimensionNames() (names []string) {
	for _, dimension := range Dimensions {
		names = append(names, dimension.Name)
	}
	return names
}

// SizeAt returns the base size with this dimension set to value.
func (d Dimension) SizeAt(value int) Size {
	size := Base
	*d.Field(&size) = value
	return size
}

// Includes reports whether a size equals the base size in all other dimensions. The base size itself is included.
func (d Dimension) Includes(size Size) bool {
	reset := size
	*d.Field(&reset) = *d.Field(&Base)
	return reset == Base
}

// Coordinate returns a run's position along the dimension, the x value of fitted lines.
func (d Dimension) Coordinate(run Run) float64 {
	value := float64(*d.Field(&run.Size))
	if d.PerWindow {
		return value / run.Seconds
	}
	return value
}

// Estimates of memory in bytes and of open files. A proxy needs buffers at both ends of its connections and a directory entry for each
// other proxy. The estimate is doubled for garbage that has not been collected yet.
const (
	coreBytes     = 6 * 60 << 20
	proxyBytes    = 1200 << 10
	memberBytes   = 1600 // directory entry of one proxy at another
	routeBytes    = 2500 // at each proxy, and in each version that a configuration store keeps
	filesPerProxy = 7    // a connection to each of the six control plane processes and one spare
)

// EstimateMemory estimates the memory in bytes that all processes of a run of this size take together.
func (s Size) EstimateMemory() uint64 {
	proxies := uint64(s.Proxies)
	return coreBytes + proxies*proxyBytes + proxies*proxies*memberBytes + uint64(s.Routes)*routeBytes*(proxies+3*uint64(s.Changes))
}

// Bounds are the limits of the resources that a run may use.
type Bounds struct {
	Memory uint64 // bytes
	Files  uint64 // open files of this process
}

// MachineBounds returns the bounds on this machine: half its memory, and the number of files that a process may open.
func MachineBounds() (Bounds, error) {
	content, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return Bounds{}, err
	}
	var total uint64
	if _, err := fmt.Sscanf(string(content), "MemTotal: %d kB", &total); err != nil {
		return Bounds{}, fmt.Errorf("unreadable /proc/meminfo: %w", err)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return Bounds{}, err
	}
	return Bounds{Memory: total << 10 / 2, Files: limit.Cur}, nil
}

// Check returns an error if a size is invalid or is estimated to exceed the bounds.
func (b Bounds) Check(size Size) error {
	for name, value := range map[string]int{"carriers": size.Proxies, "services": size.Services} {
		if value < 1 {
			return fmt.Errorf("%s must be at least one", name)
		}
	}
	if size.Proxies < 2 || size.Routes < 0 || size.Changes < 0 || size.ClaimRate < 0 || size.Restarts < 0 {
		return fmt.Errorf("%+v: there must be at least two carriers and no negative number", size)
	}
	if estimate := size.EstimateMemory(); estimate > b.Memory {
		return fmt.Errorf("%d carriers with %d routes may take %d MB (%d KB each and %d bytes for each pair); half of this machine's memory is %d MB",
			size.Proxies, size.Routes, estimate>>20, proxyBytes>>10, memberBytes, b.Memory>>20)
	}
	if files := uint64(size.Proxies)*filesPerProxy + 200; files > b.Files {
		return fmt.Errorf("%d carriers may need %d open files; a process may have only %d", size.Proxies, files, b.Files)
	}
	return nil
}

// Traffic is the mean number of messages and bytes that one process exchanged per second, of one kind or in total.
type Traffic struct {
	Sent          float64 `json:"sent"`
	SentBytes     float64 `json:"sent_bytes"`
	Received      float64 `json:"received"`
	ReceivedBytes float64 `json:"received_bytes"`
}

// RoleUsage is what one process of a role used within the window: the mean over the processes of that role.
type RoleUsage struct {
	Processes     int                `json:"processes"`
	CPUMicros     float64            `json:"processor"`     // CPU microseconds per second
	ResidentBytes float64            `json:"resident_peak"` // peak resident set size
	Kinds         map[string]Traffic `json:"kinds"`         // by the message kind's metric label
}

// Total sums the traffic of all kinds. The order of summation is fixed, so that results are reproducible to the last bit.
func (r RoleUsage) Total() (total Traffic) {
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		traffic := r.Kinds[name]
		total.Sent, total.SentBytes = total.Sent+traffic.Sent, total.SentBytes+traffic.SentBytes
		total.Received, total.ReceivedBytes = total.Received+traffic.Received, total.ReceivedBytes+traffic.ReceivedBytes
	}
	return total
}

// RecoveryTimes holds the seconds that recovery took after both primaries were killed at once and after all proxies were restarted at
// once. A time is nil if recovery did not complete before the timeout.
type RecoveryTimes struct {
	Claims         *float64 `json:"until_claims,omitempty"`  // from the kill until a claim was granted
	Reads          *float64 `json:"until_reads,omitempty"`   // from the kill until a configuration store answered a read
	Applies        *float64 `json:"until_applies,omitempty"` // from the kill until a change was acknowledged
	Ready          *float64 `json:"until_ready,omitempty"`   // from the restart until all proxies are ready
	Complete       *float64 `json:"until_whole,omitempty"`   // from the restart until each proxy knows all others
	Bytes          float64  `json:"bytes_until_whole"`       // exchanged per proxy from the restart until Complete or the timeout
	TimeoutSeconds float64  `json:"cutoff_seconds"`
}

// Run is the record of one run of a size.
type Run struct {
	Size                   Size                 `json:"size"`
	Number                 int                  `json:"run"`
	Seconds                float64              `json:"seconds"`              // length of the window
	LoadAverage            float64              `json:"load"`                 // load average of the machine before the run, caused by other work
	ConfigBytes            int                  `json:"desired_bytes"`        // size of the last configuration
	Breakers               int                  `json:"guards_records"`       // number of shared breaker records at the start of the window
	JoinSeconds            float64              `json:"joined_seconds"`       // from the start of the first proxy until each knows all others
	Roles                  map[string]RoleUsage `json:"roles"`                // by role name, such as "sorter primary"
	AdoptionSeconds        []float64            `json:"take_up_seconds"`      // for each change, until the last proxy had adopted it
	AcknowledgementSeconds []float64            `json:"acknowledged_seconds"` // for each change, until it was acknowledged
	Claims                 Claims               `json:"claims"`
	Recovery               *RecoveryTimes       `json:"failures,omitempty"`
}

// Claims summarizes the claims of idempotency keys within the window. The percentiles are those of the granted claims' durations.
type Claims struct {
	Granted int     `json:"granted"`
	Other   int     `json:"other"` // rejected or failed
	P50     float64 `json:"p50_seconds"`
	P99     float64 `json:"p99_seconds"`
}

// Point is the record of all runs of one size along a dimension, the content of a record file.
type Point struct {
	Dimension string        `json:"dimension"`
	Value     int           `json:"value"`
	Window    time.Duration `json:"window"`
	Runs      []Run         `json:"runs"`
}
