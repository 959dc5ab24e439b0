package world

import (
	"container/heap"
	"fmt"

	"snowflow/internal/monotonic"
)

// event is an action that is executed at a given time, on behalf of a node or of the world itself (node is nil).
type event struct {
	due      monotonic.Micros
	sequence uint64
	action   func()
	node     *Node
	// incarnation is the node's when the event was created. If the node has another one when the event is due, it is discarded.
	incarnation int
}

// eventQueue is a heap for container/heap, ordered by due time and then by sequence number.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].due != q[j].due {
		return q[i].due < q[j].due
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an item. It is part of heap.Interface.
func (q *eventQueue) Push(item any) { *q = append(*q, asEvent(item)) }

// Pop removes and returns the last item. It is part of heap.Interface.
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

// At schedules an action that belongs to no node. A time in the past means now.
func (w *World) At(at monotonic.Micros, action func()) { w.schedule(at, nil, 0, action) }

// schedule queues an event. A node's event is discarded if the incarnation has ended, and postponed while the node is frozen.
func (w *World) schedule(at monotonic.Micros, node *Node, incarnation int, action func()) {
	w.sequence++
	heap.Push(&w.queue, &event{due: max(at, w.now), sequence: w.sequence, action: action, node: node, incarnation: incarnation})
}

// Run executes the events that are due up to a time, or until a task panics.
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
		// The factor is the 64-bit FNV prime.
		w.digest = w.digest*1099511628211 ^ uint64(next.due) ^ next.sequence<<20
		next.action()
	}
	w.now = max(w.now, until)
}
