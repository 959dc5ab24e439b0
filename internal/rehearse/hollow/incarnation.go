// Package hollow runs many proxies in one process to load the control plane. Each proxy runs the production code with its own host,
// session and connections, but no callers' requests pass through it.
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

// incarnation is the host on which a proxy runs from one start to the next stop. Once ended is set, each of its goroutines exits at its
// next wait. The proxy's code holds no lock while it waits, so no lock remains held.
type incarnation struct {
	*machine.Machine
	ended   atomic.Bool
	lock    sync.Mutex           // guards adopted
	adopted map[uint64]time.Time // when each configuration was adopted, by version
}

func newIncarnation() *incarnation {
	return &incarnation{Machine: machine.New(nil, nil, nil), adopted: map[uint64]time.Time{}}
}

// exitIfEnded exits the calling goroutine, after its deferred functions have run, if the incarnation has ended.
func (i *incarnation) exitIfEnded() {
	if i.ended.Load() {
		runtime.Goexit()
	}
}

// Sleep sleeps, and exits the goroutine if the incarnation has ended.
func (i *incarnation) Sleep(duration monotonic.Micros) {
	i.Machine.Sleep(duration)
	i.exitIfEnded()
}

// Call sends a request and waits for its response, and exits the goroutine if the incarnation has ended.
func (i *incarnation) Call(address string, kind wire.Kind, request, reply proto.Message, timeout monotonic.Micros) error {
	i.exitIfEnded()
	err := i.Machine.Call(address, kind, request, reply, timeout)
	i.exitIfEnded()
	return err
}

// signal is a host.Signal whose Wait exits the goroutine if the incarnation has ended.
type signal struct {
	host.Signal
	incarnation *incarnation
}

// Wait waits until the signal fires or timeout has passed, and exits the goroutine if the incarnation has ended.
func (s *signal) Wait(timeout monotonic.Micros) bool {
	fired := s.Signal.Wait(timeout)
	s.incarnation.exitIfEnded()
	return fired
}

// NewSignal returns a signal of this incarnation.
func (i *incarnation) NewSignal() host.Signal {
	return &signal{Signal: i.Machine.NewSignal(), incarnation: i}
}

// Report records the time at which a configuration was adopted. It drops other events, as thousands of proxies would share one log.
func (i *incarnation) Report(number int, fields eventlog.Attributes) {
	if number != eventlog.ConfigAdopted {
		return
	}
	version, _ := fields["serial"].(uint64)
	i.lock.Lock()
	defer i.lock.Unlock()
	i.adopted[version] = time.Now()
}

// Stop ends the incarnation. On a real host, it ends the process.
func (i *incarnation) Stop(string) { i.end() }

// end closes all connections and makes the incarnation's goroutines exit. It may be called more than once.
func (i *incarnation) end() {
	if i.ended.CompareAndSwap(false, true) {
		i.CloseConnections()
	}
}

// adoptedAt returns the time at which a version was adopted, and whether it was.
func (i *incarnation) adoptedAt(version uint64) (at time.Time, known bool) {
	i.lock.Lock()
	defer i.lock.Unlock()
	at, known = i.adopted[version]
	return at, known
}
