// Package hollow runs many proxies in one process: the proxy's own code with a host, a session and connections for
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

// incarnation is the host of one proxy's incarnation.
// Invariant: once over is set, no task of this incarnation gets past its next wait; no lock is held there, so none stays locked.
type incarnation struct {
	*machine.Machine
	ended   atomic.Bool
	lock    sync.Mutex
	adopted map[uint64]time.Time // by version
}

func newIncarnation() *incarnation {
	return &incarnation{Machine: machine.New(nil, nil, nil), adopted: map[uint64]time.Time{}}
}

func (i *incarnation) exitIfEnded() {
	if i.ended.Load() {
		runtime.Goexit()
	}
}

// Sleep waits, and ends the task if its incarnation ended.
func (i *incarnation) Sleep(duration monotonic.Micros) {
	i.Machine.Sleep(duration)
	i.exitIfEnded()
}

// Call calls, and ends the task if its incarnation ended.
func (i *incarnation) Call(address string, kind wire.Kind, request, reply proto.Message, timeout monotonic.Micros) error {
	i.exitIfEnded()
	err := i.Machine.Call(address, kind, request, reply, timeout)
	i.exitIfEnded()
	return err
}

type signal struct {
	host.Signal
	incarnation *incarnation
}

// Wait waits, and ends the task if its incarnation ended.
func (s *signal) Wait(timeout monotonic.Micros) bool {
	fired := s.Signal.Wait(timeout)
	s.incarnation.exitIfEnded()
	return fired
}

// NewSignal makes a signal.
func (i *incarnation) NewSignal() host.Signal {
	return &signal{Signal: i.Machine.NewSignal(), incarnation: i}
}

// Report notes when a desired state was adopted. Nothing else is kept: thousands of proxies share one log.
func (i *incarnation) Report(number int, fields map[string]any) {
	if number != eventlog.ConfigAdopted {
		return
	}
	version, _ := fields["serial"].(uint64)
	i.lock.Lock()
	defer i.lock.Unlock()
	i.adopted[version] = time.Now()
}

// Stop ends the incarnation, as it would its process.
func (i *incarnation) Stop(string) { i.end() }

func (i *incarnation) end() {
	if i.ended.CompareAndSwap(false, true) {
		i.CloseConnections()
	}
}

func (i *incarnation) adoptedAt(version uint64) (at time.Time, known bool) {
	i.lock.Lock()
	defer i.lock.Unlock()
	at, known = i.adopted[version]
	return at, known
}
