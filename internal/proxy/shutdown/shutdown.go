// Package shutdown lets work be given up at one moment: when a planned stop's grace is over, whatever is still under way gets
// its answer at once, and a true one.
package shutdown

import (
	"sync"

	"go.uber.org/atomic"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
)

// Group keeps the errands under way.
// Invariant: an errand is in open from its begin until it's done or given up; once over is set, none is begun.
type Group struct {
	host    host.Host
	mu      sync.Mutex
	running map[*Task]struct{}
	stopped bool
}

// New makes a post.
func New(h host.Host) *Group { return &Group{host: h, running: map[*Task]struct{}{}} }

// The states of an errand. From fresh it becomes either started or given up, never both: what was given up fresh has not been
// done and won't be.
const (
	notStarted uint32 = iota
	started
	abandoned
)

// Task is one piece of work.
type Task struct {
	state  atomic.Uint32
	done   atomic.Bool
	wakeup host.Signal
}

// Start is asked right before what can't be taken back. False means that the errand was given up, and must not be done.
func (t *Task) Start() bool {
	return t.state.CompareAndSwap(notStarted, started) || t.state.Load() == started
}

// Outcome is how an errand ended.
type Outcome int

// The outcomes. Done: its work returned. Unstarted: given up, and it won't be done. Started: given up; it may be done.
const (
	Done Outcome = iota
	NotStarted
	Started
)

// Run does work in a task of its own and waits until it's done or given up. What work leaves behind may only be looked at
// when it's done.
func (g *Group) Run(work func(task *Task)) Outcome {
	task := &Task{wakeup: g.host.NewSignal()}
	g.mu.Lock()
	if g.stopped {
		g.mu.Unlock()
		return NotStarted
	}
	g.running[task] = struct{}{}
	g.mu.Unlock()
	g.host.Go(func() {
		work(task)
		task.done.Store(true)
		task.wakeup.Fire()
	})
	for !task.wakeup.Wait(monotonic.Forever) {
	}
	g.mu.Lock()
	delete(g.running, task)
	g.mu.Unlock()
	if task.done.Load() {
		return Done
	}
	if task.state.Load() == abandoned {
		return NotStarted
	}
	return Started
}

// Abort ends every errand under way, and takes no more.
func (g *Group) Abort() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	for task := range g.running {
		task.state.CompareAndSwap(notStarted, abandoned)
		task.wakeup.Fire()
	}
}
