// Package sweep measures what the control programs need as a mesh grows: it plays sizes, each several times, and records
// them.
package sweep

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"syscall"
	"time"
)

// Size is one point that is played. Every figure is the whole mesh's.
type Size struct {
	Proxies  int `json:"carriers"`
	Services int `json:"services"`
	Routes   int `json:"routes"`
	Changes  int `json:"changes"`  // applies within the window
	Calls    int `json:"calls"`    // claims a second
	Restarts int `json:"restarts"` // carriers killed and started anew within the window
}

// Base is the point from which one figure at a time is moved.
var Base = Size{Proxies: 50, Services: 10, Routes: 10, Changes: 4, Calls: 10}

// Dimension is one figure of a size that is swept.
type Dimension struct {
	Name  string
	Unit  string // of what slopes go by
	Sizes []int  // that are played if none are asked for
	Field func(size *Size) *int
	// PerWindow: the figure is a number within the window, so slopes go by it divided by the window's length.
	PerWindow bool
	// Failures: each run ends with the primaries killed, and with all carriers returning at once.
	Failures bool
}

// Dimensions are all that can be swept, in the order they are played.
var Dimensions = []Dimension{
	{Name: "carriers", Unit: "carrier", Sizes: []int{50, 200, 800}, Field: func(size *Size) *int { return &size.Proxies }, Failures: true},
	{Name: "services", Unit: "service", Sizes: []int{580}, Field: func(size *Size) *int { return &size.Services }},
	{Name: "routes", Unit: "route", Sizes: []int{10000}, Field: func(size *Size) *int { return &size.Routes }},
	{Name: "changes", Unit: "change a second", Sizes: []int{40}, Field: func(size *Size) *int { return &size.Changes }, PerWindow: true},
	{Name: "calls", Unit: "claim a second", Sizes: []int{400}, Field: func(size *Size) *int { return &size.Calls }},
	{Name: "restarts", Unit: "restart a second", Sizes: []int{10}, Field: func(size *Size) *int { return &size.Restarts }, PerWindow: true},
}

// Find gives a dimension by name.
func Find(name string) (Dimension, error) {
	for _, dimension := range Dimensions {
		if dimension.Name == name {
			return dimension, nil
		}
	}
	return Dimension{}, fmt.Errorf("no dimension %q; there are %v", name, Names())
}

// Names lists the dimensions.
func Names() (names []string) {
	for _, dimension := range Dimensions {
		names = append(names, dimension.Name)
	}
	return names
}

// SizeAt is the base with this dimension's figure moved.
func (d Dimension) SizeAt(value int) Size {
	size := Base
	*d.Field(&size) = value
	return size
}

// Includes tells whether a size differs from the base in this dimension only.
func (d Dimension) Includes(size Size) bool {
	moved := size
	*d.Field(&moved) = *d.Field(&Base)
	return moved == Base
}

// Coordinate is what slopes go by.
func (d Dimension) Coordinate(run Run) float64 {
	value := float64(*d.Field(&run.Size))
	if d.PerWindow {
		return value / run.Seconds
	}
	return value
}

// What a hollow carrier takes, with its part of the core's memory: buffers of its connections and its own, and one entry
// of the directory for each other member, twice because garbage stays until it's collected.
const (
	coreBytes     = 6 * 60 << 20
	proxyBytes    = 1200 << 10
	memberBytes   = 1600
	routeBytes    = 2500 // at each carrier, and kept with each change at the postmasters
	filesPerProxy = 7    // connections of a hollow carrier: one to each process of the core, and one to spare
)

// EstimateMemory is the memory that a size may take, in bytes.
func (s Size) EstimateMemory() uint64 {
	proxies := uint64(s.Proxies)
	return coreBytes + proxies*proxyBytes + proxies*proxies*memberBytes + uint64(s.Routes)*routeBytes*(proxies+3*uint64(s.Changes))
}

// Bounds are what a run may take of the machine.
type Bounds struct {
	Memory uint64
	Files  uint64
}

// Half gives the bounds to stay under: half the machine's memory, and the files that a process may open.
func Half() (Bounds, error) {
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

// Check refuses a size before anything is started.
func (b Bounds) Check(size Size) error {
	for name, value := range map[string]int{"carriers": size.Proxies, "services": size.Services} {
		if value < 1 {
			return fmt.Errorf("%s must be one at least", name)
		}
	}
	if size.Proxies < 2 || size.Routes < 0 || size.Changes < 0 || size.Calls < 0 || size.Restarts < 0 {
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

// Traffic is what one process exchanged a second in messages of one kind, or of all.
type Traffic struct {
	Sent          float64 `json:"sent"`
	SentBytes     float64 `json:"sent_bytes"`
	Received      float64 `json:"received"`
	ReceivedBytes float64 `json:"received_bytes"`
}

// Role is what one process of a role needed within the window; where there are several, their mean.
type Role struct {
	Processes     int                `json:"processes"`
	CPUMicros     float64            `json:"processor"`     // microseconds a second
	ResidentBytes float64            `json:"resident_peak"` // bytes
	Kinds         map[string]Traffic `json:"kinds"`
}

// Total sums up the kinds.
func (r Role) Total() (total Traffic) {
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		traffic := r.Kinds[name]
		total.Sent, total.SentBytes = total.Sent+traffic.Sent, total.SentBytes+traffic.SentBytes
		total.Received, total.ReceivedBytes = total.Received+traffic.Received, total.ReceivedBytes+traffic.ReceivedBytes
	}
	return total
}

// Failures is what came of killing both primaries at once, and of all carriers returning at once. All are seconds; one that
// is missing wasn't reached before the run was cut off.
type Failures struct {
	Claims     *float64 `json:"until_claims,omitempty"`  // until a claim was granted again
	Reads      *float64 `json:"until_reads,omitempty"`   // until a postmaster gave the desired state again
	Applies    *float64 `json:"until_applies,omitempty"` // until a change was acknowledged again
	Ready      *float64 `json:"until_ready,omitempty"`   // from the carriers' return until each may be sent callers
	Complete   *float64 `json:"until_whole,omitempty"`   // from the carriers' return until each sees all others
	Bytes      float64  `json:"bytes_until_whole"`       // of each carrier, from its return to Whole or the cutoff
	CutoffSecs float64  `json:"cutoff_seconds"`
}

// Run is one run of one size.
type Run struct {
	Size         Size            `json:"size"`
	Number       int             `json:"run"`
	Seconds      float64         `json:"seconds"` // the window's length
	LoadAverage  float64         `json:"load"`    // the machine's load average before the run, others' work
	ConfigBytes  int             `json:"desired_bytes"`
	Breakers     int             `json:"guards_records"`
	JoinSeconds  float64         `json:"joined_seconds"` // from the first start until each carrier sees all others
	Roles        map[string]Role `json:"roles"`
	TakeUp       []float64       `json:"take_up_seconds"` // of each change, until the slowest carrier had adopted it
	Acknowledged []float64       `json:"acknowledged_seconds"`
	Claims       Claims          `json:"claims"`
	Failures     *Failures       `json:"failures,omitempty"`
}

// Claims tells how the claims of the window went.
type Claims struct {
	Granted int     `json:"granted"`
	Other   int     `json:"other"`
	P50     float64 `json:"p50_seconds"`
	P99     float64 `json:"p99_seconds"`
}

// Point is what is recorded of one size.
type Point struct {
	Dimension string        `json:"dimension"`
	Value     int           `json:"value"`
	Window    time.Duration `json:"window"`
	Runs      []Run         `json:"runs"`
}
