// Package clockwatch detects jumps of a process's monotonic clock by comparing it with the process's own sleeps.
//
// Leases and timeouts are measured on that clock. If it jumps ahead, or if the process is stalled, which looks alike from
// inside, then a duration measured across the jump says nothing about what other processes did meanwhile. A caller that
// measures a duration therefore checks Steady before acting on it. If the clock steps back, the process stops: its leases would last longer than others grant them.
package clockwatch

import (
	"sync"

	"go.uber.org/atomic"

	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
)

const (
	// checkInterval is how often the clock is checked.
	checkInterval = 100 * monotonic.Millisecond
	// jumpThreshold is how much may pass between two checks before it counts as a jump.
	jumpThreshold = 700 * monotonic.Millisecond
)

// Watcher watches the clock of one process. It is safe for concurrent use, except where a method says otherwise.
//
// Invariant: lastReading is the clock at the last check; it moves past a jump only after all callbacks of OnJump have returned.
type Watcher struct {
	host          host.Host
	lastReading   atomic.Int64
	periodicTasks []periodicTask // not changed once Run is called
	trustClock    bool           // not changed once Run is called

	lock   sync.Mutex // guards onJump
	onJump []func(ahead monotonic.Micros)
}

// periodicTask is run after every so many checks.
type periodicTask struct {
	every int
	run   func()
}

// New returns a watcher. It does nothing until Run is called.
func New(h host.Host) *Watcher {
	watcher := &Watcher{host: h}
	watcher.lastReading.Store(int64(h.Now()))
	return watcher
}

// TrustClock makes the watcher ignore jumps. Simulations use it to prove that the invariant checkers notice what follows; no
// program does. It must be called before Run.
func (w *Watcher) TrustClock(trust bool) { w.trustClock = trust }

// OnJump adds a callback that gets the time by which the clock went further ahead than expected. It returns before Steady
// reports true again.
func (w *Watcher) OnJump(callback func(ahead monotonic.Micros)) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.onJump = append(w.onJump, callback)
}

// Every adds a task that Run runs at the multiple of the check interval nearest to interval, at least one. It saves a wake-up
// compared to a task of its own. The task must not block. Every must be called before Run.
func (w *Watcher) Every(interval monotonic.Micros, task func()) {
	checks := max(1, int((interval+checkInterval/2)/checkInterval))
	w.periodicTasks = append(w.periodicTasks, periodicTask{every: checks, run: task})
}

// WentBack reports whether the clock shows less than at the last check.
func (w *Watcher) WentBack() bool {
	return !w.trustClock && w.host.Now() < monotonic.Micros(w.lastReading.Load())
}

// Steady reports whether the clock neither went back nor jumped since the last check.
func (w *Watcher) Steady() bool {
	ahead := w.host.Now() - monotonic.Micros(w.lastReading.Load())
	return w.trustClock || ahead >= 0 && ahead < jumpThreshold
}

// Run checks the clock and runs the periodic tasks. It returns only after the clock stepped back, when it has stopped the
// process.
func (w *Watcher) Run() {
	previous := w.host.Now()
	for checks := 1; ; checks++ {
		w.lastReading.Store(int64(previous))
		w.host.Sleep(checkInterval)
		now := w.host.Now()
		if !w.check(now - previous) {
			return
		}
		previous = now // not read anew after the tasks, so that the time they take is checked too
		for _, task := range w.periodicTasks {
			if checks%task.every == 0 {
				task.run()
			}
		}
	}
}

// check classifies the time that passed between two checks, and reports a jump. It reports false if the process has to stop.
func (w *Watcher) check(elapsed monotonic.Micros) bool {
	if w.trustClock || elapsed >= checkInterval/2 && elapsed < jumpThreshold {
		return true
	}
	ahead := elapsed - checkInterval
	if elapsed < checkInterval/2 {
		w.host.Report(eventlog.ClockSteppedBack, eventlog.ClockJump(int64(ahead)))
		w.host.Stop("the clock stepped back")
		return false
	}
	w.host.Report(eventlog.ProcessStalled, eventlog.ClockJump(int64(ahead)))
	w.lock.Lock()
	callbacks := w.onJump
	w.lock.Unlock()
	for _, callback := range callbacks {
		callback(ahead)
	}
	return true
}
