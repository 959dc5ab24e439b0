// Package hollow runs many carriers in one process: the carrier's own code with an host, a session and connections for
// each, and without callers and backends' traffic.
package hollow

import (
	"runtime"
	"sync"
	"time"

	"go.uber.org/atomic"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/host/machine"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// life is the host of one carrier's life.
// Invariant: once over is set, no task of this life gets past its next wait; offices hold no lock there, so none stays held.
type life struct {
	*machine.Machine
	over    atomic.Bool
	lock    sync.Mutex
	adopted map[uint64]time.Time // by serial
}

func newLife() *life {
	return &life{Machine: machine.New(nil, nil, nil), adopted: map[uint64]time.Time{}}
}

func (life *life) wait() {
	if life.over.Load() {
		runtime.Goexit()
	}
}

// Sleep waits, and ends the task if its life ended.
func (life *life) Sleep(span monotonic.Micros) {
	life.Machine.Sleep(span)
	life.wait()
}

// Call calls, and ends the task if its life ended.
func (life *life) Call(address string, kind wire.Kind, request, reply proto.Message, patience monotonic.Micros) error {
	life.wait()
	err := life.Machine.Call(address, kind, request, reply, patience)
	life.wait()
	return err
}

type signal struct {
	host.Signal
	life *life
}

// Wait waits, and ends the task if its life ended.
func (signal *signal) Wait(patience monotonic.Micros) bool {
	fired := signal.Signal.Wait(patience)
	signal.life.wait()
	return fired
}

// NewSignal makes a signal.
func (life *life) NewSignal() host.Signal {
	return &signal{Signal: life.Machine.NewSignal(), life: life}
}

// Report notes when a desired state was adopted. Nothing else is kept: thousands of carriers share one log.
func (life *life) Report(number int, fields map[string]any) {
	if number != eventlog.ConfigAdopted {
		return
	}
	serial, _ := fields["serial"].(uint64)
	life.lock.Lock()
	defer life.lock.Unlock()
	life.adopted[serial] = time.Now()
}

// Stop ends the life, as it would its process.
func (life *life) Stop(string) { life.end() }

func (life *life) end() {
	if life.over.CompareAndSwap(false, true) {
		life.CloseConnections()
	}
}

func (life *life) when(serial uint64) (at time.Time, known bool) {
	life.lock.Lock()
	defer life.lock.Unlock()
	at, known = life.adopted[serial]
	return at, known
}
