package admission

import (
	"sync"

	"snowflow/internal/transport/wire"
)

// cancellations holds the requests in flight that are cancelled if their callers disconnect. Run-once requests are not among
// them: they run to completion, so that a repeated request finds their response.
type cancellations struct {
	mu     sync.Mutex // guards active
	active map[cancelKey]*cancellation
}

// cancelKey identifies a request by its sender and the sender's id for it.
type cancelKey struct{ from, id string }

// cancellation tells whether one request was cancelled. A nil cancellation never is.
type cancellation struct {
	mu        sync.Mutex // guards the fields below; it is not held while callback runs
	triggered bool
	callback  func() // called at most once, and only after triggered was set
}

func newCancellations() *cancellations { return &cancellations{active: map[cancelKey]*cancellation{}} }

// begin adds a request. It returns nil for a run-once request.
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

func (c *cancellations) find(from, id string) *cancellation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active[cancelKey{from, id}]
}

// Cancel cancels a request whose caller has disconnected: from is the name of the proxy that sent it here, and id that proxy's id
// for it. Cancel reports whether the request was in flight here. A request that has not been sent to its backend yet never will be.
// If it has been sent and may be repeated, the connection to the backend is closed; otherwise it runs to completion.
func (c *Controller) Cancel(from, id string) bool {
	found := c.cancellations.find(from, id)
	if found == nil {
		return false
	}
	found.cancel()
	return true
}

func (c *cancellation) cancel() {
	c.mu.Lock()
	callback := c.callback
	c.triggered, c.callback = true, nil
	c.mu.Unlock()
	if callback != nil {
		callback()
	}
}

func (c *cancellation) cancelled() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.triggered
}

// onCancel registers a function that is called when the request is cancelled, or at once if it already is. stop unregisters the
// function.
func (c *cancellation) onCancel(callback func()) (stop func()) {
	c.mu.Lock()
	cancelled := c.triggered
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
