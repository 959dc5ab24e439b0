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
	checkInterval = 100 * monotonic.Millisecond
	// gap is what may lie between two looks before the clock counts as leapt, or this process as having stood still: the two
	// can't be told apart from inside.
	jumpThreshold = 700 * monotonic.Millisecond
)

// Watcher is one process's watch.
// Invariants: pulse is the clock's reading at the last look; whoever has asked to hear of leaps has heard of each before pulse
// moves past it.
type Watcher struct {
	host        host.Host
	lastReading atomic.Int64
	lock        sync.Mutex
	onJump      []func(duration monotonic.Micros)
	// rounds are the tasks done beside the looks. They don't change once Watch runs.
	periodicTasks []periodicTask
	// trusting takes whatever the clock shows; only rehearsals of the checkers set it.
	trustClock bool
}

// TrustClock takes whatever the clock shows, to show that a checker sees what comes of it. No program sets it.
func (w *Watcher) TrustClock(trust bool) { w.trustClock = trust }

// round is a task that is done after each so many looks.
type periodicTask struct {
	every int
	task  func()
}

// New makes a watch; Watch must be run.
func New(h host.Host) *Watcher {
	watcher := &Watcher{host: h}
	watcher.lastReading.Store(int64(h.Now()))
	return watcher
}

// OnJump has a function called with what the clock went ahead by more than it should have. It's called before Steady is
// true again.
func (w *Watcher) OnJump(notify func(duration monotonic.Micros)) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.onJump = append(w.onJump, notify)
}

// Every has a task done after each so many looks as come nearest to a span, one at least. It's called before Watch, and the task
// must not wait: it comes in the wake-up that the look needs anyway.
func (w *Watcher) Every(interval monotonic.Micros, task func()) {
	w.periodicTasks = append(w.periodicTasks, periodicTask{every: max(1, int((interval+checkInterval/2)/checkInterval)), task: task})
}

// WentBack tells whether the clock shows less than it did before.
func (w *Watcher) WentBack() bool {
	return !w.trustClock && w.host.Now() < monotonic.Micros(w.lastReading.Load())
}

// Steady tells whether the clock can be trusted to have gone on as time did.
func (w *Watcher) Steady() bool {
	ahead := w.host.Now() - monotonic.Micros(w.lastReading.Load())
	return w.trustClock || ahead >= 0 && ahead < jumpThreshold
}

// Run looks at the clock for ever. A clock that stepped back ends the process: what was measured on it would last too
// long, and a new life takes nothing of it over.
func (w *Watcher) Run() {
	previous := w.host.Now()
	for checks := 1; ; checks++ {
		w.lastReading.Store(int64(previous))
		w.host.Sleep(checkInterval)
		now := w.host.Now()
		if !w.check(now - previous) {
			return
		}
		previous = now // what the tasks take is looked at too: no moment goes unseen
		for _, periodic := range w.periodicTasks {
			if checks%periodic.every == 0 {
				periodic.task()
			}
		}
	}
}

// judge looks at what passed between two looks. It tells whether the process goes on.
func (w *Watcher) check(elapsed monotonic.Micros) bool {
	if w.trustClock || elapsed >= checkInterval/2 && elapsed < jumpThreshold {
		return true
	}
	if elapsed < checkInterval/2 {
		w.host.Report(eventlog.ClockSteppedBack, map[string]any{"micros": int64(elapsed - checkInterval)})
		w.host.Stop("the clock stepped back")
		return false
	}
	w.host.Report(eventlog.ProcessStalled, map[string]any{"micros": int64(elapsed - checkInterval)})
	w.lock.Lock()
	callbacks := w.onJump
	w.lock.Unlock()
	for _, notify := range callbacks {
		notify(elapsed - checkInterval)
	}
	return true
}
