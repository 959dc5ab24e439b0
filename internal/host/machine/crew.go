package machine

import "sync"

// mostIdle bounds the goroutines that are kept for tasks to come.
const mostIdle = 32

// crew runs tasks in goroutines that did others before: a fresh one grows its stack step by step, and copies it each time, which
// costs more than most tasks of a request.
// Invariant: a hand is in idle exactly while it waits for a task; the one that waited least is taken first.
type crew struct {
	lock sync.Mutex
	idle []*hand
}

type hand struct{ tasks chan func() }

func (crew *crew) start(task func()) {
	crew.lock.Lock()
	last := len(crew.idle) - 1
	if last < 0 {
		crew.lock.Unlock()
		go crew.work(task)
		return
	}
	taken := crew.idle[last]
	crew.idle = crew.idle[:last]
	crew.lock.Unlock()
	taken.tasks <- task
}

// work does a first task, and others while there's room for idle hands.
func (crew *crew) work(task func()) {
	own := &hand{tasks: make(chan func(), 1)}
	for {
		task()
		crew.lock.Lock()
		if len(crew.idle) >= mostIdle {
			crew.lock.Unlock()
			return
		}
		crew.idle = append(crew.idle, own)
		crew.lock.Unlock()
		task = <-own.tasks
	}
}
