package machine

import (
	"time"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
)

// signal implements host.Signal by a channel that buffers one Fire.
type signal struct{ channel chan struct{} }

// NewSignal returns a signal that has not fired.
func (m *Machine) NewSignal() host.Signal { return &signal{channel: make(chan struct{}, 1)} }

// Fire wakes the task that waits, or the next one that does.
func (s *signal) Fire() {
	select {
	case s.channel <- struct{}{}:
	default:
	}
}

// Wait blocks until the signal fires. It returns false if that does not happen within the timeout.
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
