package world

import (
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/wal"
)

// Host is the environment of one incarnation of a node's process. It implements host.Host.
type Host struct {
	node        *Node
	incarnation int
}

var _ host.Host = (*Host)(nil)

// Node returns the host's node.
func (h *Host) Node() *Node { return h.node }

// Now returns the reading of the node's own clock, which has an offset and a drift.
func (h *Host) Now() monotonic.Micros { return h.node.now() }

// Sleep suspends the calling task for a duration of true time.
func (h *Host) Sleep(duration monotonic.Micros) {
	h.node.world.sleep(h.node.world.current, duration)
}

// Go starts a task, unless this incarnation has ended.
func (h *Host) Go(work func()) {
	if h.node.incarnation == h.incarnation {
		h.node.world.spawn(h.node, work)
	}
}

// Random returns 64 random bits from the node's random source.
func (h *Host) Random() uint64 { return h.node.rng.Uint64() }

// Disk returns the node's disk.
func (h *Host) Disk() wal.Disk { return h.node.Disk }

// Report passes an event to the world's Trace.
func (h *Host) Report(number int, fields eventlog.Attributes) {
	w := h.node.world
	if w.Trace != nil {
		w.Trace(w.now, h.node.Name, number, fields)
	}
}

// Stop ends the process and then calls the world's OnStop. It does nothing if this incarnation has already ended.
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
	waiter *task // the waiting task, or nil
	// generation increases when a wait begins or Fire ends it, so that a timeout only ends the wait that it belongs to.
	generation uint64
}

// NewSignal returns a signal that has not fired.
func (h *Host) NewSignal() host.Signal { return &signal{world: h.node.world} }

// Fire resumes the waiting task. If no task waits, the next Wait returns at once.
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

// Wait suspends the calling task until the signal fires or the timeout expires, and reports whether it fired. A timeout of
// monotonic.Forever never expires.
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
