package world

import (
	"math/rand/v2"
	"sort"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// World is one simulated run. It is not safe for concurrent use: only one goroutine, or the tasks that it runs, may use it.
type World struct {
	// MaxLatency bounds the random part of a normal message's latency.
	MaxLatency monotonic.Micros
	// DialTimeout is the longest time that a dial to a machine that is down takes.
	DialTimeout monotonic.Micros
	// Trace, if set, is called with every event that a node reports; number is the event's number in eventlog.Catalogue.
	Trace func(at monotonic.Micros, node string, number int, fields map[string]any)
	// OnStop, if set, is called after a process has stopped itself.
	OnStop func(node *Node, reason string)
	// Panicked describes the panic of a task, with its stack trace; nil if no task panicked. A panic ends the run.
	Panicked any
	// Events counts the executed events.
	Events uint64
	// Calls counts the calls that each node has made, by node name and kind.
	Calls map[string]map[wire.Kind]int
	// Bytes is the total size of each node's requests and of the responses to them, by node name.
	Bytes map[string]int

	now      monotonic.Micros
	queue    eventQueue
	sequence uint64 // the number of the newest event or task
	rng      *rand.Rand
	current  *task         // the running task; nil while the scheduler runs
	yielded  chan struct{} // a task sends here to return control to whoever resumed it
	nodes    map[string]*Node
	// partitions holds the pairs of machines (from, to) between which messages are blocked.
	partitions map[[2]string]bool
	// delays holds the extra latency of messages by pairs of machines (from, to).
	delays map[[2]string]monotonic.Micros
	// connections is keyed by the calling process (node and incarnation) and the address that it calls.
	connections map[[2]string]*connection
	// digest is a running hash of the due times and numbers of the executed events.
	digest uint64
}

// New returns an empty world whose random sources derive from seed.
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

// Now returns the simulation's true time, which no fault affects.
func (w *World) Now() monotonic.Micros { return w.now }

// Rand returns the random source for a scenario's random choices.
func (w *World) Rand() *rand.Rand { return w.rng }

// Digest identifies the run so far: two runs with the same events in the same order have the same digest.
func (w *World) Digest() uint64 { return w.digest }

// Nodes returns all nodes, sorted by name.
func (w *World) Nodes() []*Node {
	nodes := make([]*Node, 0, len(w.nodes))
	for _, node := range w.nodes {
		nodes = append(nodes, node)
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
	return nodes
}

// Node returns the node with the given name, or nil.
func (w *World) Node(name string) *Node { return w.nodes[name] }

// Close kills all processes, which ends their tasks.
func (w *World) Close() {
	for _, node := range w.Nodes() {
		if node.up {
			w.Kill(node)
		}
	}
}
