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
	Sleep(span monotonic.Micros)
	Go(task func())
	// Call sends a request and waits for its reply. Its errors are seal.Unreachable (certainly not delivered),
	// seal.Lost (may have been delivered) and seal.Refused (delivered and turned down).
	Call(address string, kind wire.Kind, request, reply proto.Message, patience monotonic.Micros) error
	NewSignal() Signal
	Random() uint64
	Disk() wal.Disk
	// Report publishes a numbered event.
	Report(number int, fields map[string]any)
	// Stop ends this process at once, as after a failed sync.
	Stop(why string)
}

// Signal wakes one waiter. A Fire with nobody waiting is kept for the next Wait.
type Signal interface {
	Fire()
	Wait(patience monotonic.Micros) bool
}

// Handler answers one kind of request.
type Handler func(content []byte) (proto.Message, error)

// Table maps kinds to their handlers. It's filled before serving starts and only read afterwards.
type Table map[wire.Kind]Handler

// Handle adds a typed handler to a table.
func Handle[Request any, RequestPointer interface {
	*Request
	proto.Message
}, Reply proto.Message](table Table, kind wire.Kind, answer func(RequestPointer) (Reply, error)) {
	table[kind] = func(content []byte) (proto.Message, error) {
		request := RequestPointer(new(Request))
		if err := proto.Unmarshal(content, request); err != nil {
			return nil, apierror.Invalid.Wrap(err, "unreadable %s", kind)
		}
		reply, err := answer(request)
		if err != nil {
			return nil, err
		}
		return reply, nil
	}
}

// Inbox is an unbounded queue of commands with one reader.
type Inbox[Item any] struct {
	lock   sync.Mutex
	items  []Item
	signal Signal
}

// NewInbox makes an inbox in an host.
func NewInbox[Item any](place Host) *Inbox[Item] { return &Inbox[Item]{signal: place.NewSignal()} }

// Put adds an item.
func (inbox *Inbox[Item]) Put(item Item) {
	inbox.lock.Lock()
	inbox.items = append(inbox.items, item)
	inbox.lock.Unlock()
	inbox.signal.Fire()
}

// Take removes everything, waiting up to patience for a first item. It may return nothing.
func (inbox *Inbox[Item]) Take(patience monotonic.Micros) []Item {
	if items := inbox.grab(); len(items) > 0 {
		return items
	}
	inbox.signal.Wait(patience)
	return inbox.grab()
}

func (inbox *Inbox[Item]) grab() []Item {
	inbox.lock.Lock()
	defer inbox.lock.Unlock()
	items := inbox.items
	inbox.items = nil
	return items
}

// Owner runs commands one after another in a task of its own; a table's owner.
type Owner struct {
	place Host
	inbox *Inbox[func()]
}

// NewOwner starts an owner.
func NewOwner(place Host) *Owner {
	owner := &Owner{place: place, inbox: NewInbox[func()](place)}
	place.Go(func() {
		for {
			for _, command := range owner.inbox.Take(monotonic.Forever) {
				command()
			}
		}
	})
	return owner
}

// Do runs a command in the owner's task and waits for it.
func (owner *Owner) Do(command func()) {
	done := owner.place.NewSignal()
	owner.inbox.Put(func() { command(); done.Fire() })
	for !done.Wait(monotonic.Forever) {
	}
}

// Gather runs one task per name at once and waits until enough says so, all are done, or patience runs out.
// Answers that come later are ignored. Names are visited in sorted order, so that simulated runs repeat.
func Gather[Reply any](place Host, names []string, patience monotonic.Micros, ask func(name string) (Reply, error),
	enough func(replies map[string]Reply, failures int) bool) map[string]Reply {
	ordered := slices.Sorted(slices.Values(names))
	var lock sync.Mutex
	replies := map[string]Reply{}
	failures, closed := 0, false
	signal := place.NewSignal()
	for _, name := range ordered {
		place.Go(func() {
			reply, err := ask(name)
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
	cutoff := place.Now() + patience
	for {
		lock.Lock()
		if len(replies)+failures == len(ordered) || enough(replies, failures) || place.Now() >= cutoff {
			closed = true
			lock.Unlock()
			return replies
		}
		lock.Unlock()
		signal.Wait(cutoff - place.Now())
	}
}
