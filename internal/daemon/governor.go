package daemon

import (
	"runtime"
	"syscall"

	"snowflow/internal/monotonic"
)

const (
	governInterval = 100 * monotonic.Millisecond
	// busy is the share of the processors in use from which more are taken at once.
	highUsage = 0.6
	// calm is the share under which half of them would do, and lowUsagePeriods how many spans in a row it takes to believe it.
	lowUsage        = 0.25
	lowUsagePeriods = 50
)

// governor decides on how many processors a daemon runs. At ordinary load nearly all of a carrier's work is short, and
// the runtime wakes idle threads for it that find nothing left to do; so it starts with one processor, takes more as
// soon as those in use are busy, and gives them back slowly.
// Invariant: 1 <= present <= most.
type governor struct {
	limit, current int
	lowPeriods     int
}

// next gives the processors for the next span, from the share of the present ones that the last one used.
func (g *governor) next(share float64) int {
	g.lowPeriods++
	if share >= lowUsage {
		g.lowPeriods = 0
	}
	if share > highUsage {
		g.current = min(g.limit, 2*g.current)
	}
	if g.lowPeriods >= lowUsagePeriods {
		g.current, g.lowPeriods = max(1, g.current/2), 0
	}
	return g.current
}

// govern never returns.
func (d *Daemon) adjustProcessors() {
	limit := runtime.GOMAXPROCS(0)
	if number := d.Settings.Int("processors"); number > 0 {
		limit = min(limit, number)
	}
	governor := &governor{limit: limit, current: 1}
	runtime.GOMAXPROCS(governor.current)
	used, at := processorTime(), d.Host.Now()
	for {
		d.Host.Sleep(governInterval)
		previousUsed, previousTime := used, at
		used, at = processorTime(), d.Host.Now()
		current := governor.current
		if next := governor.next(float64(used-previousUsed) / float64(max(1, at-previousTime)) / float64(current)); next != current {
			runtime.GOMAXPROCS(next)
		}
	}
}

// processorTime is what this process has used so far.
func processorTime() monotonic.Micros {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return monotonic.Micros((usage.Utime.Nano() + usage.Stime.Nano()) / 1000)
}
