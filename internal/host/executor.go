package host

import "snowflow/internal/monotonic"

// Executor runs commands one after another in one task, which owns the state that they use.
type Executor struct {
	host  Host
	queue *Queue[func()]
}

// NewExecutor starts an executor. It runs as long as the process.
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

// Run runs a command and waits until it has returned. It must not be called by a command of the same executor.
func (e *Executor) Run(command func()) {
	done := e.host.NewSignal()
	e.queue.Put(func() { command(); done.Fire() })
	for !done.Wait(monotonic.Forever) {
	}
}
