// Package shutdown ends a proxy's requests during a drain: InFlight waits for the requests in flight, and Group abandons the requests
// that are still running at the end of the grace period. An abandoned request is answered immediately, and the response says whether the
// request may have run.
package shutdown

import (
	"sync"

	"go.uber.org/atomic"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
)

// Group runs tasks that can be abandoned together. It is safe for concurrent use.
type Group struct {
	host host.Host

	mu      sync.Mutex         // guards the fields below
	running map[*Task]struct{} // the tasks whose Run has not returned
	aborted bool               // no more tasks are accepted
}

// New returns an empty group.
func New(h host.Host) *Group { return &Group{host: h, running: map[*Task]struct{}{}} }

// The states of a task. A task goes from notStarted to either started or abandoned and stays in that state, so a task that was
// abandoned before its start never has an effect.
const (
	notStarted uint32 = iota
	started
	abandoned
)

// Task is one unit of work that a Group runs.
type Task struct {
	state  atomic.Uint32
	done   atomic.Bool
	wakeup host.Signal // fired when the task is done or the group is aborted
}

// Start must be called immediately before the task's first irreversible effect, such as sending the first byte to a backend. If it
// returns false, the task was abandoned and must not have that effect.
func (t *Task) Start() bool {
	return t.state.CompareAndSwap(notStarted, started) || t.state.Load() == started
}

// Outcome is the result of Group.Run.
type Outcome int

const (
	// Done means that the work returned.
	Done Outcome = iota
	// NotStarted means that the task was abandoned before its start and never has an effect.
	NotStarted
	// Started means that the task was abandoned after its start and may have an effect, now or later.
	Started
)

// Run runs the work in its own goroutine and waits until it is done or abandoned. The caller may read what the work wrote only if the
// outcome is Done.
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
	for !task.wakeup.Wait(monotonic.Forever) { // repeat in case Wait times out
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

// add adds a task, and returns false if the group is aborted.
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

// Abort abandons all running tasks, and makes later calls of Run return NotStarted.
func (g *Group) Abort() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.aborted = true
	for task := range g.running {
		task.state.CompareAndSwap(notStarted, abandoned)
		task.wakeup.Fire()
	}
}
