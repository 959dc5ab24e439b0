package machine

import (
	"sync"
	"sync/atomic"
	"testing"
)

// TestWorkerPoolRunsEveryTaskOnce: every task runs once, also those that wait for one another, and no more hands are kept than may idle.
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
		t.Errorf("%d hands idle", len(pool.idle))
	}
}
