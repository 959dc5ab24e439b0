package host

import (
	"sync"

	"snowflow/internal/monotonic"
)

// Queue is an unbounded queue with any number of writers and one reader.
type Queue[Item any] struct {
	signal Signal // fires after each Put

	lock  sync.Mutex // guards items
	items []Item
}

// NewQueue returns an empty queue.
func NewQueue[Item any](host Host) *Queue[Item] { return &Queue[Item]{signal: host.NewSignal()} }

// Put adds an item.
func (q *Queue[Item]) Put(item Item) {
	q.lock.Lock()
	q.items = append(q.items, item)
	q.lock.Unlock()
	q.signal.Fire()
}

// TakeAll removes and returns all items, in the order in which they were put. If there are none, it waits for one up to the
// timeout, and may still return none.
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
