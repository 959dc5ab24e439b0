package machine

import (
	"time"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
)

// signal implements host.Signal by a channel that holds one Fire.
type signal struct{ channel chan struct{} }

// NewSignal returns a signal that has not fired.
func (m *Machine) NewSignal() host.Signal { return &signal{channel: make(chan struct{}, 1)} }

// Fire wakes the waiter, or the next one.
func (s *signal) Fire() {
	select {
	case s.channel <- struct{}{}:
	default:
	}
}

// Wait reports false if the signal does not fire within the timeout.
func (s *signal) Wait(timeout monotonic.Micros) bool {
	select {
	case <-s.channel:
		return true
	default:
	}
	if timeout <= 0 {
		return false
	}
	if timeout >= monotonic.Forever {
		<-s.channel
		return true
	}
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	select {
	case <-s.channel:
		return true
	case <-timer.C:
		return false
	}
}
