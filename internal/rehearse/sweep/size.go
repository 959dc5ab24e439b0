// Package sweep measures what the control plane and the proxies' control traffic cost as a mesh grows. A sweep moves one dimension
// of a base size at a time, measures each size in several runs and records them as JSON, from which package capacity extrapolates.
//
// Keys and names in records date from before the programs were renamed: carrier is the proxy, sorter the registry, postmaster the
// configuration store, and guards are breakers.
package sweep

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"syscall"
	"time"
)

// Size is the size of a mesh and the load on it. All numbers are of the mesh as a whole.
type Size struct {
	Proxies  int `json:"carriers"`
	Services int `json:"services"`
	Routes   int `json:"routes"`
	Changes  int `json:"changes"`  // configurations applied within the window
	ClaimRate    int `json:"calls"`    // claims a second
	Restarts int `json:"restarts"` // proxies restarted within the window
}

// Base is the size from which each sweep moves one dimension.
var Base = Size{Proxies: 50, Services: 10, Routes: 10, Changes: 4, ClaimRate: 10}

// Dimension is a field of Size that can be swept.
type Dimension struct {
	Name  string
	Unit  string // of Coordinate
	Sizes []int  // measured by default
	// Field points to the dimension's field in a size.
	Field func(size *Size) *int
	// PerWindow says that the field counts events within the window, so that Coordinate divides it by the window's length.
	PerWindow bool
	// Failures says that each run ends with failures of both primaries and a restart of all proxies at once.
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
	return Dimension{}, fmt.Errorf("no dimension %q; there are %v", name, DimensionNames())
}

// DimensionNames lists the dimensions' names in their order.
func DimensionNames() (names []string) {
	for _, dimension := range Dimensions {
		names = append(names, dimension.Name)
	}
	return names
}

// SizeAt returns the base with this dimension set to value.
func (d Dimension) SizeAt(value int) Size {
	size := Base
	*d.Field(&size) = value
	return size
}

// Includes reports whether a size differs from the base in no other dimension. The base itself is included.
func (d Dimension) Includes(size Size) bool {
	moved := size
	*d.Field(&moved) = *d.Field(&Base)
	return moved == Base
}

// Coordinate returns a run's position along the dimension, the x value of slopes.
func (d Dimension) Coordinate(run Run) float64 {
	value := float64(*d.Field(&run.Size))
	if d.PerWindow {
		return value / run.Seconds
	}
	return value
}

// Estimated memory in bytes and open files. A proxy's share counts its connections' buffers at both ends and one directory entry for
// each other member, doubled for garbage that has not been collected yet.
const (
	coreBytes     = 6 * 60 << 20
	proxyBytes    = 1200 << 10
	memberBytes   = 1600
	routeBytes    = 2500 // at each proxy, and for each version that a configuration store keeps
	filesPerProxy = 7    // a connection to each of the six control plane processes and one spare
)

// EstimateMemory estimates the memory that a run of this size takes, in bytes, over all processes.
func (s Size) EstimateMemory() uint64 {
	proxies := uint64(s.Proxies)
	return coreBytes + proxies*proxyBytes + proxies*proxies*memberBytes + uint64(s.Routes)*routeBytes*(proxies+3*uint64(s.Changes))
}

// Bounds limits the resources that a run may take.
type Bounds struct {
	Memory uint64 // bytes
	Files  uint64 // open files of this process
}

// MachineBounds returns this machine's bounds: half its memory, and the number of files that a process may open.
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

// Check returns an error if a size is invalid or by estimate exceeds the bounds.
func (b Bounds) Check(size Size) error {
	for name, value := range map[string]int{"carriers": size.Proxies, "services": size.Services} {
		if value < 1 {
			return fmt.Errorf("%s must be one at least", name)
		}
	}
	if size.Proxies < 2 || size.Routes < 0 || size.Changes < 0 || size.ClaimRate < 0 || size.Restarts < 0 {
		return fmt.Errorf("%+v: there must be two carriers, and no figure below zero", size)
	}
	if estimate := size.EstimateMemory(); estimate > b.Memory {
		return fmt.Errorf("%d carriers with %d routes may take %d MB (%d KB each and %d bytes for each pair); half of this machine's memory is %d MB",
			size.Proxies, size.Routes, estimate>>20, proxyBytes>>10, memberBytes, b.Memory>>20)
	}
	if files := uint64(size.Proxies)*filesPerProxy + 200; files > b.Files {
		return fmt.Errorf("%d carriers may take %d open files; a process may have %d", size.Proxies, files, b.Files)
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

// RoleUsage is what one process of a role used within the window, as the mean over its processes.
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

// RecoveryTimes holds the recovery times, in seconds, after both primaries were killed at once and after all proxies were restarted at
// once. Nil means that the state was not reached before the timeout.
type RecoveryTimes struct {
	Claims         *float64 `json:"until_claims,omitempty"`  // until a claim was granted again
	Reads          *float64 `json:"until_reads,omitempty"`   // until a configuration store answered a read again
	Applies        *float64 `json:"until_applies,omitempty"` // until a change was acknowledged again
	Ready          *float64 `json:"until_ready,omitempty"`   // from the proxies' restart until all are ready
	Complete       *float64 `json:"until_whole,omitempty"`   // from the proxies' restart until each knows all others
	Bytes          float64  `json:"bytes_until_whole"`       // per proxy, from the restart until Complete or the timeout
	TimeoutSeconds float64  `json:"cutoff_seconds"`
}

// Run is the record of one run of a size.
type Run struct {
	Size         Size            `json:"size"`
	Number       int             `json:"run"`
	Seconds      float64         `json:"seconds"`              // the window's length
	LoadAverage  float64         `json:"load"`                 // the machine's load average before the run, from other work
	ConfigBytes  int             `json:"desired_bytes"`        // size of the last configuration
	Breakers     int             `json:"guards_records"`       // breaker records at the window's start
	JoinSeconds  float64         `json:"joined_seconds"`       // from the first proxy's start until each knows all others
	Roles        map[string]RoleUsage `json:"roles"`                // by role name, such as "sorter primary"
	AdoptionSeconds       []float64       `json:"take_up_seconds"`      // of each change, until the last proxy had adopted it
	AcknowledgementSeconds []float64       `json:"acknowledged_seconds"` // of each change, until it was acknowledged
	Claims       Claims          `json:"claims"`
	Recovery     *RecoveryTimes       `json:"failures,omitempty"`
}

// Claims summarizes the claims of idempotency keys within the window. Percentiles are of granted claims, in seconds.
type Claims struct {
	Granted int     `json:"granted"`
	Other   int     `json:"other"` // rejected or failed
	P50     float64 `json:"p50_seconds"`
	P99     float64 `json:"p99_seconds"`
}

// Point is the record of one size along a dimension, the content of a record file.
type Point struct {
	Dimension string        `json:"dimension"`
	Value     int           `json:"value"`
	Window    time.Duration `json:"window"`
	Runs      []Run         `json:"runs"`
}
