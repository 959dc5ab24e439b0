// Package clockwatch watches a process's clock against its own sleeps. A decision clock ought never to step; where one does, what
// was measured on it may end too early or too late, and must not be acted on.
package clockwatch

import (
	"sync"

	"go.uber.org/atomic"

	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
)

const (
	// beat is how often the clock is looked at.
	beat = 100 * monotonic.Millisecond
	// gap is what may lie between two looks before the clock counts as leapt, or this process as having stood still: the two
	// can't be told apart from inside.
	gap = 700 * monotonic.Millisecond
)

// Vigil is one process's watch.
// Invariants: pulse is the clock's reading at the last look; whoever has asked to hear of leaps has heard of each before pulse
// moves past it.
type Vigil struct {
	place host.Host
	pulse atomic.Int64
	lock  sync.Mutex
	leapt []func(span monotonic.Micros)
	// rounds are the tasks done beside the looks. They don't change once Watch runs.
	rounds []round
	// trusting takes whatever the clock shows; only rehearsals of the checkers set it.
	trusting bool
}

// Trusting takes whatever the clock shows, to show that a checker sees what comes of it. No program sets it.
func (vigil *Vigil) Trusting(broken bool) { vigil.trusting = broken }

// round is a task that is done after each so many looks.
type round struct {
	every int
	task  func()
}

// New makes a watch; Watch must be run.
func New(place host.Host) *Vigil {
	vigil := &Vigil{place: place}
	vigil.pulse.Store(int64(place.Now()))
	return vigil
}

// OnLeap has a function called with what the clock went ahead by more than it should have. It's called before Steady is
// true again.
func (vigil *Vigil) OnLeap(tell func(span monotonic.Micros)) {
	vigil.lock.Lock()
	defer vigil.lock.Unlock()
	vigil.leapt = append(vigil.leapt, tell)
}

// Every has a task done after each so many looks as come nearest to a span, one at least. It's called before Watch, and the task
// must not wait: it comes in the wake-up that the look needs anyway.
func (vigil *Vigil) Every(span monotonic.Micros, task func()) {
	vigil.rounds = append(vigil.rounds, round{every: max(1, int((span+beat/2)/beat)), task: task})
}

// Behind tells whether the clock shows less than it did before.
func (vigil *Vigil) Behind() bool {
	return !vigil.trusting && vigil.place.Now() < monotonic.Micros(vigil.pulse.Load())
}

// Steady tells whether the clock can be trusted to have gone on as time did.
func (vigil *Vigil) Steady() bool {
	ahead := vigil.place.Now() - monotonic.Micros(vigil.pulse.Load())
	return vigil.trusting || ahead >= 0 && ahead < gap
}

// Watch looks at the clock for ever. A clock that stepped back ends the process: what was measured on it would last too
// long, and a new life takes nothing of it over.
func (vigil *Vigil) Watch() {
	before := vigil.place.Now()
	for look := 1; ; look++ {
		vigil.pulse.Store(int64(before))
		vigil.place.Sleep(beat)
		now := vigil.place.Now()
		if !vigil.judge(now - before) {
			return
		}
		before = now // what the tasks take is looked at too: no moment goes unseen
		for _, round := range vigil.rounds {
			if look%round.every == 0 {
				round.task()
			}
		}
	}
}

// judge looks at what passed between two looks. It tells whether the process goes on.
func (vigil *Vigil) judge(passed monotonic.Micros) bool {
	if vigil.trusting || passed >= beat/2 && passed < gap {
		return true
	}
	if passed < beat/2 {
		vigil.place.Report(eventlog.ClockStepped, map[string]any{"micros": int64(passed - beat)})
		vigil.place.Stop("the clock stepped back")
		return false
	}
	vigil.place.Report(eventlog.Frozen, map[string]any{"micros": int64(passed - beat)})
	vigil.lock.Lock()
	leapt := vigil.leapt
	vigil.lock.Unlock()
	for _, tell := range leapt {
		tell(passed - beat)
	}
	return true
}
