package admission

import (
	"testing"

	"snowflow/internal/transport/wire"
)

// TestCancel checks that the function registered for a request's cancellation is called once, whether it was registered before or
// after the caller disconnected.
func TestCancel(t *testing.T) {
	req := &wire.ForwardRequest{From: "caller", Id: "1"}
	newController := func() (*Controller, *cancellation) {
		c := &Controller{cancellations: newCancellations()}
		return c, c.cancellations.begin(req)
	}
	t.Run("registered before the caller leaves", func(t *testing.T) {
		c, cancellation := newController()
		calls := 0
		cancellation.onCancel(func() { calls++ })
		if cancellation.cancelled() || calls != 0 {
			t.Error("cancelled before the caller disconnected")
		}
		for range 2 {
			if !c.Cancel("caller", "1") {
				t.Error("the request was not found")
			}
		}
		if !cancellation.cancelled() || calls != 1 {
			t.Errorf("cancelled: %v, %d calls", cancellation.cancelled(), calls)
		}
	})
	t.Run("registered after the caller left", func(t *testing.T) {
		c, cancellation := newController()
		c.Cancel("caller", "1")
		calls := 0
		cancellation.onCancel(func() { calls++ })
		if calls != 1 {
			t.Errorf("%d calls", calls)
		}
	})
	t.Run("unregistered", func(t *testing.T) {
		c, cancellation := newController()
		calls := 0
		stop := cancellation.onCancel(func() { calls++ })
		stop()
		if c.Cancel("caller", "1"); calls != 0 || !cancellation.cancelled() {
			t.Errorf("cancelled: %v, %d calls", cancellation.cancelled(), calls)
		}
	})
	t.Run("not in flight", func(t *testing.T) {
		c, _ := newController()
		if c.Cancel("caller", "2") || c.Cancel("other", "1") {
			t.Error("another request was found")
		}
		if c.cancellations.end(req); c.Cancel("caller", "1") {
			t.Error("a request that ended was found")
		}
	})
	t.Run("run once", func(t *testing.T) {
		c := &Controller{cancellations: newCancellations()}
		runOnce := &wire.ForwardRequest{From: "caller", Id: "1", RunOnce: true}
		if cancellation := c.cancellations.begin(runOnce); cancellation != nil || cancellation.cancelled() || c.Cancel("caller", "1") {
			t.Error("a run-once request can be cancelled")
		}
	})
}
