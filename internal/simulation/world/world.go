package world

import (
	"math/rand/v2"
	"sort"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// World is one simulated run. It is used by one goroutine, or by the tasks that it runs.
type World struct {
	// MaxLatency bounds the ordinary latency of a message.
	MaxLatency monotonic.Micros
	// DialTimeout is how long a dial to a machine that is down takes at the most.
	DialTimeout monotonic.Micros
	// Trace is called with every event that a node reports, if set.
	Trace func(at monotonic.Micros, node string, number int, fields map[string]any)
	// OnStop is called when a process has ended itself, if set.
	OnStop func(node *Node, reason string)
	// Panicked is what a task panicked with, with its stack; nil if none did. A panic ends the run.
	Panicked any
	// Events counts the events that have happened.
	Events uint64
	// Calls counts the calls of each node by their kind.
	Calls map[string]map[wire.Kind]int
	// Bytes sums up the sizes of each node's requests and of the responses to them.
	Bytes map[string]int

	now      monotonic.Micros
	queue    eventQueue
	sequence uint64 // of the newest event or task
	rng      *rand.Rand
	current  *task         // the task that runs; nil while the scheduler does
	yielded  chan struct{} // a running task sends here when it hands control back
	nodes    map[string]*Node
	// partitions are the pairs of machines, from and to, between which no messages arrive.
	partitions map[[2]string]bool
	// delays are added to the latency of messages from one machine to another.
	delays map[[2]string]monotonic.Micros
	// connections are keyed by the calling process and the address that it calls.
	connections map[[2]string]*connection
	// digest mixes the time and number of each event.
	digest uint64
}

// New returns an empty world whose random sources are seeded by seed.
func New(seed uint64) *World {
	return &World{
		MaxLatency:  2 * monotonic.Millisecond,
		DialTimeout: 100 * monotonic.Millisecond,
		Calls:       map[string]map[wire.Kind]int{},
		Bytes:       map[string]int{},
		now:         monotonic.Minute,
		rng:         rand.New(rand.NewPCG(seed, 0x736e6f77)),
		yielded:     make(chan struct{}),
		nodes:       map[string]*Node{},
		partitions:  map[[2]string]bool{},
		delays:      map[[2]string]monotonic.Micros{},
		connections: map[[2]string]*connection{},
	}
}

// Now returns the observer's time, which no fault affects.
func (w *World) Now() monotonic.Micros { return w.now }

// Rand returns the random source for everything that a scenario leaves to chance.
func (w *World) Rand() *rand.Rand { return w.rng }

// Digest identifies the run so far: two runs that took the same events in the same order have the same digest.
func (w *World) Digest() uint64 { return w.digest }

// Nodes returns all nodes in the order of their names.
func (w *World) Nodes() []*Node {
	nodes := make([]*Node, 0, len(w.nodes))
	for _, node := range w.nodes {
		nodes = append(nodes, node)
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
	return nodes
}

// Node returns the node with a name, or nil.
func (w *World) Node(name string) *Node { return w.nodes[name] }

// Close kills all processes, which ends their tasks.
func (w *World) Close() {
	for _, node := range w.Nodes() {
		if node.up {
			w.Kill(node)
		}
	}
}
