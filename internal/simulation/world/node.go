package world

import (
	"math/rand/v2"
	"sort"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/wal/memory"
)

const (
	// maxClockOffset bounds how far a node's clock is ahead of true time when the node is added.
	maxClockOffset = 10 * monotonic.Minute
	// driftDivisor scales a random number from [-0.5, 0.5) to a clock drift of up to 100 parts per million.
	driftDivisor = 5000
	// minBootClock is the lowest clock reading that a process may start with. As on a real machine, it is well above zero.
	minBootClock = monotonic.Minute
	// adjustedBootClock is the reading that a lower clock is set to.
	adjustedBootClock = 60 * monotonic.Minute
	// maxSyncJitter bounds the random time added to each disk wait, in microseconds.
	maxSyncJitter = 500
)

// Boot starts a process's program on its host and returns its message handlers.
type Boot func(h *Host) (host.Handlers, error)

// Node is one simulated process with its disk.
type Node struct {
	Name string
	// Address is where the process receives calls. It may be changed while the process is down.
	Address string
	// Machine names the machine that the node runs on. Partitions and delays apply to machines; several nodes may share one.
	Machine string
	Disk    *memory.Disk

	world       *World
	boot        Boot
	handlers    host.Handlers // nil until the program has started
	incarnation int           // increases on every start and kill
	up          bool
	frozenUntil monotonic.Micros
	clockOffset monotonic.Micros // of the node's clock from true time, without the drift
	clockDrift  float64          // how much faster the node's clock runs, as a fraction
	rng         *rand.Rand
	tasks       map[*task]bool
}

// Add creates a node whose process is not running. Start starts it.
func (w *World) Add(name, address, machine string, boot Boot) *Node {
	node := &Node{
		Name:    name,
		Address: address,
		Machine: machine,
		Disk:    memory.New(),
		world:   w,
		boot:    boot,
		tasks:   map[*task]bool{},
		rng:     rand.New(rand.NewPCG(w.rng.Uint64(), w.rng.Uint64())),
	}
	node.clockOffset = monotonic.Micros(w.rng.Uint64N(uint64(maxClockOffset)))
	node.clockDrift = (w.rng.Float64() - 0.5) / driftDivisor
	node.Disk.SurvivingLength = func(length int) int { return w.rng.IntN(length + 1) }
	node.Disk.Sleep = func(duration monotonic.Micros) {
		if w.current == nil {
			return
		}
		duration += monotonic.Micros(node.rng.Uint64N(maxSyncJitter))
		w.sleep(w.current, duration)
	}
	w.nodes[name] = node
	return node
}

// Up reports whether the node's process is running, frozen or not.
func (n *Node) Up() bool { return n.up }

// now returns the reading of the node's own clock.
func (n *Node) now() monotonic.Micros {
	return n.world.now + n.clockOffset + monotonic.Micros(float64(n.world.now)*n.clockDrift)
}

// Start starts the process of a node that is down. A process whose Boot fails stops itself.
func (w *World) Start(node *Node) {
	if node.up {
		return
	}
	node.incarnation++
	node.up, node.frozenUntil, node.handlers = true, 0, nil
	if now := node.now(); now < minBootClock {
		node.clockOffset += adjustedBootClock - now
	}
	h := &Host{node: node, incarnation: node.incarnation}
	w.spawn(node, func() {
		handlers, err := node.boot(h)
		if err != nil {
			h.Stop(err.Error())
			return
		}
		node.handlers = handlers
	})
}

// Kill ends a node's process at once. Its disk keeps everything that was written, synced or not.
func (w *World) Kill(node *Node) {
	if !node.up {
		return
	}
	node.up = false
	node.incarnation++
	node.handlers = nil
	tasks := make([]*task, 0, len(node.tasks))
	for t := range node.tasks {
		tasks = append(tasks, t)
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].number < tasks[j].number })
	for _, t := range tasks {
		t.dead = true
		if t != w.current {
			w.switchTo(t)
		}
	}
}

// PowerLoss kills a node's process. Its disk loses what was not synced.
func (w *World) PowerLoss(node *Node) {
	w.Kill(node)
	node.Disk.PowerLoss()
}

// LoseDisk kills a node's process and empties its disk.
func (w *World) LoseDisk(node *Node) {
	w.Kill(node)
	node.Disk.Wipe()
}

// Freeze pauses a node's process for a duration: its events happen once the pause is over. Its clock continues to run.
func (w *World) Freeze(node *Node, duration monotonic.Micros) { node.frozenUntil = w.now + duration }

// Suspend freezes a node's process together with its clock, as on a machine whose clock does not count suspended time.
func (w *World) Suspend(node *Node, duration monotonic.Micros) {
	w.Freeze(node, duration)
	node.clockOffset -= duration
}

// Thaw ends a freeze.
func (w *World) Thaw(node *Node) { node.frozenUntil = min(node.frozenUntil, w.now) }

// Frozen reports whether a node is currently frozen.
func (w *World) Frozen(node *Node) bool { return node.frozenUntil > w.now }

// StepClock moves a node's clock forward, or backward if the step is negative.
func (w *World) StepClock(node *Node, step monotonic.Micros) { node.clockOffset += step }
