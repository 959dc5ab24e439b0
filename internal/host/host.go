// Package host is what a snowflow process may do to the world: read its clock, sleep, start tasks, call other
// processes and use its disk. The real host stands on the machine; the mailround package gives a simulated one.
// Code above this package uses nothing else, so the same code runs in both.
package host

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
	"snowflow/internal/wal"
)

// Host is one process's way to the world.
// Invariant: no lock is held across Sleep, Call, Wait or a disk's Sync; the simulator runs one task at a time.
type Host interface {
	monotonic.Clock
	Sleep(duration monotonic.Micros)
	Go(task func())
	// Call sends a request and waits for its reply. Its errors are seal.Unreachable (certainly not delivered),
	// seal.Lost (may have been delivered) and seal.Refused (delivered and turned down).
	Call(address string, kind wire.Kind, request, reply proto.Message, timeout monotonic.Micros) error
	NewSignal() Signal
	Random() uint64
	Disk() wal.Disk
	// Report publishes a numbered event.
	Report(number int, fields map[string]any)
	// Stop ends this process at once, as after a failed sync.
	Stop(reason string)
}

// Signal wakes one waiter. A Fire with nobody waiting is kept for the next Wait.
type Signal interface {
	Fire()
	Wait(timeout monotonic.Micros) bool
}

// Handler answers one kind of request.
type Handler func(content []byte) (proto.Message, error)

// Handlers maps kinds to their handlers. It's filled before serving starts and only read afterwards.
type Handlers map[wire.Kind]Handler

// Handle adds a typed handler to a table.
func Handle[Request any, RequestPointer interface {
	*Request
	proto.Message
}, Reply proto.Message](handlers Handlers, kind wire.Kind, handle func(RequestPointer) (Reply, error)) {
	handlers[kind] = func(content []byte) (proto.Message, error) {
		request := RequestPointer(new(Request))
		if err := proto.Unmarshal(content, request); err != nil {
			return nil, apierror.Invalid.Wrap(err, "unreadable %s", kind)
		}
		reply, err := handle(request)
		if err != nil {
			return nil, err
		}
		return reply, nil
	}
}

// Queue is an unbounded queue of commands with one reader.
type Queue[Item any] struct {
	lock   sync.Mutex
	items  []Item
	signal Signal
}

// NewQueue makes an inbox in an host.
func NewQueue[Item any](host Host) *Queue[Item] { return &Queue[Item]{signal: host.NewSignal()} }

// Put adds an item.
func (q *Queue[Item]) Put(item Item) {
	q.lock.Lock()
	q.items = append(q.items, item)
	q.lock.Unlock()
	q.signal.Fire()
}

// TakeAll removes everything, waiting up to patience for a first item. It may return nothing.
func (q *Queue[Item]) TakeAll(timeout monotonic.Micros) []Item {
	if items := q.takePending(); len(items) > 0 {
		return items
	}
	q.signal.Wait(timeout)
	return q.takePending()
}

func (q *Queue[Item]) takePending() []Item {
	q.lock.Lock()
	defer q.lock.Unlock()
	items := q.items
	q.items = nil
	return items
}

// Executor runs commands one after another in a task of its own; a table's owner.
type Executor struct {
	host  Host
	queue *Queue[func()]
}

// NewExecutor starts an owner.
func NewExecutor(host Host) *Executor {
	executor := &Executor{host: host, queue: NewQueue[func()](host)}
	host.Go(func() {
		for {
			for _, command := range executor.queue.TakeAll(monotonic.Forever) {
				command()
			}
		}
	})
	return executor
}

// Run runs a command in the owner's task and waits for it.
func (e *Executor) Run(command func()) {
	done := e.host.NewSignal()
	e.queue.Put(func() { command(); done.Fire() })
	for !done.Wait(monotonic.Forever) {
	}
}

// Gather runs one task per name at once and waits until enough says so, all are done, or patience runs out.
// Answers that come later are ignored. Names are visited in sorted order, so that simulated runs repeat.
func Gather[Reply any](host Host, names []string, timeout monotonic.Micros, call func(name string) (Reply, error),
	enough func(replies map[string]Reply, failures int) bool) map[string]Reply {
	ordered := slices.Sorted(slices.Values(names))
	var lock sync.Mutex
	replies := map[string]Reply{}
	failures, closed := 0, false
	signal := host.NewSignal()
	for _, name := range ordered {
		host.Go(func() {
			reply, err := call(name)
			lock.Lock()
			defer lock.Unlock()
			if closed {
				return
			}
			if err != nil {
				failures++
			} else {
				replies[name] = reply
			}
			signal.Fire()
		})
	}
	deadline := host.Now() + timeout
	for {
		lock.Lock()
		if len(replies)+failures == len(ordered) || enough(replies, failures) || host.Now() >= deadline {
			closed = true
			lock.Unlock()
			return replies
		}
		lock.Unlock()
		signal.Wait(deadline - host.Now())
	}
}
