package world

import (
	"fmt"
	"runtime"

	"snowflow/internal/monotonic"
)

// task is a goroutine of a node. It runs only after it has received from resume, until it yields.
type task struct {
	node        *Node
	incarnation int
	number      uint64        // the tasks of a killed node are ended in the order of their numbers
	resume      chan struct{} // switchTo sends here to let the task run
	dead        bool          // the node was killed; the task ends as soon as it is resumed
}

// spawn creates a task on a node and schedules an event at the current time that runs it.
func (w *World) spawn(node *Node, work func()) {
	w.sequence++
	t := &task{node: node, incarnation: node.incarnation, resume: make(chan struct{}), number: w.sequence}
	node.tasks[t] = true
	go func() {
		<-t.resume
		defer func() {
			if recovered := recover(); recovered != nil {
				w.Panicked = fmt.Sprintf("%s: %v\n%s", node.Name, recovered, stackTrace())
			}
			delete(node.tasks, t)
			w.current = nil
			w.yielded <- struct{}{}
		}()
		if t.dead {
			return
		}
		work()
	}()
	w.resumeAt(w.now, t)
}

const stackTraceSize = 16 << 10

func stackTrace() string {
	buffer := make([]byte, stackTraceSize)
	return string(buffer[:runtime.Stack(buffer, false)])
}

// resumeAt schedules an event that resumes a task.
func (w *World) resumeAt(at monotonic.Micros, t *task) {
	w.schedule(at, t.node, t.incarnation, func() { w.switchTo(t) })
}

// switchTo runs a task until it yields or ends. Its callers are the scheduler and Kill, which may run in another task.
func (w *World) switchTo(t *task) {
	if !t.node.tasks[t] {
		return
	}
	previous := w.current
	w.current = t
	t.resume <- struct{}{}
	<-w.yielded
	w.current = previous
}

// yield returns control to the scheduler until the task is resumed. The goroutine of a dead task exits here.
func (w *World) yield(t *task) {
	t.exitIfDead()
	w.current = nil
	w.yielded <- struct{}{}
	<-t.resume
	t.exitIfDead()
}

// sleep suspends a task for a duration.
func (w *World) sleep(t *task, duration monotonic.Micros) {
	t.exitIfDead()
	w.resumeAt(w.now+max(duration, 0), t)
	w.yield(t)
}

func (t *task) exitIfDead() {
	if t.dead {
		runtime.Goexit()
	}
}
