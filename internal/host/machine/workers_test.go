package machine

import (
	"sync"
	"sync/atomic"
	"testing"
)

// TestWorkerPoolRunsEveryTaskOnce checks that every task runs once, even if tasks wait for each other, and that no more than
// maxIdleWorkers idle workers are kept.
func TestWorkerPoolRunsEveryTaskOnce(t *testing.T) {
	var pool workerPool
	var count atomic.Int64
	var pending sync.WaitGroup
	for range 20 {
		for range 3 * maxIdleWorkers {
			pending.Add(1)
			ready := make(chan struct{})
			pool.start(func() { <-ready; count.Add(1); pending.Done() })
			pool.start(func() { close(ready) })
		}
		pending.Wait()
	}
	if got := count.Load(); got != 20*3*maxIdleWorkers {
		t.Errorf("%d tasks ran", got)
	}
	pool.lock.Lock()
	defer pool.lock.Unlock()
	if len(pool.idle) > maxIdleWorkers {
		t.Errorf("%d workers idle", len(pool.idle))
	}
}
