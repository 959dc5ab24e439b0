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
	*monotonic.Machine
	*Peers
	disk     wal.Disk
	bulletin *eventlog.Board
	stop     func(why string)
	crew     crew
}

// New makes an host. disk may be nil where a process keeps nothing.
func New(disk wal.Disk, board *eventlog.Board, stop func(why string)) *Machine {
	machine := &Machine{Machine: monotonic.NewMachine(), disk: disk, bulletin: board, stop: stop}
	machine.Peers = newPeers(machine)
	return machine
}

// Sleep waits.
func (machine *Machine) Sleep(span monotonic.Micros) { time.Sleep(span.Duration()) }

// Go starts a task.
func (machine *Machine) Go(task func()) { machine.crew.start(task) }

// Random gives 64 random bits.
func (machine *Machine) Random() uint64 { return rand.Uint64() }

// Disk is the data folder.
func (machine *Machine) Disk() wal.Disk { return machine.disk }

// Report publishes a numbered event.
func (machine *Machine) Report(number int, fields map[string]any) {
	machine.bulletin.Post(number, fields)
}

// Stop ends the process.
func (machine *Machine) Stop(why string) {
	machine.Report(eventlog.ProcessStopped, map[string]any{"why": why})
	if machine.stop != nil {
		machine.stop(why)
		return
	}
	os.Exit(3)
}

type signal struct{ channel chan struct{} }

// NewSignal makes a signal.
func (machine *Machine) NewSignal() host.Signal { return &signal{channel: make(chan struct{}, 1)} }

func (signal *signal) Fire() {
	select {
	case signal.channel <- struct{}{}:
	default:
	}
}

func (signal *signal) Wait(patience monotonic.Micros) bool {
	select {
	case <-signal.channel:
		return true
	default:
	}
	if patience <= 0 {
		return false
	}
	if patience >= monotonic.Forever {
		<-signal.channel
		return true
	}
	timer := time.NewTimer(patience.Duration())
	defer timer.Stop()
	select {
	case <-signal.channel:
		return true
	case <-timer.C:
		return false
	}
}
