package configstore

import (
	"sync"

	"snowflow/internal/host"
)

// crowd is a number of tasks that wait for the same thing. Invariant: waiting holds those that wait, in the order they came.
type crowd struct {
	place   host.Host
	lock    sync.Mutex
	waiting []host.Signal
}

func newCrowd(place host.Host) *crowd { return &crowd{place: place} }

// join begins to wait. It comes before the look that may make waiting needless, so that no wake between the two is missed.
func (crowd *crowd) join() host.Signal {
	signal := crowd.place.NewSignal()
	crowd.lock.Lock()
	defer crowd.lock.Unlock()
	crowd.waiting = append(crowd.waiting, signal)
	return signal
}

// leave ends waiting.
func (crowd *crowd) leave(signal host.Signal) {
	crowd.lock.Lock()
	defer crowd.lock.Unlock()
	for index, present := range crowd.waiting {
		if present == signal {
			crowd.waiting = append(crowd.waiting[:index:index], crowd.waiting[index+1:]...)
			return
		}
	}
}

// wake wakes all who wait now.
func (crowd *crowd) wake() {
	crowd.lock.Lock()
	woken := crowd.waiting
	crowd.waiting = nil
	crowd.lock.Unlock()
	for _, signal := range woken {
		signal.Fire()
	}
}
