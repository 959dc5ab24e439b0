// Package machine implements host.Host on a real machine: goroutines, the system's monotonic clock, framed messages over TCP, and
// a locked data folder.
package machine

import (
	"math/rand/v2"
	"os"
	"time"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/wal"
)

// ExitStopped is the exit code of a process that stopped itself because its state can no longer be trusted.
const ExitStopped = 3

// Machine is the host of one process.
type Machine struct {
	*monotonic.SystemClock
	*Peers
	disk    wal.Disk
	events  *eventlog.EventLog
	stop    func(reason string)
	workers workerPool
}

// New returns a host. disk is nil for a process that stores nothing. If events is nil, events are discarded. Stop calls stop, or
// exits with ExitStopped if stop is nil.
func New(disk wal.Disk, events *eventlog.EventLog, stop func(reason string)) *Machine {
	machine := &Machine{SystemClock: monotonic.NewSystemClock(), disk: disk, events: events, stop: stop}
	machine.Peers = newPeers(machine)
	return machine
}

// Sleep blocks the calling goroutine.
func (m *Machine) Sleep(duration monotonic.Micros) { time.Sleep(duration.Duration()) }

// Go starts a task in a goroutine.
func (m *Machine) Go(task func()) { m.workers.start(task) }

// Random returns 64 random bits.
func (m *Machine) Random() uint64 { return rand.Uint64() }

// Disk returns the process's data folder, or nil if it has none.
func (m *Machine) Disk() wal.Disk { return m.disk }

// Report publishes the event with the given number in eventlog.Catalogue.
func (m *Machine) Report(number int, attributes eventlog.Attributes) {
	m.events.Publish(number, attributes)
}

// Stop publishes the reason and ends the process at once. It is called when the process's state can no longer be trusted.
func (m *Machine) Stop(reason string) {
	m.Report(eventlog.ProcessStopped, eventlog.Stopped(reason))
	if m.stop != nil {
		m.stop(reason)
		return
	}
	os.Exit(ExitStopped)
}
