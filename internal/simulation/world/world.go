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
	now      monotonic.Micros
	events   eventHeap
	sequence uint64
	chance   *rand.Rand
	current  *task
	yielded  chan struct{}
	nodes    map[string]*Node
	cuts     map[[2]string]bool
	delays   map[[2]string]monotonic.Micros
	// Lag bounds a message's ordinary time on the way.
	Lag monotonic.Micros
	// Trace is told every report of every node, if set.
	Trace func(at monotonic.Micros, node string, number int, fields map[string]any)
	// Stopped is told when a process ends itself.
	Stopped func(node *Node, why string)
	// Panicked holds what a task panicked with.
	Panicked any
	// Events counts what happened, as a measure of the run.
	Events uint64
	// Calls counts the calls of each node by their kind, and Bytes what they and their replies came to.
	Calls map[string]map[wire.Kind]int
	Bytes map[string]int
	// links are the connections between processes, by caller and address.
	links map[[2]string]*link
	// digest mixes every event's time and task, to compare replays.
	digest uint64
}

type event struct {
	at       monotonic.Micros
	sequence uint64
	happen   func()
	node     *Node // a frozen node's events wait
	life     int
}

type eventHeap []*event

func (events eventHeap) Len() int { return len(events) }
func (events eventHeap) Less(one, other int) bool {
	if events[one].at != events[other].at {
		return events[one].at < events[other].at
	}
	return events[one].sequence < events[other].sequence
}
func (events eventHeap) Swap(one, other int) { events[one], events[other] = events[other], events[one] }

// Push and Pop serve container/heap.
func (events *eventHeap) Push(entry any) { *events = append(*events, entry.(*event)) }

// Pop takes the last entry.
func (events *eventHeap) Pop() any {
	old := *events
	last := old[len(old)-1]
	*events = old[:len(old)-1]
	return last
}

type task struct {
	node   *Node
	life   int
	resume chan struct{}
	dead   bool
	number uint64
}

// Node is one simulated process with its disk. Its life number rises with every start and every kill.
type Node struct {
	world   *World
	Name    string
	Address string
	Machine string
	Disk    *memory.Disk
	table   host.Handlers
	life    int
	up      bool
	frozen  monotonic.Micros // until then
	offset  monotonic.Micros
	drift   float64
	chance  *rand.Rand
	tasks   map[*task]bool
	boot    func(place *Place) (host.Handlers, error)
}

// New makes a world from a seed.
func New(seed uint64) *World {
	return &World{now: monotonic.Minute, chance: rand.New(rand.NewPCG(seed, 0x736e6f77)), yielded: make(chan struct{}),
		nodes: map[string]*Node{}, links: map[[2]string]*link{}, delays: map[[2]string]monotonic.Micros{}, cuts: map[[2]string]bool{}, Calls: map[string]map[wire.Kind]int{}, Bytes: map[string]int{}, Lag: 2 * monotonic.Millisecond}
}

// Now is the observer's clock.
func (world *World) Now() monotonic.Micros { return world.now }

// Chance is the source of everything that a scenario leaves to chance.
func (world *World) Chance() *rand.Rand { return world.chance }

// Digest names the course of the run so far.
func (world *World) Digest() uint64 { return world.digest }

// At has something happen later, outside all nodes.
func (world *World) At(at monotonic.Micros, happen func()) { world.push(at, nil, 0, happen) }

func (world *World) push(at monotonic.Micros, node *Node, life int, happen func()) {
	world.sequence++
	heap.Push(&world.events, &event{at: max(at, world.now), sequence: world.sequence, happen: happen, node: node, life: life})
}

// Run lets the world go on until a moment.
func (world *World) Run(until monotonic.Micros) {
	for len(world.events) > 0 && world.events[0].at <= until && world.Panicked == nil {
		next := heap.Pop(&world.events).(*event)
		world.now = next.at
		if next.node != nil {
			if next.node.life != next.life {
				continue
			}
			if next.node.frozen > world.now {
				world.push(next.node.frozen, next.node, next.life, next.happen)
				continue
			}
		}
		world.Events++
		world.digest = world.digest*1099511628211 ^ uint64(next.at) ^ next.sequence<<20
		next.happen()
	}
	world.now = max(world.now, until)
}

// Close ends every task.
func (world *World) Close() {
	for _, node := range world.Nodes() {
		if node.up {
			world.Kill(node)
		}
	}
}

// Nodes lists all nodes by name.
func (world *World) Nodes() []*Node {
	nodes := make([]*Node, 0, len(world.nodes))
	for _, node := range world.nodes {
		nodes = append(nodes, node)
	}
	sort.Slice(nodes, func(one, other int) bool { return nodes[one].Name < nodes[other].Name })
	return nodes
}

// Node finds a node.
func (world *World) Node(name string) *Node { return world.nodes[name] }

// Add makes a node; Start brings it up.
func (world *World) Add(name, address, machine string, boot func(place *Place) (host.Handlers, error)) *Node {
	node := &Node{world: world, Name: name, Address: address, Machine: machine, Disk: memory.New(), boot: boot, tasks: map[*task]bool{},
		chance: rand.New(rand.NewPCG(world.chance.Uint64(), world.chance.Uint64()))}
	node.offset = monotonic.Micros(world.chance.Uint64N(uint64(10 * monotonic.Minute)))
	node.drift = (world.chance.Float64() - 0.5) / 5000 // up to 100 parts in a million
	node.Disk.TornLength = func(length int) int { return world.chance.IntN(length + 1) }
	node.Disk.Sleep = func(span monotonic.Micros) {
		if world.current == nil {
			return
		}
		span += monotonic.Micros(node.chance.Uint64N(uint64(500)))
		world.sleep(world.current, span)
	}
	world.nodes[name] = node
	return node
}

// Up tells whether a node's process runs.
func (node *Node) Up() bool { return node.up }

// Start boots a node that is down.
func (world *World) Start(node *Node) {
	if node.up {
		return
	}
	node.life++
	node.up, node.frozen, node.table = true, 0, nil
	place := &Place{node: node, life: node.life}
	if place.Now() < monotonic.Minute {
		node.offset += 60*monotonic.Minute - place.Now() // as on a real machine, a life's clock starts well above zero
	}
	world.spawn(node, func() {
		table, err := node.boot(place)
		if err != nil {
			place.Stop(err.Error())
			return
		}
		node.table = table
	})
}

// Kill ends a node's process at once; its disk stays as it is.
func (world *World) Kill(node *Node) {
	if !node.up {
		return
	}
	node.up = false
	node.life++
	node.table = nil
	ended := make([]*task, 0, len(node.tasks))
	for entry := range node.tasks {
		ended = append(ended, entry)
	}
	sort.Slice(ended, func(one, other int) bool { return ended[one].number < ended[other].number })
	for _, entry := range ended {
		entry.dead = true
		if entry != world.current {
			world.switchTo(entry)
		}
	}
}

// PowerLoss kills a node and leaves on its disk only what was synced.
func (world *World) PowerLoss(node *Node) {
	world.Kill(node)
	node.Disk.PowerLoss()
}

// LoseDisk kills a node and empties its disk.
func (world *World) LoseDisk(node *Node) {
	world.Kill(node)
	node.Disk.Wipe()
}

// Freeze stops a node for a while; everything it would have done happens late.
func (world *World) Freeze(node *Node, span monotonic.Micros) { node.frozen = world.now + span }

// Suspend freezes a node whose clock stands still meanwhile, as a clock that doesn't count suspended time would.
func (world *World) Suspend(node *Node, span monotonic.Micros) {
	world.Freeze(node, span)
	node.offset -= span
}

// Leap moves a node's clock, on which it decides, forward or back.
func (world *World) Leap(node *Node, span monotonic.Micros) { node.offset += span }

// Cut stops messages from one machine to another.
func (world *World) Cut(from, into string) { world.cuts[[2]string{from, into}] = true }

// Mend ends all cuts and delays.
func (world *World) Mend() {
	world.cuts, world.delays = map[[2]string]bool{}, map[[2]string]monotonic.Micros{}
}

func (world *World) isCut(from, into string) bool { return world.cuts[[2]string{from, into}] }

// spawn starts a task on a node.
func (world *World) spawn(node *Node, work func()) {
	world.sequence++
	entry := &task{node: node, life: node.life, resume: make(chan struct{}), number: world.sequence}
	node.tasks[entry] = true
	go func() {
		<-entry.resume
		defer func() {
			if caught := recover(); caught != nil {
				world.Panicked = fmt.Sprintf("%s: %v\n%s", node.Name, caught, stack())
			}
			delete(node.tasks, entry)
			world.current = nil
			world.yielded <- struct{}{}
		}()
		if entry.dead {
			return
		}
		work()
	}()
	world.push(world.now, node, node.life, func() { world.switchTo(entry) })
}

func stack() string {
	buffer := make([]byte, 16<<10)
	return string(buffer[:runtime.Stack(buffer, false)])
}

// switchTo lets a task run until it waits or ends. It's called by the scheduler, or by a task that kills others.
func (world *World) switchTo(entry *task) {
	if !entry.node.tasks[entry] {
		return
	}
	previous := world.current
	world.current = entry
	entry.resume <- struct{}{}
	<-world.yielded
	world.current = previous
}

// yield gives the world back to the scheduler until the task is resumed. A dead task ends here.
func (world *World) yield(entry *task) {
	if entry.dead {
		runtime.Goexit()
	}
	world.current = nil
	world.yielded <- struct{}{}
	<-entry.resume
	if entry.dead {
		runtime.Goexit()
	}
}

func (world *World) sleep(entry *task, span monotonic.Micros) {
	if entry.dead {
		runtime.Goexit()
	}
	world.push(world.now+max(span, 0), entry.node, entry.life, func() { world.switchTo(entry) })
	world.yield(entry)
}

// Place is a node's host.
type Place struct {
	node *Node
	life int
}

// Node gives the place's node.
func (place *Place) Node() *Node { return place.node }

// Now reads the node's own clock, which starts anywhere and drifts.
func (place *Place) Now() monotonic.Micros {
	world := place.node.world
	return world.now + place.node.offset + monotonic.Micros(float64(world.now)*place.node.drift)
}

// Sleep waits.
func (place *Place) Sleep(span monotonic.Micros) {
	place.node.world.sleep(place.node.world.current, span)
}

// Go starts a task.
func (place *Place) Go(work func()) {
	if place.node.life == place.life {
		place.node.world.spawn(place.node, work)
	}
}

// Random gives 64 random bits.
func (place *Place) Random() uint64 { return place.node.chance.Uint64() }

// Disk is the node's disk.
func (place *Place) Disk() wal.Disk { return place.node.Disk }

// Report tells the trace.
func (place *Place) Report(number int, fields map[string]any) {
	if trace := place.node.world.Trace; trace != nil {
		trace(place.node.world.now, place.node.Name, number, fields)
	}
}

// Stop ends the process, which the platform starts again.
func (place *Place) Stop(why string) {
	world := place.node.world
	if place.node.life != place.life {
		return
	}
	world.At(world.now, func() {
		if place.node.life != place.life {
			return
		}
		world.Kill(place.node)
		if world.Stopped != nil {
			world.Stopped(place.node, why)
		}
	})
}

type signal struct {
	place  *Place
	fired  bool
	waiter *task
	turn   uint64
}

// NewSignal makes a signal.
func (place *Place) NewSignal() host.Signal { return &signal{place: place} }

func (signal *signal) Fire() {
	world := signal.place.node.world
	if signal.waiter == nil {
		signal.fired = true
		return
	}
	entry := signal.waiter
	signal.waiter = nil
	signal.turn++
	signal.fired = true
	world.push(world.now, entry.node, entry.life, func() { world.switchTo(entry) })
}

func (signal *signal) Wait(patience monotonic.Micros) bool {
	if signal.fired {
		signal.fired = false
		return true
	}
	if patience <= 0 {
		return false
	}
	world := signal.place.node.world
	entry := world.current
	signal.waiter = entry
	signal.turn++
	turn := signal.turn
	if patience < monotonic.Forever {
		world.push(world.now+patience, entry.node, entry.life, func() {
			if signal.turn == turn && signal.waiter == entry {
				signal.waiter = nil
				world.switchTo(entry)
			}
		})
	}
	world.yield(entry)
	fired := signal.fired
	signal.fired = false
	return fired
}

// way is how long a message takes; now and then one is much slower.
func (world *World) way(node *Node) monotonic.Micros {
	span := monotonic.Micros(50 + node.chance.Uint64N(uint64(world.Lag)))
	if node.chance.Uint64N(200) == 0 {
		span += monotonic.Micros(node.chance.Uint64N(uint64(100 * monotonic.Millisecond)))
	}
	return span
}

// link is what the real host keeps for each address: when something was last heard, and the calls that wait. As there,
// a call that hears nothing at all while its patience runs ends the connection, and with it the others.
type link struct {
	heard   monotonic.Micros
	pending []*outcome
}

func (world *World) link(from *Node, address string) *link {
	key := [2]string{from.Name + "/" + fmt.Sprint(from.life), address}
	if world.links[key] == nil {
		world.links[key] = &link{heard: world.now}
	}
	return world.links[key]
}

func (link *link) end(result *outcome) {
	link.pending = slices.DeleteFunc(link.pending, func(other *outcome) bool { return other == result })
}

// outcome of a call under way; decided once.
type outcome struct {
	signal host.Signal
	done   bool
	reply  []byte
	err    error
}

func (outcome *outcome) decide(reply []byte, err error) {
	if outcome.done {
		return
	}
	outcome.done, outcome.reply, outcome.err = true, reply, err
	outcome.signal.Fire()
}

// Call sends a request through the simulated network.
func (place *Place) Call(address string, kind wire.Kind, request, reply proto.Message, patience monotonic.Micros) error {
	content, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	world := place.node.world
	if world.Calls[place.node.Name] == nil {
		world.Calls[place.node.Name] = map[wire.Kind]int{}
	}
	world.Calls[place.node.Name][kind]++
	world.Bytes[place.node.Name] += len(content)
	answer, err := place.transact(address, patience, func(node *Node) ([]byte, error) {
		handle := node.table[kind]
		if handle == nil {
			return nil, apierror.Refused.New("no such kind")
		}
		told, err := handle(content)
		if err != nil {
			return nil, apierror.Refused.New("%s: %s", address, err)
		}
		return proto.Marshal(told)
	})
	if err != nil {
		return err
	}
	world.Bytes[place.node.Name] += len(answer)
	return proto.Unmarshal(answer, reply)
}

// Transact runs work on the process at an address, as a connection to it would, for the outside's own protocols.
func (place *Place) Transact(address string, patience monotonic.Micros, work func(node *Node) ([]byte, error)) ([]byte, error) {
	return place.transact(address, patience, work)
}

func (place *Place) transact(address string, patience monotonic.Micros, work func(node *Node) ([]byte, error)) ([]byte, error) {
	world, from := place.node.world, place.node
	result := &outcome{signal: place.NewSignal()}
	target := world.at(address)
	if target == nil {
		if world.machineUp(address) {
			world.sleep(world.current, world.way(from)+world.way(from))
		} else {
			world.sleep(world.current, min(patience, 100*monotonic.Millisecond))
		}
		return nil, apierror.Unreachable.New("nobody at %s", address)
	}
	if world.isCut(from.Machine, target.Machine) && from.chance.Uint64N(2) == 0 {
		// No connection stood, and none can be made now.
		world.sleep(world.current, patience)
		return nil, apierror.Unreachable.New("dialling %s took too long", address)
	}
	world.carry(from, target, 0, func() { world.receive(from, target, result, work) }, func() {
		result.decide(nil, apierror.Lost.New("connection to %s ended", address))
	})
	connection, started := world.link(from, address), world.now
	connection.pending = append(connection.pending, result)
	defer connection.end(result)
	if !result.done {
		result.signal.Wait(patience)
	}
	if result.done {
		connection.heard = world.now
		return result.reply, result.err
	}
	result.done = true
	if connection.heard < started {
		for _, other := range slices.Clone(connection.pending) {
			other.decide(nil, apierror.Lost.New("connection to %s was silent", address))
		}
	}
	return nil, apierror.Lost.New("no answer from %s", address)
}

// receive runs a request's work as a task of the target.
func (world *World) receive(from, target *Node, result *outcome, work func(node *Node) ([]byte, error)) {
	life := target.life
	world.spawn(target, func() {
		finished := false
		defer func() {
			if !finished {
				// The process died with the request in hand: its connections end.
				world.At(world.now+world.way(from), func() { result.decide(nil, apierror.Lost.New("connection ended")) })
			}
		}()
		for target.table == nil {
			world.sleep(world.current, 20*monotonic.Millisecond) // it's still starting, on a slow disk perhaps
		}
		reply, err := work(target)
		finished = true
		world.carry(target, from, life, func() { result.decide(reply, err) }, func() {})
	})
}

// carry brings something from one node to another: late, held back while the way is cut, or lost with the connection.
func (world *World) carry(from, into *Node, _ int, deliver, lose func()) {
	intoLife := into.life
	var arrive func()
	arrive = func() {
		if into.life != intoLife {
			lose()
			return
		}
		if world.isCut(from.Machine, into.Machine) {
			if from.chance.Uint64N(4) == 0 {
				return // the connection is given up with the message unsent; the caller's patience ends
			}
			world.push(world.now+100*monotonic.Millisecond, nil, 0, arrive)
			return
		}
		if into.frozen > world.now {
			world.push(into.frozen, nil, 0, arrive)
			return
		}
		deliver()
	}
	world.push(world.now+world.way(from)+world.delays[[2]string{from.Machine, into.Machine}], nil, 0, arrive)
}

// Delay makes messages from one machine to another take longer.
func (world *World) Delay(from, into string, span monotonic.Micros) {
	world.delays[[2]string{from, into}] = span
}

func (world *World) at(address string) *Node {
	for _, node := range world.Nodes() {
		if node.Address == address && node.up {
			return node
		}
	}
	return nil
}

// machineUp tells whether some process still runs on the machine of an address, so that a dial is refused at once.
func (world *World) machineUp(address string) bool {
	machine := ""
	for _, node := range world.Nodes() {
		if node.Address == address {
			machine = node.Machine
		}
	}
	for _, node := range world.Nodes() {
		if node.up && node.Machine == machine {
			return true
		}
	}
	return false
}

// Uncut ends the cuts between two machines.
func (world *World) Uncut(one, other string) {
	delete(world.cuts, [2]string{one, other})
	delete(world.cuts, [2]string{other, one})
}

// Frozen tells whether a node stands still.
func (world *World) Frozen(node *Node) bool { return node.frozen > world.now }

// Thaw ends a freeze.
func (world *World) Thaw(node *Node) { node.frozen = min(node.frozen, world.now) }
