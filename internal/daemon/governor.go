package daemon

import (
	"runtime"
	"syscall"
	"time"

	"snowflow/internal/monotonic"
)

const (
	// adjustInterval is how often the number of processors is adjusted.
	adjustInterval = 100 * monotonic.Millisecond
	// highUsage is the share of the processors in use above which their number is doubled.
	highUsage = 0.6
	// lowUsage is the share of the processors in use below which an interval counts as one of low usage.
	lowUsage = 0.25
	// lowUsageIntervals is the number of intervals of low usage in a row after which the number of processors is halved.
	lowUsageIntervals = 50
)

// governor determines how many processors (GOMAXPROCS) a daemon uses. Under ordinary load, most work of a proxy is short, and the
// runtime wakes idle threads for it that find nothing left to do. So a daemon starts with one processor, doubles their number as
// soon as they are busy, and halves it slowly.
//
// Invariant: 1 <= current <= limit.
type governor struct {
	limit, current int
	lowIntervals   int // intervals of low usage in a row
}

// next returns the number of processors for the next interval. share is the share of the current processors that was in use in the
// last interval.
func (g *governor) next(share float64) int {
	g.lowIntervals++
	if share >= lowUsage {
		g.lowIntervals = 0
	}
	if share > highUsage {
		g.current = min(g.limit, 2*g.current)
	}
	if g.lowIntervals >= lowUsageIntervals {
		g.current, g.lowIntervals = max(1, g.current/2), 0
	}
	return g.current
}

// adjustProcessors sets the number of processors at every interval. It never returns.
func (d *Daemon) adjustProcessors() {
	limit := runtime.GOMAXPROCS(0)
	if configured := d.Settings.Int("processors"); configured > 0 {
		limit = min(limit, configured)
	}
	governor := &governor{limit: limit, current: 1}
	runtime.GOMAXPROCS(governor.current)
	used, measuredAt := processorTime(), d.Host.Now()
	for {
		d.Host.Sleep(adjustInterval)
		previousUsed, previousAt := used, measuredAt
		used, measuredAt = processorTime(), d.Host.Now()
		current := governor.current
		share := float64(used-previousUsed) / float64(max(1, measuredAt-previousAt)) / float64(current)
		if next := governor.next(share); next != current {
			runtime.GOMAXPROCS(next)
		}
	}
}

// processorTime returns the processor time that this process has used, or zero if the system call fails.
func processorTime() monotonic.Micros {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return monotonic.FromDuration(time.Duration(usage.Utime.Nano() + usage.Stime.Nano()))
}
