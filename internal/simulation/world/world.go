// Package world simulates machines, their clocks, network and disks. One task runs at a time and everything that is left
// to chance comes from the seed, so a seed replays exactly.
package world

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
	"snowflow/internal/wal"
	"snowflow/internal/wal/memory"
)

// World is one simulated run.
// Invariants: events happen in the order of their time, then of their making; current is the only task that runs.
type World struct {
	now        monotonic.Micros
	events     eventHeap
	sequence   uint64
	rng        *rand.Rand
	current    *task
	yielded    chan struct{}
	nodes      map[string]*Node
	partitions map[[2]string]bool
	delays     map[[2]string]monotonic.Micros
	// MaxLatency bounds a message's ordinary time on the way.
	MaxLatency monotonic.Micros
	// Trace is told every report of every node, if set.
	Trace func(at monotonic.Micros, node string, number int, fields map[string]any)
	// OnStop is told when a process ends itself.
	OnStop func(node *Node, reason string)
	// Panicked holds what a task panicked with.
	Panicked any
	// Events counts what happened, as a measure of the run.
	Events uint64
	// Calls counts the calls of each node by their kind, and Bytes what they and their replies came to.
	Calls map[string]map[wire.Kind]int
	Bytes map[string]int
	// links are the connections between processes, by caller and address.
	connections map[[2]string]*connection
	// digest mixes every event's time and task, to compare replays.
	digest uint64
}

type event struct {
	due         monotonic.Micros
	sequence    uint64
	action      func()
	node        *Node // a frozen node's events wait
	incarnation int
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push and Pop serve container/heap.
func (h *eventHeap) Push(item any) { *h = append(*h, item.(*event)) }

// Pop takes the last entry.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

type task struct {
	node        *Node
	incarnation int
	resume      chan struct{}
	dead        bool
	number      uint64
}

// Node is one simulated process with its disk. Its life number rises with every start and every kill.
type Node struct {
	world       *World
	Name        string
	Address     string
	Machine     string
	Disk        *memory.Disk
	handlers    host.Handlers
	incarnation int
	up          bool
	frozenUntil monotonic.Micros // until then
	clockOffset monotonic.Micros
	clockDrift  float64
	rng         *rand.Rand
	tasks       map[*task]bool
	boot        func(h *Host) (host.Handlers, error)
}

// New makes a world from a seed.
func New(seed uint64) *World {
	return &World{now: monotonic.Minute, rng: rand.New(rand.NewPCG(seed, 0x736e6f77)), yielded: make(chan struct{}),
		nodes: map[string]*Node{}, connections: map[[2]string]*connection{}, delays: map[[2]string]monotonic.Micros{}, partitions: map[[2]string]bool{}, Calls: map[string]map[wire.Kind]int{}, Bytes: map[string]int{}, MaxLatency: 2 * monotonic.Millisecond}
}

// Now is the observer's clock.
func (w *World) Now() monotonic.Micros { return w.now }

// Rand is the source of everything that a scenario leaves to chance.
func (w *World) Rand() *rand.Rand { return w.rng }

// Digest names the course of the run so far.
func (w *World) Digest() uint64 { return w.digest }

// At has something happen later, outside all nodes.
func (w *World) At(at monotonic.Micros, action func()) { w.push(at, nil, 0, action) }

func (w *World) push(at monotonic.Micros, node *Node, incarnation int, action func()) {
	w.sequence++
	heap.Push(&w.events, &event{due: max(at, w.now), sequence: w.sequence, action: action, node: node, incarnation: incarnation})
}

// Run lets the world go on until a moment.
func (w *World) Run(until monotonic.Micros) {
	for len(w.events) > 0 && w.events[0].due <= until && w.Panicked == nil {
		next := heap.Pop(&w.events).(*event)
		w.now = next.due
		if next.node != nil {
			if next.node.incarnation != next.incarnation {
				continue
			}
			if next.node.frozenUntil > w.now {
				w.push(next.node.frozenUntil, next.node, next.incarnation, next.action)
				continue
			}
		}
		w.Events++
		w.digest = w.digest*1099511628211 ^ uint64(next.due) ^ next.sequence<<20
		next.action()
	}
	w.now = max(w.now, until)
}

// Close ends every task.
func (w *World) Close() {
	for _, node := range w.Nodes() {
		if node.up {
			w.Kill(node)
		}
	}
}

// Nodes lists all nodes by name.
func (w *World) Nodes() []*Node {
	nodes := make([]*Node, 0, len(w.nodes))
	for _, node := range w.nodes {
		nodes = append(nodes, node)
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
	return nodes
}

// Node finds a node.
func (w *World) Node(name string) *Node { return w.nodes[name] }

// Add makes a node; Start brings it up.
func (w *World) Add(name, address, machine string, boot func(h *Host) (host.Handlers, error)) *Node {
	node := &Node{world: w, Name: name, Address: address, Machine: machine, Disk: memory.New(), boot: boot, tasks: map[*task]bool{},
		rng: rand.New(rand.NewPCG(w.rng.Uint64(), w.rng.Uint64()))}
	node.clockOffset = monotonic.Micros(w.rng.Uint64N(uint64(10 * monotonic.Minute)))
	node.clockDrift = (w.rng.Float64() - 0.5) / 5000 // up to 100 parts in a million
	node.Disk.TornLength = func(length int) int { return w.rng.IntN(length + 1) }
	node.Disk.Sleep = func(duration monotonic.Micros) {
		if w.current == nil {
			return
		}
		duration += monotonic.Micros(node.rng.Uint64N(uint64(500)))
		w.sleep(w.current, duration)
	}
	w.nodes[name] = node
	return node
}

// Up tells whether a node's process runs.
func (n *Node) Up() bool { return n.up }

// Start boots a node that is down.
func (w *World) Start(node *Node) {
	if node.up {
		return
	}
	node.incarnation++
	node.up, node.frozenUntil, node.handlers = true, 0, nil
	simulatedHost := &Host{node: node, incarnation: node.incarnation}
	if simulatedHost.Now() < monotonic.Minute {
		node.clockOffset += 60*monotonic.Minute - simulatedHost.Now() // as on a real machine, a life's clock starts well above zero
	}
	w.spawn(node, func() {
		table, err := node.boot(simulatedHost)
		if err != nil {
			simulatedHost.Stop(err.Error())
			return
		}
		node.handlers = table
	})
}

// Kill ends a node's process at once; its disk stays as it is.
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

// PowerLoss kills a node and leaves on its disk only what was synced.
func (w *World) PowerLoss(node *Node) {
	w.Kill(node)
	node.Disk.PowerLoss()
}

// LoseDisk kills a node and empties its disk.
func (w *World) LoseDisk(node *Node) {
	w.Kill(node)
	node.Disk.Wipe()
}

// Freeze stops a node for a while; everything it would have done happens late.
func (w *World) Freeze(node *Node, duration monotonic.Micros) { node.frozenUntil = w.now + duration }

// Suspend freezes a node whose clock stands still meanwhile, as a clock that doesn't count suspended time would.
func (w *World) Suspend(node *Node, duration monotonic.Micros) {
	w.Freeze(node, duration)
	node.clockOffset -= duration
}

// StepClock moves a node's clock, on which it decides, forward or back.
func (w *World) StepClock(node *Node, duration monotonic.Micros) { node.clockOffset += duration }

// Partition stops messages from one machine to another.
func (w *World) Partition(from, to string) { w.partitions[[2]string{from, to}] = true }

// HealNetwork ends all cuts and delays.
func (w *World) HealNetwork() {
	w.partitions, w.delays = map[[2]string]bool{}, map[[2]string]monotonic.Micros{}
}

func (w *World) partitioned(from, to string) bool { return w.partitions[[2]string{from, to}] }

// spawn starts a task on a node.
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
	w.push(w.now, node, node.incarnation, func() { w.switchTo(t) })
}

func stackTrace() string {
	buffer := make([]byte, 16<<10)
	return string(buffer[:runtime.Stack(buffer, false)])
}

// switchTo lets a task run until it waits or ends. It's called by the scheduler, or by a task that kills others.
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

// yield gives the world back to the scheduler until the task is resumed. A dead task ends here.
func (w *World) yield(t *task) {
	if t.dead {
		runtime.Goexit()
	}
	w.current = nil
	w.yielded <- struct{}{}
	<-t.resume
	if t.dead {
		runtime.Goexit()
	}
}

func (w *World) sleep(t *task, duration monotonic.Micros) {
	if t.dead {
		runtime.Goexit()
	}
	w.push(w.now+max(duration, 0), t.node, t.incarnation, func() { w.switchTo(t) })
	w.yield(t)
}

// Host is a node's host.
type Host struct {
	node        *Node
	incarnation int
}

// Node gives the place's node.
func (h *Host) Node() *Node { return h.node }

// Now reads the node's own clock, which starts anywhere and drifts.
func (h *Host) Now() monotonic.Micros {
	w := h.node.world
	return w.now + h.node.clockOffset + monotonic.Micros(float64(w.now)*h.node.clockDrift)
}

// Sleep waits.
func (h *Host) Sleep(duration monotonic.Micros) {
	h.node.world.sleep(h.node.world.current, duration)
}

// Go starts a task.
func (h *Host) Go(work func()) {
	if h.node.incarnation == h.incarnation {
		h.node.world.spawn(h.node, work)
	}
}

// Random gives 64 random bits.
func (h *Host) Random() uint64 { return h.node.rng.Uint64() }

// Disk is the node's disk.
func (h *Host) Disk() wal.Disk { return h.node.Disk }

// Report tells the trace.
func (h *Host) Report(number int, fields map[string]any) {
	if trace := h.node.world.Trace; trace != nil {
		trace(h.node.world.now, h.node.Name, number, fields)
	}
}

// Stop ends the process, which the platform starts again.
func (h *Host) Stop(reason string) {
	w := h.node.world
	if h.node.incarnation != h.incarnation {
		return
	}
	w.At(w.now, func() {
		if h.node.incarnation != h.incarnation {
			return
		}
		w.Kill(h.node)
		if w.OnStop != nil {
			w.OnStop(h.node, reason)
		}
	})
}

type signal struct {
	host       *Host
	fired      bool
	waiter     *task
	generation uint64
}

// NewSignal makes a signal.
func (h *Host) NewSignal() host.Signal { return &signal{host: h} }

func (s *signal) Fire() {
	w := s.host.node.world
	if s.waiter == nil {
		s.fired = true
		return
	}
	t := s.waiter
	s.waiter = nil
	s.generation++
	s.fired = true
	w.push(w.now, t.node, t.incarnation, func() { w.switchTo(t) })
}

func (s *signal) Wait(timeout monotonic.Micros) bool {
	if s.fired {
		s.fired = false
		return true
	}
	if timeout <= 0 {
		return false
	}
	w := s.host.node.world
	t := w.current
	s.waiter = t
	s.generation++
	generation := s.generation
	if timeout < monotonic.Forever {
		w.push(w.now+timeout, t.node, t.incarnation, func() {
			if s.generation == generation && s.waiter == t {
				s.waiter = nil
				w.switchTo(t)
			}
		})
	}
	w.yield(t)
	fired := s.fired
	s.fired = false
	return fired
}

// way is how long a message takes; now and then one is much slower.
func (w *World) messageLatency(node *Node) monotonic.Micros {
	latency := monotonic.Micros(50 + node.rng.Uint64N(uint64(w.MaxLatency)))
	if node.rng.Uint64N(200) == 0 {
		latency += monotonic.Micros(node.rng.Uint64N(uint64(100 * monotonic.Millisecond)))
	}
	return latency
}

// link is what the real host keeps for each address: when something was last heard, and the calls that wait. As there,
// a call that hears nothing at all while its patience runs ends the connection, and with it the others.
type connection struct {
	lastReceived monotonic.Micros
	pending      []*pendingCall
}

func (w *World) connection(from *Node, address string) *connection {
	key := [2]string{from.Name + "/" + fmt.Sprint(from.incarnation), address}
	if w.connections[key] == nil {
		w.connections[key] = &connection{lastReceived: w.now}
	}
	return w.connections[key]
}

func (l *connection) remove(call *pendingCall) {
	l.pending = slices.DeleteFunc(l.pending, func(waiting *pendingCall) bool { return waiting == call })
}

// outcome of a call under way; decided once.
type pendingCall struct {
	signal host.Signal
	done   bool
	reply  []byte
	err    error
}

func (c *pendingCall) complete(reply []byte, err error) {
	if c.done {
		return
	}
	c.done, c.reply, c.err = true, reply, err
	c.signal.Fire()
}

// Call sends a request through the simulated network.
func (h *Host) Call(address string, kind wire.Kind, request, reply proto.Message, timeout monotonic.Micros) error {
	content, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	w := h.node.world
	if w.Calls[h.node.Name] == nil {
		w.Calls[h.node.Name] = map[wire.Kind]int{}
	}
	w.Calls[h.node.Name][kind]++
	w.Bytes[h.node.Name] += len(content)
	encodedReply, err := h.transact(address, timeout, func(node *Node) ([]byte, error) {
		handle := node.handlers[kind]
		if handle == nil {
			return nil, apierror.Refused.New("no such kind")
		}
		response, err := handle(content)
		if err != nil {
			return nil, apierror.Refused.New("%s: %s", address, err)
		}
		return proto.Marshal(response)
	})
	if err != nil {
		return err
	}
	w.Bytes[h.node.Name] += len(encodedReply)
	return proto.Unmarshal(encodedReply, reply)
}

// Transact runs work on the process at an address, as a connection to it would, for the outside's own protocols.
func (h *Host) Transact(address string, timeout monotonic.Micros, work func(node *Node) ([]byte, error)) ([]byte, error) {
	return h.transact(address, timeout, work)
}

func (h *Host) transact(address string, timeout monotonic.Micros, work func(node *Node) ([]byte, error)) ([]byte, error) {
	w, from := h.node.world, h.node
	call := &pendingCall{signal: h.NewSignal()}
	target := w.nodeAt(address)
	if target == nil {
		if w.machineIsUp(address) {
			w.sleep(w.current, w.messageLatency(from)+w.messageLatency(from))
		} else {
			w.sleep(w.current, min(timeout, 100*monotonic.Millisecond))
		}
		return nil, apierror.Unreachable.New("nobody at %s", address)
	}
	if w.partitioned(from.Machine, target.Machine) && from.rng.Uint64N(2) == 0 {
		// No connection stood, and none can be made now.
		w.sleep(w.current, timeout)
		return nil, apierror.Unreachable.New("dialling %s took too long", address)
	}
	w.transmit(from, target, 0, func() { w.receive(from, target, call, work) }, func() {
		call.complete(nil, apierror.Lost.New("connection to %s ended", address))
	})
	conn, started := w.connection(from, address), w.now
	conn.pending = append(conn.pending, call)
	defer conn.remove(call)
	if !call.done {
		call.signal.Wait(timeout)
	}
	if call.done {
		conn.lastReceived = w.now
		return call.reply, call.err
	}
	call.done = true
	if conn.lastReceived < started {
		for _, waiting := range slices.Clone(conn.pending) {
			waiting.complete(nil, apierror.Lost.New("connection to %s was silent", address))
		}
	}
	return nil, apierror.Lost.New("no answer from %s", address)
}

// receive runs a request's work as a task of the target.
func (w *World) receive(from, target *Node, call *pendingCall, work func(node *Node) ([]byte, error)) {
	incarnation := target.incarnation
	w.spawn(target, func() {
		finished := false
		defer func() {
			if !finished {
				// The process died with the request in hand: its connections end.
				w.At(w.now+w.messageLatency(from), func() { call.complete(nil, apierror.Lost.New("connection ended")) })
			}
		}()
		for target.handlers == nil {
			w.sleep(w.current, 20*monotonic.Millisecond) // it's still starting, on a slow disk perhaps
		}
		reply, err := work(target)
		finished = true
		w.transmit(target, from, incarnation, func() { call.complete(reply, err) }, func() {})
	})
}

// carry brings something from one node to another: late, held back while the way is cut, or lost with the connection.
func (w *World) transmit(from, to *Node, _ int, deliver, lose func()) {
	targetIncarnation := to.incarnation
	var arrive func()
	arrive = func() {
		if to.incarnation != targetIncarnation {
			lose()
			return
		}
		if w.partitioned(from.Machine, to.Machine) {
			if from.rng.Uint64N(4) == 0 {
				return // the connection is given up with the message unsent; the caller's patience ends
			}
			w.push(w.now+100*monotonic.Millisecond, nil, 0, arrive)
			return
		}
		if to.frozenUntil > w.now {
			w.push(to.frozenUntil, nil, 0, arrive)
			return
		}
		deliver()
	}
	w.push(w.now+w.messageLatency(from)+w.delays[[2]string{from.Machine, to.Machine}], nil, 0, arrive)
}

// Delay makes messages from one machine to another take longer.
func (w *World) Delay(from, to string, duration monotonic.Micros) {
	w.delays[[2]string{from, to}] = duration
}

func (w *World) nodeAt(address string) *Node {
	for _, node := range w.Nodes() {
		if node.Address == address && node.up {
			return node
		}
	}
	return nil
}

// machineIsUp tells whether some process still runs on the machine of an address, so that a dial is refused at once.
func (w *World) machineIsUp(address string) bool {
	machine := ""
	for _, node := range w.Nodes() {
		if node.Address == address {
			machine = node.Machine
		}
	}
	for _, node := range w.Nodes() {
		if node.up && node.Machine == machine {
			return true
		}
	}
	return false
}

// HealPartition ends the cuts between two machines.
func (w *World) HealPartition(a, b string) {
	delete(w.partitions, [2]string{a, b})
	delete(w.partitions, [2]string{b, a})
}

// Frozen tells whether a node stands still.
func (w *World) Frozen(node *Node) bool { return node.frozenUntil > w.now }

// Thaw ends a freeze.
func (w *World) Thaw(node *Node) { node.frozenUntil = min(node.frozenUntil, w.now) }
