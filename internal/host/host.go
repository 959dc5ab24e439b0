// Package host defines the interface between a snowflow process and its environment: the clock, tasks, messages to other
// processes and the disk.
//
// Package host/machine implements it on a real machine, package simulation/world in a deterministic simulation. All code that is
// built on it accesses the environment only through this package, so that the same code runs in both. Because the simulator runs
// one task at a time, no lock may be held across Sleep, Call, Signal.Wait or a disk's Sync.
package host

import (
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
	"snowflow/internal/wal"
)

// Host is the environment of one process. It is safe for concurrent use.
type Host interface {
	monotonic.Clock
	// Sleep blocks the calling task.
	Sleep(duration monotonic.Micros)
	// Go starts a task.
	Go(task func())
	// Call sends a request to an address and waits for the reply. Its errors are apierror.Unreachable (certainly not delivered),
	// apierror.Lost (may have been delivered), apierror.Refused (delivered and refused) and apierror.Invalid (not encodable).
	Call(address string, kind wire.Kind, request, reply proto.Message, timeout monotonic.Micros) error
	// NewSignal returns a signal that has not fired.
	NewSignal() Signal
	// Random returns 64 random bits.
	Random() uint64
	// Disk returns the process's data folder, or nil if it has none.
	Disk() wal.Disk
	// Report publishes the event with the given number in eventlog.Catalogue.
	Report(number int, attributes eventlog.Attributes)
	// Stop ends the process at once, for example after a failed sync. It may return before the process has ended.
	Stop(reason string)
}

// Signal wakes one waiting task. If no task waits, one Fire is kept for the next Wait, and further ones are dropped.
type Signal interface {
	Fire()
	// Wait blocks until the signal fires. It returns false if that did not happen within the timeout.
	Wait(timeout monotonic.Micros) bool
}

// Handler handles an encoded request of one kind and returns the reply.
type Handler func(content []byte) (proto.Message, error)

// Handlers holds the handlers by message kind. It must not change once the process serves requests.
type Handlers map[wire.Kind]Handler

// Handle adds a handler that takes decoded requests. A request that cannot be decoded fails with apierror.Invalid.
func Handle[Request any, RequestPointer interface {
	*Request
	proto.Message
}, Reply proto.Message](handlers Handlers, kind wire.Kind, handle func(RequestPointer) (Reply, error)) {
	handlers[kind] = func(content []byte) (proto.Message, error) {
		request := RequestPointer(new(Request))
		if err := proto.Unmarshal(content, request); err != nil {
			return nil, apierror.Invalid.Wrap(err, "decoding a %s request", kind)
		}
		reply, err := handle(request)
		if err != nil {
			return nil, err
		}
		return reply, nil
	}
}
