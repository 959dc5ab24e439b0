package admission

import (
	"sync"

	"snowflow/internal/transport/wire"
)

// cancels are the passes under way that end when their callers leave. Run-once passes are not among them: their answers are kept for
// whoever asks again.
type cancels struct {
	lock    sync.Mutex
	present map[cancelKey]*cancel
}

// cancelKey names a pass by its sender and its own id.
type cancelKey struct{ from, id string }

// cancel is one pass's. A nil one is never cancelled. Invariant: happen is called once at most, and only after left was set.
type cancel struct {
	lock   sync.Mutex
	left   bool
	happen func()
}

func newCancels() *cancels { return &cancels{present: map[cancelKey]*cancel{}} }

func (cancels *cancels) begin(ask *wire.ForwardRequest) *cancel {
	if ask.RunOnce {
		return nil
	}
	fresh := &cancel{}
	cancels.lock.Lock()
	defer cancels.lock.Unlock()
	cancels.present[cancelKey{ask.From, ask.Id}] = fresh
	return fresh
}

func (cancels *cancels) end(ask *wire.ForwardRequest) {
	if ask.RunOnce {
		return
	}
	cancels.lock.Lock()
	defer cancels.lock.Unlock()
	delete(cancels.present, cancelKey{ask.From, ask.Id})
}

// Cancel ends a pass whose caller has left, if it's under way here: it isn't handed over any more, and a backend that is at work on one that may
// run again is let go. It tells whether there was such a pass.
func (gate *Gate) Cancel(from, id string) bool {
	gate.cancels.lock.Lock()
	found := gate.cancels.present[cancelKey{from, id}]
	gate.cancels.lock.Unlock()
	if found == nil {
		return false
	}
	found.lock.Lock()
	happen := found.happen
	found.left, found.happen = true, nil
	found.lock.Unlock()
	if happen != nil {
		happen()
	}
	return true
}

func (cancel *cancel) cancelled() bool {
	if cancel == nil {
		return false
	}
	cancel.lock.Lock()
	defer cancel.lock.Unlock()
	return cancel.left
}

// then has something happen when the caller leaves, at once if it has.
func (cancel *cancel) then(happen func()) (stop func()) {
	cancel.lock.Lock()
	left := cancel.left
	if !left {
		cancel.happen = happen
	}
	cancel.lock.Unlock()
	if left {
		happen()
	}
	return func() {
		cancel.lock.Lock()
		defer cancel.lock.Unlock()
		cancel.happen = nil
	}
}
