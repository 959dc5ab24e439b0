package machine

import "sync"

// maxIdleWorkers bounds the idle goroutines that are reused for later tasks.
const maxIdleWorkers = 32

// workerPool runs tasks in goroutines that ran others before. A new goroutine grows its stack step by step and copies it each
// time, which costs more than most tasks of a request.
//
// Invariant: a worker is in idle exactly while it waits for a task.
type workerPool struct {
	lock sync.Mutex // guards idle
	idle []*worker  // the one that has waited least is last, and is taken first
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

// putIdle adds a worker to the idle ones. It reports false if there are enough.
func (p *workerPool) putIdle(idle *worker) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if len(p.idle) >= maxIdleWorkers {
		return false
	}
	p.idle = append(p.idle, idle)
	return true
}

// run runs a first task, and then further ones until the pool has enough idle workers.
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
