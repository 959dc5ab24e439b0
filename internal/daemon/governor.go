package daemon

import (
	"runtime"
	"syscall"

	"snowflow/internal/monotonic"
)

const (
	governEvery = 100 * monotonic.Millisecond
	// busy is the share of the processors in use from which more are taken at once.
	busy = 0.6
	// calm is the share under which half of them would do, and calmSpans how many spans in a row it takes to believe it.
	calm      = 0.25
	calmSpans = 50
)

// governor decides on how many processors a daemon runs. At ordinary load nearly all of a carrier's work is short, and
// the runtime wakes idle threads for it that find nothing left to do; so it starts with one processor, takes more as
// soon as those in use are busy, and gives them back slowly.
// Invariant: 1 <= present <= most.
type governor struct {
	most, present int
	calmFor       int
}

// next gives the processors for the next span, from the share of the present ones that the last one used.
func (governor *governor) next(share float64) int {
	governor.calmFor++
	if share >= calm {
		governor.calmFor = 0
	}
	if share > busy {
		governor.present = min(governor.most, 2*governor.present)
	}
	if governor.calmFor >= calmSpans {
		governor.present, governor.calmFor = max(1, governor.present/2), 0
	}
	return governor.present
}

// govern never returns.
func (house *House) govern() {
	most := runtime.GOMAXPROCS(0)
	if told := house.Values.Number("processors"); told > 0 {
		most = min(most, told)
	}
	governor := &governor{most: most, present: 1}
	runtime.GOMAXPROCS(governor.present)
	used, at := processorTime(), house.Place.Now()
	for {
		house.Place.Sleep(governEvery)
		before, began := used, at
		used, at = processorTime(), house.Place.Now()
		present := governor.present
		if next := governor.next(float64(used-before) / float64(max(1, at-began)) / float64(present)); next != present {
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
