// Package clockwatch detects jumps of a process's monotonic clock by comparing it with the durations of the process's own sleeps.
//
// Leases and timeouts are measured on that clock. If it jumps ahead, or if the process stalls, which looks the same from inside,
// a duration measured across the jump says nothing about what other processes did meanwhile. A caller that measures a duration
// therefore checks Steady before acting on it. If the clock steps back, the process stops, because it would hold its leases for
// longer than other processes grant them.
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
	// jumpThreshold is the time between two checks from which on the clock counts as having jumped ahead.
	jumpThreshold = 700 * monotonic.Millisecond
)

// Watcher watches the clock of one process. It is safe for concurrent use, except where a method says otherwise.
//
// Invariant: lastReading is the clock's reading at the last check. It advances past a jump only after all OnJump callbacks have
// returned.
type Watcher struct {
	host          host.Host
	lastReading   atomic.Int64
	periodicTasks []periodicTask // must not change once Run is called
	trustClock    bool           // must not change once Run is called

	lock   sync.Mutex // guards onJump
	onJump []func(ahead monotonic.Micros)
}

// periodicTask is a task that Run runs at every n-th check.
type periodicTask struct {
	every int // the number of checks from one run to the next
	run   func()
}

// New returns a watcher. It does nothing until Run is called.
func New(h host.Host) *Watcher {
	watcher := &Watcher{host: h}
	watcher.lastReading.Store(int64(h.Now()))
	return watcher
}

// TrustClock makes the watcher ignore jumps ahead and steps back. Only simulations use it, to prove that the invariant checkers
// detect the consequences; no program does. It must be called before Run.
func (w *Watcher) TrustClock(trust bool) { w.trustClock = trust }

// OnJump adds a callback. It is called after each jump ahead, with the time by which the clock advanced more than the watcher
// slept. Steady reports false until it has returned.
func (w *Watcher) OnJump(callback func(ahead monotonic.Micros)) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.onJump = append(w.onJump, callback)
}

// Every adds a task that Run runs periodically, at the multiple of the check interval (at least one) that is nearest to interval.
// This saves the wake-ups of a separate task. The task must not block. Every must be called before Run.
func (w *Watcher) Every(interval monotonic.Micros, task func()) {
	checks := max(1, int((interval+checkInterval/2)/checkInterval))
	w.periodicTasks = append(w.periodicTasks, periodicTask{every: checks, run: task})
}

// WentBack reports whether the clock reads less than at the last check.
func (w *Watcher) WentBack() bool {
	return !w.trustClock && w.host.Now() < monotonic.Micros(w.lastReading.Load())
}

// Steady reports whether the clock has neither stepped back nor jumped ahead since the last check.
func (w *Watcher) Steady() bool {
	ahead := w.host.Now() - monotonic.Micros(w.lastReading.Load())
	return w.trustClock || ahead >= 0 && ahead < jumpThreshold
}

// Run checks the clock and runs the periodic tasks. It returns only after the clock has stepped back, for which it stops the
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
		previous = now // not read again after the tasks, so that the next check includes their duration
		for _, task := range w.periodicTasks {
			if checks%task.every == 0 {
				task.run()
			}
		}
	}
}

// check handles the time that elapsed between two checks. It publishes a jump and calls the callbacks. If the clock stepped back,
// it stops the process and returns false.
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
