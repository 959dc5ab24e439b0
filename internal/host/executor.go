package host

import "snowflow/internal/monotonic"

// Executor runs commands one at a time in a single task, which owns the state that the commands use.
type Executor struct {
	host  Host
	queue *Queue[func()]
}

// NewExecutor starts an executor, which runs until the process ends.
func NewExecutor(host Host) *Executor {
	executor := &Executor{host: host, queue: NewQueue[func()](host)}
	host.Go(executor.serve)
	return executor
}

func (e *Executor) serve() {
	for {
		for _, command := range e.queue.TakeAll(monotonic.Forever) {
			command()
		}
	}
}

// Run runs a command and waits until it has returned. A command must not call Run of its own executor, which would block forever.
func (e *Executor) Run(command func()) {
	done := e.host.NewSignal()
	e.queue.Put(func() { command(); done.Fire() })
	for !done.Wait(monotonic.Forever) {
	}
}
