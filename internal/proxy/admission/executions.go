package admission

import (
	"sync"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
)

// executions tracks the idempotency keys whose requests are running on this host's backends, so that a repeated request can wait
// for the response.
type executions struct {
	host host.Host
	mu   sync.Mutex // guards waiters
	// waiters has an entry for each key from its claim until its response is recorded. The entry holds the signals of the callers
	// that wait for the response.
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

// await waits, at most for the timeout, until no request with a key is running, and reports whether one still is.
func (e *executions) await(scope string, timeout monotonic.Micros) (running bool) {
	e.mu.Lock()
	waiters, running := e.waiters[scope]
	if !running {
		e.mu.Unlock()
		return false
	}
	signal := e.host.NewSignal()
	e.waiters[scope] = append(waiters, signal)
	e.mu.Unlock()
	return !signal.Wait(timeout)
}
