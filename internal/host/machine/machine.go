// Package machine is the host on a real machine: goroutines, the monotonic clock, framed TCP and a locked folder.
package machine

import (
	"math/rand/v2"
	"os"
	"time"

	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/wal"
)

// Machine is the real host of one process.
type Machine struct {
	*monotonic.SystemClock
	*Peers
	disk    wal.Disk
	events  *eventlog.EventLog
	stop    func(reason string)
	workers workerPool
}

// New makes an host. disk may be nil where a process keeps nothing.
func New(disk wal.Disk, events *eventlog.EventLog, stop func(reason string)) *Machine {
	machine := &Machine{SystemClock: monotonic.NewSystemClock(), disk: disk, events: events, stop: stop}
	machine.Peers = newPeers(machine)
	return machine
}

// Sleep waits.
func (m *Machine) Sleep(duration monotonic.Micros) { time.Sleep(duration.Duration()) }

// Go starts a task.
func (m *Machine) Go(task func()) { m.workers.start(task) }

// Random gives 64 random bits.
func (m *Machine) Random() uint64 { return rand.Uint64() }

// Disk is the data folder.
func (m *Machine) Disk() wal.Disk { return m.disk }

// Report publishes a numbered event.
func (m *Machine) Report(number int, attributes map[string]any) {
	m.events.Publish(number, attributes)
}

// Stop ends the process.
func (m *Machine) Stop(reason string) {
	m.Report(eventlog.ProcessStopped, map[string]any{"why": reason})
	if m.stop != nil {
		m.stop(reason)
		return
	}
	os.Exit(3)
}

type signal struct{ channel chan struct{} }

// NewSignal makes a signal.
func (m *Machine) NewSignal() host.Signal { return &signal{channel: make(chan struct{}, 1)} }

func (s *signal) Fire() {
	select {
	case s.channel <- struct{}{}:
	default:
	}
}

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
