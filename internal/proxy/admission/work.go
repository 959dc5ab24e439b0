package admission

import (
	"sync"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
)

// work knows which keys are being run here now, so that a repeat is told so, or waits for the answer.
// Invariant: open holds a scope exactly while a claimed request of it is between its claim and its recorded answer.
type work struct {
	place host.Host
	lock  sync.Mutex
	open  map[string][]host.Signal
}

func newWork(place host.Host) *work {
	return &work{place: place, open: map[string][]host.Signal{}}
}

func (work *work) begin(scope string) {
	work.lock.Lock()
	defer work.lock.Unlock()
	work.open[scope] = []host.Signal{}
}

func (work *work) end(scope string) {
	work.lock.Lock()
	waiters := work.open[scope]
	delete(work.open, scope)
	work.lock.Unlock()
	for _, waiter := range waiters {
		waiter.Fire()
	}
}

// await waits, at most patience, until a scope isn't at work here. It tells whether it still is.
func (work *work) await(scope string, patience monotonic.Micros) bool {
	work.lock.Lock()
	waiters, busy := work.open[scope]
	if !busy {
		work.lock.Unlock()
		return false
	}
	signal := work.place.NewSignal()
	work.open[scope] = append(waiters, signal)
	work.lock.Unlock()
	return !signal.Wait(patience)
}

// recorded is the answer that a scope's run left here, waited for while it's at work.
func (gate *Gate) recorded(scope string, digest []byte, patience monotonic.Micros) (answer *request.Response, busy bool) {
	busy = gate.work.await(scope, patience)
	return gate.env.Shelf.Lookup(scope, digest), busy
}
