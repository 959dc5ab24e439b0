// Package shutdown ends a proxy's requests during a drain: InFlight waits for the requests in flight, and Group abandons those that
// are still running at the end of the grace period. Each of these is answered at once, and the answer says whether the request may
// have run.
package shutdown

import (
	"sync"

	"go.uber.org/atomic"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
)

// Group is the tasks that can be abandoned together. It is safe for concurrent use.
type Group struct {
	host host.Host

	mu      sync.Mutex         // guards the fields below
	running map[*Task]struct{} // each task from the start of its Run to the end
	aborted bool               // no task is added any more
}

// New returns an empty group.
func New(h host.Host) *Group { return &Group{host: h, running: map[*Task]struct{}{}} }

// The states of a task. From notStarted it becomes either started or abandoned, never both: a task that was abandoned before its
// start has had no effect and never will.
const (
	notStarted uint32 = iota
	started
	abandoned
)

// Task is one piece of work.
type Task struct {
	state  atomic.Uint32
	done   atomic.Bool
	wakeup host.Signal // fired when the task is done, or the group aborted
}

// Start must be called right before the first irrevocable effect, such as the first byte that is sent to a backend. False means that
// the task was abandoned and must not have that effect.
func (t *Task) Start() bool {
	return t.state.CompareAndSwap(notStarted, started) || t.state.Load() == started
}

// Outcome is how a task ended.
type Outcome int

const (
	// Done means that the work returned.
	Done Outcome = iota
	// NotStarted means that the task was abandoned and will have no effect.
	NotStarted
	// Started means that the task was abandoned and may have an effect, now or later.
	Started
)

// Run does the work in a goroutine of its own and waits until it is done or abandoned. What the work wrote may be read only if
// the outcome is Done.
func (g *Group) Run(work func(task *Task)) Outcome {
	task := &Task{wakeup: g.host.NewSignal()}
	if !g.add(task) {
		return NotStarted
	}
	g.host.Go(func() {
		work(task)
		task.done.Store(true)
		task.wakeup.Fire()
	})
	for !task.wakeup.Wait(monotonic.Forever) { // even Forever is a timeout
	}
	g.remove(task)
	if task.done.Load() {
		return Done
	}
	if task.state.Load() == abandoned {
		return NotStarted
	}
	return Started
}

// add reports whether the group still takes tasks.
func (g *Group) add(task *Task) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.aborted {
		return false
	}
	g.running[task] = struct{}{}
	return true
}

func (g *Group) remove(task *Task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, task)
}

// Abort abandons every running task, and makes every later Run return NotStarted.
func (g *Group) Abort() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.aborted = true
	for task := range g.running {
		task.state.CompareAndSwap(notStarted, abandoned)
		task.wakeup.Fire()
	}
}
