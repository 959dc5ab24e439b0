package configstore

import (
	"sync"

	"snowflow/internal/host"
)

// crowd is a number of tasks that wait for the same thing. Invariant: waiting holds those that wait, in the order they came.
type broadcaster struct {
	host    host.Host
	mu      sync.Mutex
	waiters []host.Signal
}

func newBroadcaster(host host.Host) *broadcaster { return &broadcaster{host: host} }

// join begins to wait. It comes before the look that may make waiting needless, so that no wake between the two is missed.
func (b *broadcaster) subscribe() host.Signal {
	signal := b.host.NewSignal()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters = append(b.waiters, signal)
	return signal
}

// leave ends waiting.
func (b *broadcaster) unsubscribe(signal host.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for index, waiter := range b.waiters {
		if waiter == signal {
			b.waiters = append(b.waiters[:index:index], b.waiters[index+1:]...)
			return
		}
	}
}

// wake wakes all who wait now.
func (b *broadcaster) notifyAll() {
	b.mu.Lock()
	waiters := b.waiters
	b.waiters = nil
	b.mu.Unlock()
	for _, signal := range waiters {
		signal.Fire()
	}
}
