package world

import (
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/wal"
)

// Host is what one incarnation of a node's process runs on. It implements host.Host.
type Host struct {
	node        *Node
	incarnation int
}

var _ host.Host = (*Host)(nil)

// Node returns the host's node.
func (h *Host) Node() *Node { return h.node }

// Now returns the node's own clock, which has an offset and drifts.
func (h *Host) Now() monotonic.Micros { return h.node.now() }

// Sleep lets the calling task wait. The duration is the observer's.
func (h *Host) Sleep(duration monotonic.Micros) {
	h.node.world.sleep(h.node.world.current, duration)
}

// Go starts a task. It does nothing once this incarnation has ended.
func (h *Host) Go(work func()) {
	if h.node.incarnation == h.incarnation {
		h.node.world.spawn(h.node, work)
	}
}

// Random returns 64 random bits from the node's random source.
func (h *Host) Random() uint64 { return h.node.rng.Uint64() }

// Disk returns the node's disk.
func (h *Host) Disk() wal.Disk { return h.node.Disk }

// Report passes an event on to the world's Trace.
func (h *Host) Report(number int, fields eventlog.Attributes) {
	w := h.node.world
	if w.Trace != nil {
		w.Trace(w.now, h.node.Name, number, fields)
	}
}

// Stop ends the process, unless this incarnation has ended already, and calls the world's OnStop.
func (h *Host) Stop(reason string) {
	w := h.node.world
	if h.node.incarnation != h.incarnation {
		return
	}
	w.At(w.now, func() {
		if h.node.incarnation != h.incarnation {
			return
		}
		w.Kill(h.node)
		if w.OnStop != nil {
			w.OnStop(h.node, reason)
		}
	})
}

// signal implements host.Signal.
type signal struct {
	world  *World
	fired  bool
	waiter *task // nil if none waits
	// generation rises when a wait begins or is ended by Fire, so that a timeout ends only its own wait.
	generation uint64
}

// NewSignal returns a signal that has not been fired.
func (h *Host) NewSignal() host.Signal { return &signal{world: h.node.world} }

// Fire resumes the waiting task, or lets the next Wait return at once.
func (s *signal) Fire() {
	s.fired = true
	if s.waiter == nil {
		return
	}
	waiter := s.waiter
	s.waiter = nil
	s.generation++
	s.world.resumeAt(s.world.now, waiter)
}

// Wait lets the calling task wait until the signal is fired or the timeout ends, and reports whether it was fired. A timeout of
// monotonic.Forever never ends.
func (s *signal) Wait(timeout monotonic.Micros) bool {
	if s.fired {
		s.fired = false
		return true
	}
	if timeout <= 0 {
		return false
	}
	w := s.world
	waiter := w.current
	s.waiter = waiter
	s.generation++
	if timeout < monotonic.Forever {
		s.scheduleTimeout(timeout, waiter, s.generation)
	}
	w.yield(waiter)
	fired := s.fired
	s.fired = false
	return fired
}

func (s *signal) scheduleTimeout(timeout monotonic.Micros, waiter *task, generation uint64) {
	s.world.schedule(s.world.now+timeout, waiter.node, waiter.incarnation, func() {
		if s.generation == generation && s.waiter == waiter {
			s.waiter = nil
			s.world.switchTo(waiter)
		}
	})
}
