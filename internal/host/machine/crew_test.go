package machine

import (
	"sync"
	"sync/atomic"
	"testing"
)

// TestCrew: every task runs once, also those that wait for one another, and no more hands are kept than may idle.
func TestCrew(t *testing.T) {
	var crew crew
	var count atomic.Int64
	var all sync.WaitGroup
	for range 20 {
		for range 3 * mostIdle {
			all.Add(1)
			met := make(chan struct{})
			crew.start(func() { <-met; count.Add(1); all.Done() })
			crew.start(func() { close(met) })
		}
		all.Wait()
	}
	if got := count.Load(); got != 20*3*mostIdle {
		t.Errorf("%d tasks ran", got)
	}
	crew.lock.Lock()
	defer crew.lock.Unlock()
	if len(crew.idle) > mostIdle {
		t.Errorf("%d hands idle", len(crew.idle))
	}
}
