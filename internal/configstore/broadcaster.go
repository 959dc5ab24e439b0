package configstore

import (
	"slices"
	"sync"

	"snowflow/internal/host"
)

// broadcaster wakes all tasks that wait for the same event. The zero value isn't usable; see newBroadcaster.
type broadcaster struct {
	host host.Host
	// mu guards waiters.
	mu sync.Mutex
	// waiters are the signals of the waiting tasks, in the order of their subscription.
	waiters []host.Signal
}

func newBroadcaster(host host.Host) *broadcaster { return &broadcaster{host: host} }

// subscribe returns a signal that fires at the next notifyAll. A task subscribes before it checks whether it has to wait, so that no
// event is lost between the check and the wait. It must unsubscribe when it stops waiting.
func (b *broadcaster) subscribe() host.Signal {
	signal := b.host.NewSignal()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters = append(b.waiters, signal)
	return signal
}

// unsubscribe removes a signal. It does nothing if the signal has fired.
func (b *broadcaster) unsubscribe(signal host.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	index := slices.Index(b.waiters, signal)
	if index < 0 {
		return
	}
	// The limited capacity makes append copy the list, because notifyAll may be iterating over it.
	b.waiters = append(b.waiters[:index:index], b.waiters[index+1:]...)
}

// notifyAll fires and removes all subscribed signals.
func (b *broadcaster) notifyAll() {
	b.mu.Lock()
	waiters := b.waiters
	b.waiters = nil
	b.mu.Unlock()
	for _, waiter := range waiters {
		waiter.Fire()
	}
}
