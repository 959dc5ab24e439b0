package world

import (
	"math/rand/v2"
	"sort"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/wal/memory"
)

const (
	// maxClockOffset bounds the difference between a node's clock and the observer's at the start.
	maxClockOffset = 10 * monotonic.Minute
	// driftDivisor scales a draw from [-0.5, 0.5) to a clock drift of up to 100 parts in a million.
	driftDivisor = 5000
	// minBootClock is the least clock that a process starts with: as on a real machine, well above zero.
	minBootClock = monotonic.Minute
	// adjustedBootClock is what a clock below that is set to.
	adjustedBootClock = 60 * monotonic.Minute
	// maxSyncJitter bounds what is added to each wait for the disk.
	maxSyncJitter = 500
)

// Boot starts a process's program on its host and returns the handlers of its messages.
type Boot func(h *Host) (host.Handlers, error)

// Node is one simulated process with its disk.
type Node struct {
	Name string
	// Address is where the process is called. It may be changed while the process is down.
	Address string
	// Machine is what partitions and delays refer to; several nodes may share one.
	Machine string
	Disk    *memory.Disk

	world       *World
	boot        Boot
	handlers    host.Handlers // nil until the program has started
	incarnation int           // rises with each start and kill
	up          bool
	frozenUntil monotonic.Micros
	clockOffset monotonic.Micros // of the node's clock against the observer's
	clockDrift  float64          // the share by which the node's clock is faster
	rng         *rand.Rand
	tasks       map[*task]bool
}

// Add creates a node that is down. Start runs it.
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

// Up reports whether the node's process runs, frozen or not.
func (n *Node) Up() bool { return n.up }

// now returns the node's own clock.
func (n *Node) now() monotonic.Micros {
	return n.world.now + n.clockOffset + monotonic.Micros(float64(n.world.now)*n.clockDrift)
}

// Start boots the process of a node that is down. A process whose program fails to start ends itself.
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

// Kill ends a node's process at once. Its disk stays as it is, with what was not synced.
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

// PowerLoss kills a node's process and drops from its disk what was not synced.
func (w *World) PowerLoss(node *Node) {
	w.Kill(node)
	node.Disk.PowerLoss()
}

// LoseDisk kills a node's process and empties its disk.
func (w *World) LoseDisk(node *Node) {
	w.Kill(node)
	node.Disk.Wipe()
}

// Freeze stops a node's process for a duration: everything that it would have done happens late. Its clock goes on.
func (w *World) Freeze(node *Node, duration monotonic.Micros) { node.frozenUntil = w.now + duration }

// Suspend freezes a node's process together with its clock, as a clock that does not count suspended time.
func (w *World) Suspend(node *Node, duration monotonic.Micros) {
	w.Freeze(node, duration)
	node.clockOffset -= duration
}

// Thaw ends a freeze.
func (w *World) Thaw(node *Node) { node.frozenUntil = min(node.frozenUntil, w.now) }

// Frozen reports whether a node is frozen now.
func (w *World) Frozen(node *Node) bool { return node.frozenUntil > w.now }

// StepClock moves a node's clock forward, or back by a negative step.
func (w *World) StepClock(node *Node, step monotonic.Micros) { node.clockOffset += step }
