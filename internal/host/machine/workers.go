package machine

import "sync"

// maxIdleWorkers is how many idle goroutines are kept at most for later tasks.
const maxIdleWorkers = 32

// workerPool runs tasks in goroutines that it reuses. A new goroutine grows its stack step by step and copies it each time, which
// costs more than most tasks of a request.
//
// Invariant: a worker is in idle exactly while it waits for a task.
type workerPool struct {
	lock sync.Mutex // guards idle
	idle []*worker  // a stack: the worker that became idle last is taken first
}

// worker is a goroutine that waits for its next task.
type worker struct{ tasks chan func() }

// start runs a task in an idle worker, or in a new one if there is none.
func (p *workerPool) start(task func()) {
	idle := p.takeIdle()
	if idle == nil {
		go p.run(task)
		return
	}
	idle.tasks <- task
}

// takeIdle returns an idle worker, or nil.
func (p *workerPool) takeIdle() *worker {
	p.lock.Lock()
	defer p.lock.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	idle := p.idle[last]
	p.idle = p.idle[:last]
	return idle
}

// putIdle adds a worker to the idle ones. It returns false if there are maxIdleWorkers already.
func (p *workerPool) putIdle(idle *worker) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if len(p.idle) >= maxIdleWorkers {
		return false
	}
	p.idle = append(p.idle, idle)
	return true
}

// run is a worker's goroutine. It runs a first task and then those that start passes to it, until the pool has enough idle workers.
func (p *workerPool) run(task func()) {
	self := &worker{tasks: make(chan func(), 1)}
	for {
		task()
		if !p.putIdle(self) {
			return
		}
		task = <-self.tasks
	}
}
