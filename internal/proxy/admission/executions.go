package admission

import (
	"sync"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
)

// work knows which keys are being run here now, so that a repeat is told so, or waits for the answer.
// Invariant: open holds a scope exactly while a claimed request of it is between its claim and its recorded answer.
type executions struct {
	host    host.Host
	mu      sync.Mutex
	waiters map[string][]host.Signal
}

func newExecutions(h host.Host) *executions {
	return &executions{host: h, waiters: map[string][]host.Signal{}}
}

func (e *executions) begin(scope string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiters[scope] = []host.Signal{}
}

func (e *executions) end(scope string) {
	e.mu.Lock()
	waiters := e.waiters[scope]
	delete(e.waiters, scope)
	e.mu.Unlock()
	for _, waiter := range waiters {
		waiter.Fire()
	}
}

// await waits, at most patience, until a scope isn't at work here. It tells whether it still is.
func (e *executions) await(scope string, timeout monotonic.Micros) bool {
	e.mu.Lock()
	waiters, busy := e.waiters[scope]
	if !busy {
		e.mu.Unlock()
		return false
	}
	signal := e.host.NewSignal()
	e.waiters[scope] = append(waiters, signal)
	e.mu.Unlock()
	return !signal.Wait(timeout)
}

// recorded is the answer that a scope's run left here, waited for while it's at work.
func (c *Controller) recordedResponse(scope string, digest []byte, timeout monotonic.Micros) (response *request.Response, busy bool) {
	busy = c.executions.await(scope, timeout)
	return c.options.Replay.Lookup(scope, digest), busy
}
