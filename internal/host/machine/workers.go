package machine

import "sync"

// maxIdleWorkers bounds the goroutines that are kept for tasks to come.
const maxIdleWorkers = 32

// crew runs tasks in goroutines that did others before: a fresh one grows its stack step by step, and copies it each time, which
// costs more than most tasks of a request.
// Invariant: a hand is in idle exactly while it waits for a task; the one that waited least is taken first.
type workerPool struct {
	lock sync.Mutex
	idle []*worker
}

type worker struct{ tasks chan func() }

func (p *workerPool) start(task func()) {
	p.lock.Lock()
	last := len(p.idle) - 1
	if last < 0 {
		p.lock.Unlock()
		go p.run(task)
		return
	}
	idle := p.idle[last]
	p.idle = p.idle[:last]
	p.lock.Unlock()
	idle.tasks <- task
}

// work does a first task, and others while there's room for idle hands.
func (p *workerPool) run(task func()) {
	self := &worker{tasks: make(chan func(), 1)}
	for {
		task()
		p.lock.Lock()
		if len(p.idle) >= maxIdleWorkers {
			p.lock.Unlock()
			return
		}
		p.idle = append(p.idle, self)
		p.lock.Unlock()
		task = <-self.tasks
	}
}
