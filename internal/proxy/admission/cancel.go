package admission

import (
	"sync"

	"snowflow/internal/transport/wire"
)

// cancels are the passes under way that end when their callers leave. Run-once passes are not among them: their answers are kept for
// whoever asks again.
type cancellations struct {
	mu     sync.Mutex
	active map[cancelKey]*cancellation
}

// cancelKey names a pass by its sender and its own id.
type cancelKey struct{ from, id string }

// cancel is one pass's. A nil one is never cancelled. Invariant: happen is called once at most, and only after left was set.
type cancellation struct {
	mu       sync.Mutex
	happened bool
	callback func()
}

func newCancellations() *cancellations { return &cancellations{active: map[cancelKey]*cancellation{}} }

func (c *cancellations) begin(req *wire.ForwardRequest) *cancellation {
	if req.RunOnce {
		return nil
	}
	created := &cancellation{}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active[cancelKey{req.From, req.Id}] = created
	return created
}

func (c *cancellations) end(req *wire.ForwardRequest) {
	if req.RunOnce {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, cancelKey{req.From, req.Id})
}

// Cancel ends a pass whose caller has left, if it's under way here: it isn't handed over any more, and a backend that is at work on one that may
// run again is let go. It tells whether there was such a pass.
func (c *Controller) Cancel(from, id string) bool {
	c.cancellations.mu.Lock()
	found := c.cancellations.active[cancelKey{from, id}]
	c.cancellations.mu.Unlock()
	if found == nil {
		return false
	}
	found.mu.Lock()
	callback := found.callback
	found.happened, found.callback = true, nil
	found.mu.Unlock()
	if callback != nil {
		callback()
	}
	return true
}

func (c *cancellation) cancelled() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.happened
}

// then has something happen when the caller leaves, at once if it has.
func (c *cancellation) onCancel(callback func()) (stop func()) {
	c.mu.Lock()
	cancelled := c.happened
	if !cancelled {
		c.callback = callback
	}
	c.mu.Unlock()
	if cancelled {
		callback()
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.callback = nil
	}
}
