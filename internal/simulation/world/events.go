package world

import (
	"container/heap"
	"fmt"

	"snowflow/internal/monotonic"
)

// event is something that happens at a time, on a node or outside all of them (node is nil).
type event struct {
	due      monotonic.Micros
	sequence uint64
	action   func()
	node     *Node
	// incarnation is that of the node. If the node has another one when the event is due, nothing happens.
	incarnation int
}

// eventQueue is a heap of events, which container/heap keeps in the order of their time and then of their creation.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].due != q[j].due {
		return q[i].due < q[j].due
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an item for container/heap.
func (q *eventQueue) Push(item any) { *q = append(*q, asEvent(item)) }

// Pop removes the last item for container/heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func asEvent(item any) *event {
	next, ok := item.(*event)
	if !ok {
		panic(fmt.Sprintf("an event queue holds a %T", item))
	}
	return next
}

// At has an action run at a time outside all nodes. A time in the past means now.
func (w *World) At(at monotonic.Micros, action func()) { w.schedule(at, nil, 0, action) }

// schedule queues an event. Those of a node happen only in the incarnation given, and wait while the node is frozen.
func (w *World) schedule(at monotonic.Micros, node *Node, incarnation int, action func()) {
	w.sequence++
	heap.Push(&w.queue, &event{due: max(at, w.now), sequence: w.sequence, action: action, node: node, incarnation: incarnation})
}

// Run lets events happen until a time, or until a task panics.
func (w *World) Run(until monotonic.Micros) {
	for len(w.queue) > 0 && w.queue[0].due <= until && w.Panicked == nil {
		next := asEvent(heap.Pop(&w.queue))
		w.now = next.due
		if next.node != nil {
			if next.node.incarnation != next.incarnation {
				continue
			}
			if next.node.frozenUntil > w.now {
				w.schedule(next.node.frozenUntil, next.node, next.incarnation, next.action)
				continue
			}
		}
		w.Events++
		w.digest = w.digest*1099511628211 ^ uint64(next.due) ^ next.sequence<<20
		next.action()
	}
	w.now = max(w.now, until)
}
