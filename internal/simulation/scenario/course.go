package scenario

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// Course is one kind of simulated run: which faults it brings about, and the rules that must have seen something.
type Course struct {
	Name   string
	Short  string
	Sizes  Sizes
	Length monotonic.Micros
	Rate   int
	Rules  []int
	Faults []fault
	// First are brought about before chance chooses, so that every rule has something to look at.
	First []fault
	// Every is the mean pause between faults.
	Every monotonic.Micros
	// Prepare may set the mesh up further before traffic starts.
	Prepare func(mesh *Mesh)
	// Content makes the desired states, Desired if left out.
	Content func(variant int) []byte
	// Traffic has callers send at the course's rate while mesh.serving, Mesh.serve's if left out.
	Traffic func(mesh *Mesh, perSecond int)
	// Checks are made besides the rules.
	Checks []invariants.Check
	// Sync is how long the core's disks take for one sync, 200 microseconds if left out.
	Sync monotonic.Micros
}

// fault brings one failure about. It may end it by itself later; heal ends all.
type fault struct {
	name  string
	bring func(mesh *Mesh)
}

var small = Sizes{Cores: 3, Carriers: 4, Zones: 2, Backends: 3}

// found is a small core whose processes know their voters at the first start only.
var found = Sizes{Cores: 3, Carriers: 4, Zones: 2, Backends: 3, Found: true}
var four = Sizes{Cores: 4, Carriers: 4, Zones: 4, Backends: 3}

func pick[Item any](mesh *Mesh, items []Item) Item {
	return items[mesh.World.Chance().IntN(len(items))]
}

func (mesh *Mesh) later(span monotonic.Micros, happen func()) {
	mesh.World.At(mesh.World.Now()+span, happen)
}

func (mesh *Mesh) span(least, most monotonic.Micros) monotonic.Micros {
	return least + monotonic.Micros(mesh.World.Chance().Uint64N(uint64(most-least)))
}

// coreNodes are a core machine's processes.
func (mesh *Mesh) coreNodes(machine string) (nodes []*world.Node) {
	for _, node := range mesh.World.Nodes() {
		if node.Machine == machine {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

func (mesh *Mesh) down(nodes []*world.Node, after monotonic.Micros, end func(*world.Node)) {
	for _, node := range nodes {
		if !node.Up() {
			continue
		}
		end(node)
		mesh.later(after, func() { mesh.World.Start(node) })
	}
}

func (mesh *Mesh) allCore() (nodes []*world.Node) {
	for _, machine := range mesh.cores {
		nodes = append(nodes, mesh.coreNodes(machine)...)
	}
	return nodes
}

// leaders are the processes that answer now.
func (mesh *Mesh) leader(group string) *world.Node {
	for _, node := range mesh.World.Nodes() {
		if !node.Up() {
			continue
		}
		if one := mesh.sorters[node.Name]; group == "sorter" && one != nil && one.Member.Serving() {
			return node
		}
		if one := mesh.masters[node.Name]; group == "postmaster" && one != nil && one.Member.Serving() {
			return node
		}
	}
	return nil
}

var (
	killCarrier = fault{"kill a carrier", func(mesh *Mesh) {
		node := mesh.World.Node(pick(mesh, mesh.carriers))
		mesh.down([]*world.Node{node}, mesh.span(100*monotonic.Millisecond, 5*monotonic.Second), mesh.World.Kill)
	}}
	killCore = fault{"kill a core process", func(mesh *Mesh) {
		mesh.down([]*world.Node{pick(mesh, mesh.allCore())}, mesh.span(100*monotonic.Millisecond, 5*monotonic.Second), mesh.World.Kill)
	}}
	killLeader = fault{"kill a primary", func(mesh *Mesh) {
		if node := mesh.leader(pick(mesh, []string{"sorter", "postmaster"})); node != nil {
			mesh.down([]*world.Node{node}, mesh.span(100*monotonic.Millisecond, 5*monotonic.Second), mesh.World.Kill)
		}
	}}
	killAllCore = fault{"power off the whole core", func(mesh *Mesh) {
		mesh.down(mesh.allCore(), mesh.span(500*monotonic.Millisecond, 3*monotonic.Second), mesh.World.PowerLoss)
	}}
	powerLoss = fault{"power off a core machine", func(mesh *Mesh) {
		mesh.down(mesh.coreNodes(pick(mesh, mesh.cores)), mesh.span(200*monotonic.Millisecond, 5*monotonic.Second), mesh.World.PowerLoss)
	}}
	freezeCore = fault{"freeze a core process", func(mesh *Mesh) {
		mesh.freeze(pick(mesh, mesh.allCore()), mesh.span(300*monotonic.Millisecond, 6*monotonic.Second))
	}}
	freezeLeader = fault{"freeze a primary", func(mesh *Mesh) {
		if node := mesh.leader(pick(mesh, []string{"sorter", "postmaster"})); node != nil {
			mesh.freeze(node, mesh.span(300*monotonic.Millisecond, 6*monotonic.Second))
		}
	}}
	freezeCarrier = fault{"freeze a carrier", func(mesh *Mesh) {
		mesh.freeze(mesh.World.Node(pick(mesh, mesh.carriers)), mesh.span(300*monotonic.Millisecond, 8*monotonic.Second))
	}}
	cutCore = fault{"cut a core machine from another, one way or both", func(mesh *Mesh) {
		one, other := pick(mesh, mesh.cores), pick(mesh, mesh.cores)
		mesh.cutFor(one, other, mesh.World.Chance().IntN(2) == 0, mesh.span(500*monotonic.Millisecond, 6*monotonic.Second))
	}}
	isolate = fault{"isolate a machine", func(mesh *Mesh) {
		machines := append(append([]string(nil), mesh.cores...), mesh.carriers...)
		one := pick(mesh, machines)
		span := mesh.span(500*monotonic.Millisecond, 8*monotonic.Second)
		for _, other := range append(machines, "outside") {
			if other != one {
				mesh.cutFor(one, other, true, span)
			}
		}
	}}
	cutCarrier = fault{"cut a carrier from a core machine", func(mesh *Mesh) {
		mesh.cutFor(pick(mesh, mesh.carriers), pick(mesh, mesh.cores), mesh.World.Chance().IntN(2) == 0, mesh.span(500*monotonic.Millisecond, 8*monotonic.Second))
	}}
	cutCarriers = fault{"cut a carrier from another", func(mesh *Mesh) {
		mesh.cutFor(pick(mesh, mesh.carriers), pick(mesh, mesh.carriers), mesh.World.Chance().IntN(2) == 0, mesh.span(500*monotonic.Millisecond, 8*monotonic.Second))
	}}
	slowDisk = fault{"slow a core disk", func(mesh *Mesh) {
		disk := pick(mesh, mesh.allCore()).Disk
		disk.SyncDelay = mesh.span(100*monotonic.Millisecond, monotonic.Second)
		mesh.later(mesh.span(monotonic.Second, 8*monotonic.Second), func() { disk.SyncDelay = mesh.sync })
	}}
	fullDisk = fault{"fill a core disk", func(mesh *Mesh) {
		disk := pick(mesh, mesh.allCore()).Disk
		disk.Capacity = disk.Used() + mesh.World.Chance().IntN(4000)
		mesh.later(mesh.span(monotonic.Second, 8*monotonic.Second), func() { disk.Capacity = 0 })
	}}
	failSync = fault{"fail a sync", func(mesh *Mesh) { pick(mesh, mesh.allCore()).Disk.FailSyncs = 1 }}
	manners  = fault{"make a backend misbehave", func(mesh *Mesh) {
		if found := mesh.live(""); len(found) > 0 {
			one := pick(mesh, found)
			one.manner = pick(mesh, []string{"failing", "losing", "short", "not_executed", "slow", "mixed"})
			mesh.later(mesh.span(monotonic.Second, 8*monotonic.Second), func() { one.manner = "" })
		}
	}}
	serviceFails = fault{"make a whole service fail", func(mesh *Mesh) {
		service := pick(mesh, []string{"forms", "households"})
		manner := pick(mesh, []string{"failing", "not_executed", "losing"})
		found := mesh.live(service)
		for _, one := range found {
			one.manner = manner
		}
		mesh.later(mesh.span(7*monotonic.Second, 10*monotonic.Second), func() {
			for _, one := range found {
				one.manner = ""
			}
		})
	}}
	replaceBackend = fault{"replace a backend", func(mesh *Mesh) {
		if found := mesh.live(""); len(found) > 0 {
			one := pick(mesh, found)
			mesh.startBackend(one.service, pick(mesh, mesh.carriers), fmt.Sprintf("%s:%d", one.carrier, 9000+mesh.number), 0)
			mesh.leave(one)
		}
	}}
	reuseAddress = fault{"end a backend and reuse its address for another service", func(mesh *Mesh) {
		found := mesh.live("")
		if len(found) < 4 {
			return
		}
		one := pick(mesh, found)
		one.up = false
		other := map[string]string{"forms": "households", "households": "forms"}[one.service]
		mesh.later(2*monotonic.Second, func() { mesh.startBackend(other, one.carrier, one.address, mesh.span(0, 4*monotonic.Second)) })
		mesh.startBackend(one.service, pick(mesh, mesh.carriers), fmt.Sprintf("%s:%d", one.carrier, 9000+mesh.number), 0)
	}}
	applyOne = fault{"apply a desired state", func(mesh *Mesh) {
		variant := mesh.World.Chance().IntN(1 << 20)
		mesh.Outside.Go(func() { mesh.apply(Desired(variant), true, 0, 30*monotonic.Second) })
	}}
	applyRace = fault{"two operators race", func(mesh *Mesh) {
		expected := mesh.latest
		for range 2 {
			variant := mesh.World.Chance().IntN(1 << 20)
			mesh.Outside.Go(func() { mesh.apply(Desired(variant), false, expected, 30*monotonic.Second) })
		}
	}}
	applyStorm = fault{"a storm of desired states, some invalid", func(mesh *Mesh) {
		for number := range 6 {
			content := Desired(mesh.World.Chance().IntN(1 << 20))
			if number%3 == 2 {
				content = []byte(strings.Replace(string(content), `"class":"once"`, `"class":"twice"`, 1))
			}
			mesh.later(monotonic.Micros(number)*150*monotonic.Millisecond, func() {
				mesh.Outside.Go(func() { mesh.apply(content, true, 0, 30*monotonic.Second) })
			})
		}
	}}
)

func (mesh *Mesh) freeze(node *world.Node, span monotonic.Micros) {
	if mesh.breakage.StoppedClock {
		mesh.World.Suspend(node, span)
		return
	}
	mesh.World.Freeze(node, span)
}

// atAcknowledgement applies a desired state and has something happen at the moment in which its operator is told.
func (mesh *Mesh) atAcknowledgement(happen func()) {
	variant := mesh.World.Chance().IntN(1 << 20)
	mesh.Outside.Go(func() {
		if tell := mesh.apply(Desired(variant), true, 0, 8*monotonic.Second); tell != nil && tell.Outcome == "accepted" {
			mesh.World.At(mesh.World.Now(), happen)
		}
	})
}

func (mesh *Mesh) cutFor(one, other string, both bool, span monotonic.Micros) {
	if one == other {
		return
	}
	mesh.World.Cut(one, other)
	if both {
		mesh.World.Cut(other, one)
	}
	mesh.later(span, func() { mesh.World.Uncut(one, other) })
}

// Courses are the kinds of runs by name.
var Courses = map[string]Course{}

func add(course Course) { Courses[course.Name] = course }

func init() {
	all := []fault{killCarrier, killCore, killLeader, killAllCore, powerLoss, freezeCore, freezeLeader, freezeCarrier, cutCore, isolate, cutCarrier, cutCarriers,
		slowDisk, fullDisk, failSync, manners, serviceFails, replaceBackend, reuseAddress, applyOne, applyRace, applyStorm, killEverything, moveCore}
	add(Course{Name: "calm", Short: "no failure", Sizes: small, Length: 20 * monotonic.Second, Rate: 30, Rules: []int{1, 3, 5, 6, 7, 8}, Every: monotonic.Minute,
		Faults: []fault{applyOne}})
	add(Course{Name: "everything", Short: "all failures together", Sizes: small, Length: 60 * monotonic.Second, Rate: 25, Every: 2 * monotonic.Second, First: []fault{serviceFails, replaceBackend, applyOne, reuseAddress},
		Rules:  []int{1, 2, 3, 4, 5, 6, 7, 8, 10, 12},
		Faults: all})
	for name, sizes := range map[string]Sizes{"association": {Cores: 3, Carriers: 16, Zones: 3, Backends: 5}, "raahbar": {Cores: 4, Carriers: 12, Zones: 4, Backends: 4}} {
		add(Course{Name: name, Short: "all failures together, several at a time, at a deployment's shape", Sizes: sizes, Length: 40 * monotonic.Second, Rate: 60, Every: 900 * monotonic.Millisecond,
			First: []fault{serviceFails, replaceBackend, applyOne, reuseAddress}, Rules: []int{1, 2, 3, 4, 5, 6, 7, 8, 12}, Faults: all})
	}
	add(Course{Name: "four", Short: "all failures together, four core machines in four zones", Sizes: four, Length: 60 * monotonic.Second, Rate: 25, Every: 2 * monotonic.Second, First: []fault{serviceFails, replaceBackend, applyOne, reuseAddress},
		Rules:  []int{1, 2, 3, 4, 5, 6, 7, 8, 10, 12},
		Faults: all})
}

func init() {
	add(Course{Name: "troubled", Short: "one caller's network in trouble, all others well", Sizes: small, Length: 40 * monotonic.Second, Rate: 40, Every: 4 * monotonic.Second,
		Rules: []int{1, 3, 11}, Prepare: troubles(0, "late"), Faults: []fault{cutTroubled, applyOne}})
	add(Course{Name: "trials", Short: "a service fails and recovers again and again while two of eight callers' networks are in trouble", Sizes: Sizes{Cores: 3, Carriers: 8, Zones: 2, Backends: 3},
		Length: 60 * monotonic.Second, Rate: 80, Every: 12 * monotonic.Second,
		Rules: []int{1, 3, 8, 10, 11}, Prepare: troubles(6, "slow", "slow"), Content: slowCounts, First: []fault{serviceFailsNoted, nothing, nothing}, Faults: []fault{serviceFailsNoted, nothing}})
}

// slowCounts is a desired state by which slow calls trip a guard too.
func slowCounts(variant int) []byte {
	return bytes.Replace(Desired(variant), []byte(`"failureRate"`), []byte(`"slowRate":0.5,"slowMicros":700000,"failureRate"`), 1)
}

// troubles puts some callers' networks in trouble, from one caller on, each in its way: late ones give up before any answer
// can come, slow ones get every answer late, as over a line that delays.
func troubles(first int, ways ...string) func(mesh *Mesh) {
	return func(mesh *Mesh) {
		for index, way := range ways {
			name := mesh.carriers[first+index]
			mesh.troubled[name] = way
			for _, other := range mesh.carriers {
				if mesh.troubled[name] == "slow" && other != name {
					mesh.World.Delay(name, other, 500*monotonic.Millisecond)
					mesh.World.Delay(other, name, 500*monotonic.Millisecond)
				}
			}
			mesh.History.Mark("troubled "+name, mesh.World.Now())
		}
	}
}

// leaps are how far a clock steps.
var leaps = []monotonic.Micros{1500 * monotonic.Millisecond, 5 * monotonic.Second, 30 * monotonic.Second, 10 * monotonic.Minute, 60 * monotonic.Minute}

func (mesh *Mesh) leap(node *world.Node) {
	span := pick(mesh, leaps)
	if mesh.World.Chance().IntN(2) == 0 {
		span = -span
	}
	mesh.log = append(mesh.log, fmt.Sprintf("%d %s leaps by %d", mesh.World.Now(), node.Name, span))
	mesh.World.Leap(node, span)
}

var (
	leapCore   = fault{"step a core process's clock", func(mesh *Mesh) { mesh.leap(pick(mesh, mesh.allCore())) }}
	leapLeader = fault{"step a primary's clock", func(mesh *Mesh) {
		if node := mesh.leader(pick(mesh, []string{"sorter", "postmaster"})); node != nil {
			mesh.leap(node)
		}
	}}
	leapCarrier = fault{"step a carrier's clock", func(mesh *Mesh) { mesh.leap(mesh.World.Node(pick(mesh, mesh.carriers))) }}
	// leapApart steps the postmasters' primary ahead while a carrier that holds a tenure is out of its reach, and applies.
	leapApart = fault{"step the postmasters' primary while a carrier is cut off", func(mesh *Mesh) {
		cutFromCore.bring(mesh)
		if node := mesh.leader("postmaster"); node != nil {
			mesh.later(300*monotonic.Millisecond, func() {
				mesh.World.Leap(node, 10*monotonic.Second)
				applyOne.bring(mesh)
			})
		}
	}}
)

func init() {
	add(Course{Name: "clocks", Short: "clocks that decide step forward and back, by seconds to an hour, among other failures", Sizes: small, Length: 60 * monotonic.Second, Rate: 40, Every: 2 * monotonic.Second,
		Rules: []int{1, 2, 3, 6, 7, 8, 10, 12}, First: []fault{serviceFails, leapApart, leapLeader},
		Faults: []fault{leapCore, leapLeader, leapLeader, leapCarrier, leapCarrier, leapApart, serviceFails, applyOne, manners, cutCarriers, killCarrier, freezeCarrier}})
}

var nothing = fault{"nothing more", func(*Mesh) {}}

var (
	cutTroubled = fault{"cut the troubled carrier from others, one way or both", func(mesh *Mesh) {
		mesh.cutFor(mesh.carriers[0], pick(mesh, mesh.carriers), mesh.World.Chance().IntN(2) == 0, mesh.span(500*monotonic.Millisecond, 6*monotonic.Second))
	}}
	serviceFailsNoted = fault{"make a whole service fail, and note when it's well again", func(mesh *Mesh) {
		found := mesh.live(pick(mesh, []string{"forms", "households"}))
		for _, one := range found {
			one.manner = "failing"
		}
		mesh.History.Mark("failing", mesh.World.Now())
		mesh.later(8*monotonic.Second, func() {
			for _, one := range found {
				one.manner = ""
			}
			mesh.History.Mark("recovered", mesh.World.Now())
		})
	}}
)

var (
	killEverything = fault{"power off everything", func(mesh *Mesh) {
		nodes := mesh.allCore()
		for _, name := range mesh.carriers {
			nodes = append(nodes, mesh.World.Node(name))
		}
		for _, node := range nodes {
			mesh.down([]*world.Node{node}, mesh.span(500*monotonic.Millisecond, 3*monotonic.Second), mesh.World.PowerLoss)
		}
	}}
	moveCore = fault{"move a core machine to other addresses", func(mesh *Mesh) {
		// The third machine stays, so that one of the three seeds is always right.
		for _, node := range mesh.coreNodes(pick(mesh, mesh.cores[:2])) {
			if node.Up() {
				mesh.World.Kill(node)
				node.Address = fmt.Sprintf("%s:%s:%d", node.Machine, node.Name, mesh.World.Now())
				mesh.later(mesh.span(200*monotonic.Millisecond, 2*monotonic.Second), func() { mesh.World.Start(node) })
			}
		}
	}}
	cutFromCore = fault{"cut a carrier from the whole core", func(mesh *Mesh) {
		victim, span := pick(mesh, mesh.carriers), mesh.span(3*monotonic.Second, 9*monotonic.Second)
		for _, core := range mesh.cores {
			mesh.cutFor(victim, core, true, span)
		}
	}}
	slowBackends = fault{"make half of all backends slow", func(mesh *Mesh) {
		for index, one := range mesh.live("") {
			if index%2 == 0 {
				one.manner = "slow"
				mesh.later(10*monotonic.Second, func() { one.manner = "" })
			}
		}
	}}
	// A carrier that wakes has what it was asked before its sleep in hand, and a tenure that is long over.
	freezeAndApply = fault{"freeze a carrier for long and apply", func(mesh *Mesh) {
		mesh.freeze(mesh.World.Node(pick(mesh, mesh.carriers)), 8*monotonic.Second)
		mesh.later(500*monotonic.Millisecond, func() { applyOne.bring(mesh) })
	}}
	drainCarrier = fault{"stop a carrier as planned", func(mesh *Mesh) {
		name := pick(mesh, mesh.carriers)
		node := mesh.World.Node(name)
		if !node.Up() || mesh.stopping[name] {
			return
		}
		mesh.stopping[name] = true
		life, over := mesh.lives[name], mesh.History.Plan("planned stop of "+name, mesh.World.Now())
		ended := false
		end := func() {
			if ended {
				return
			}
			ended = true
			mesh.World.Kill(node)
			over(mesh.World.Now())
			mesh.later(200*monotonic.Millisecond, func() {
				mesh.stopping[name], mesh.shut[name] = false, false
				mesh.World.Start(node)
			})
		}
		// The platform kills what hasn't ended a few seconds after its warning.
		mesh.later(pick(mesh, []monotonic.Micros{3, 4, 5})*monotonic.Second, end)
		mesh.Outside.Go(func() {
			_, _ = mesh.Outside.Transact(node.Address, 20*monotonic.Second, func(*world.Node) ([]byte, error) {
				if !mesh.breakage.NoDrain {
					life.Drain(mesh.grace, func() { mesh.shut[name] = true })
				}
				return nil, nil
			})
			mesh.World.At(mesh.World.Now(), end)
		})
	}}
	handOver = fault{"stop a primary as planned", func(mesh *Mesh) {
		node := mesh.leader(pick(mesh, []string{"sorter", "postmaster"}))
		if node == nil {
			return
		}
		over := mesh.History.Plan("planned stop of "+node.Name, mesh.World.Now())
		mesh.Outside.Go(func() {
			_, _ = mesh.Outside.Transact(node.Address, 5*monotonic.Second, func(*world.Node) ([]byte, error) {
				if one := mesh.sorters[node.Name]; one != nil {
					one.Member.TransferLeadership("planned")
				} else {
					mesh.masters[node.Name].Member.TransferLeadership("planned")
				}
				return nil, nil
			})
			mesh.World.At(mesh.World.Now(), func() {
				mesh.World.Kill(node)
				over(mesh.World.Now())
				mesh.later(300*monotonic.Millisecond, func() { mesh.World.Start(node) })
			})
		})
	}}
	loseDisk = fault{"lose a core machine's disk", func(mesh *Mesh) {
		// One core machine may be lost; the next is only lost once both groups have two copies again.
		if mesh.leader("sorter") == nil || mesh.leader("postmaster") == nil || mesh.World.Now() < mesh.lossFrom {
			return
		}
		mesh.lossFrom = mesh.World.Now() + 20*monotonic.Second
		mesh.down(mesh.coreNodes(pick(mesh, mesh.cores)), mesh.span(200*monotonic.Millisecond, 5*monotonic.Second), mesh.World.LoseDisk)
	}}
	powerAtAcknowledgement = fault{"power off the whole core at an acknowledgement", func(mesh *Mesh) {
		mesh.atAcknowledgement(func() { killAllCore.bring(mesh) })
	}}
	diskAtAcknowledgement = fault{"lose the disk of the postmaster's primary at an acknowledgement", func(mesh *Mesh) {
		mesh.atAcknowledgement(func() {
			// One core machine may be lost; the next is only lost once both groups have two copies again.
			if node := mesh.leader("postmaster"); node != nil && mesh.leader("sorter") != nil && mesh.World.Now() >= mesh.lossFrom {
				mesh.lossFrom = mesh.World.Now() + 20*monotonic.Second
				mesh.down(mesh.coreNodes(node.Machine), mesh.span(200*monotonic.Millisecond, 5*monotonic.Second), mesh.World.LoseDisk)
			}
		})
	}}
	twoDisksAtAcknowledgement = fault{"lose the disks of the postmaster's primary and of a backup at an acknowledgement", func(mesh *Mesh) {
		mesh.atAcknowledgement(func() {
			// Two core machines may be lost; the next only once both groups have three copies again.
			master, registry := mesh.leader("postmaster"), mesh.leader("sorter")
			if master == nil || registry == nil || mesh.World.Now() < mesh.lossFrom {
				return
			}
			backups := mesh.masters[master.Name].Member.Backups()
			if len(backups) < 2 || len(mesh.sorters[registry.Name].Member.Backups()) < 2 {
				return
			}
			mesh.lossFrom = mesh.World.Now() + 20*monotonic.Second
			for _, machine := range []string{master.Machine, mesh.World.Node(pick(mesh, backups)).Machine} {
				mesh.down(mesh.coreNodes(machine), mesh.span(200*monotonic.Millisecond, 5*monotonic.Second), mesh.World.LoseDisk)
			}
			mesh.History.Mark("two disks lost", mesh.World.Now())
		})
	}}
	machineComes = fault{"a core machine comes that was never there", func(mesh *Mesh) { mesh.come() }}
	// A core machine goes for good; a blank one, with another name and address, comes a while later or has come before.
	machineExchanged = func(ahead, after monotonic.Micros) fault {
		return fault{"exchange a core machine", func(mesh *Mesh) {
			oldest := mesh.cores[0]
			mesh.later(ahead, func() { mesh.retire(oldest) })
			mesh.later(after, func() { mesh.come() })
		}}
	}
	damageDisk = fault{"damage a record file of a core machine", func(mesh *Mesh) {
		if mesh.leader("sorter") == nil || mesh.leader("postmaster") == nil || mesh.World.Now() < mesh.lossFrom {
			return
		}
		mesh.lossFrom = mesh.World.Now() + 20*monotonic.Second
		node := pick(mesh, mesh.allCore())
		mesh.down([]*world.Node{node}, monotonic.Second, mesh.World.Kill)
		group := strings.SplitN(node.Name, "-", 2)[0]
		node.Disk.Corrupt(group+".journal", mesh.World.Chance().IntN(40))
	}}
)

// come starts a core machine that was never there before.
func (mesh *Mesh) come() {
	var seeds []string
	for _, node := range mesh.allCore() {
		if node.Up() {
			seeds = append(seeds, node.Address)
		}
	}
	for _, node := range mesh.coreNodes(mesh.addMachine(seeds)) {
		node.Disk.SyncDelay = mesh.sync
		mesh.World.Start(node)
	}
}

// retire ends a core machine for good.
func (mesh *Mesh) retire(machine string) {
	mesh.retired[machine] = true
	mesh.cores = slices.DeleteFunc(mesh.cores, func(name string) bool { return name == machine })
	for _, node := range mesh.coreNodes(machine) {
		mesh.World.LoseDisk(node)
	}
}

// loseAfterWrites has a sorter that has just acknowledged a claim, a void, a probe or a guard's write lose its machine's power, or
// its disk, or the whole core lose power, within the milliseconds in which the answer is on its way. Each kind has its turn.
func loseAfterWrites(mesh *Mesh) {
	turns := []wire.Kind{wire.Kind_claim, wire.Kind_breaker_write, wire.Kind_claim, wire.Kind_probe_lease, wire.Kind_void_claim}
	turn := 0
	mesh.afterWrite = func(node *world.Node, kind wire.Kind) {
		if mesh.World.Now() < mesh.lossFrom || !mesh.serving || kind != turns[turn%len(turns)] || mesh.World.Chance().IntN(3) > 0 {
			return
		}
		turn++
		// One core machine may be lost; the next is only lost once both groups have two copies again.
		mesh.lossFrom = mesh.World.Now() + 12*monotonic.Second
		end := pick(mesh, []func(*world.Node){mesh.World.PowerLoss, mesh.World.LoseDisk, nil})
		mesh.log = append(mesh.log, fmt.Sprintf("%d %s loses all but its word after a %s", mesh.World.Now(), node.Name, kind))
		mesh.later(mesh.span(0, 3*monotonic.Millisecond), func() {
			if end == nil {
				killAllCore.bring(mesh)
				return
			}
			mesh.down(mesh.coreNodes(node.Machine), mesh.span(200*monotonic.Millisecond, 4*monotonic.Second), end)
		})
	}
}

// fewPlaces is a desired state by which backends take few requests at once.
func fewPlaces(variant int) []byte {
	return bytes.Replace(Desired(variant), []byte(`"limits":{`), []byte(`"limits":{"inFlightPerBackend":8,`), 1)
}

// rush has ten times the traffic come for a while, in its shares of reads and submissions, lookups and all.
var rush = fault{"a rush", func(mesh *Mesh) {
	mesh.rushes++
	until := mesh.World.Now() + 4*monotonic.Second
	mesh.sending(mesh.rushes*1_000_000, 300, func() bool { return mesh.serving && mesh.World.Now() < until })
}}

// closingWith has other failures happen at the moment in which all power is lost.
func closingWith(others ...fault) fault {
	name := "power off everything"
	for _, other := range others {
		name += ", and " + other.name
	}
	return fault{name, func(mesh *Mesh) {
		for _, other := range others {
			other.bring(mesh)
		}
		killEverything.bring(mesh)
	}}
}

func init() {
	add(Course{Name: "core", Short: "the core's failures alone: kills, power, disks, cuts, freezes, planned stops", Sizes: small, Length: 50 * monotonic.Second, Rate: 40, Every: 3 * monotonic.Second,
		Rules: []int{1, 3, 6, 7, 10, 12}, First: []fault{serviceFails, applyOne, killLeader},
		Faults: []fault{killCore, killLeader, killAllCore, powerLoss, freezeCore, freezeLeader, cutCore, slowDisk, fullDisk, failSync, loseDisk, damageDisk, handOver, applyOne, applyRace, moveCore}})
	add(Course{Name: "acknowledged", Short: "power of the whole core, or one machine's disk, lost at the moment of an acknowledgement", Sizes: small, Length: 40 * monotonic.Second, Rate: 25, Every: 9 * monotonic.Second,
		Rules: []int{1, 3, 7, 12}, First: []fault{powerAtAcknowledgement, diskAtAcknowledgement},
		Faults: []fault{powerAtAcknowledgement, diskAtAcknowledgement}})
	add(Course{Name: "rush", Short: "ten times the traffic at backends with few places, while backends misbehave, carriers and primaries end and the core loses power", Sizes: small, Content: fewPlaces,
		Length: 40 * monotonic.Second, Rate: 30, Every: 3 * monotonic.Second, Rules: []int{1, 2, 3, 8, 12}, Prepare: func(mesh *Mesh) { mesh.labour = 150 * monotonic.Millisecond },
		First:  []fault{rush, manners, rush},
		Faults: []fault{rush, rush, manners, killCarrier, killLeader, killAllCore, freezeCarrier, replaceBackend}})
	add(Course{Name: "written", Short: "a sorter's machine, its disk, or the whole core's power lost right after it acknowledged a claim, a void, a probe or a guard's write", Sizes: small,
		Length: 70 * monotonic.Second, Rate: 40, Every: 12 * monotonic.Second, Rules: []int{1, 2, 3, 10, 12}, Prepare: loseAfterWrites,
		First: []fault{serviceFails}, Faults: []fault{serviceFails, manners}})
	add(Course{Name: "closing", Short: "power lost everywhere, more than once; who votes stands on the disks alone", Sizes: found, Length: 40 * monotonic.Second, Rate: 25, Every: 8 * monotonic.Second,
		Rules: []int{1, 3, 7, 12}, First: []fault{applyOne},
		Faults: []fault{killEverything, killEverything, applyOne, moveCore}})
	add(Course{Name: "combined", Short: "power lost everywhere while one core machine loses its disk, moves, or comes back with a slow or damaged one", Sizes: small, Length: 40 * monotonic.Second, Rate: 30, Every: 9 * monotonic.Second,
		Rules: []int{1, 3, 7, 12}, First: []fault{applyOne},
		Faults: []fault{closingWith(loseDisk), closingWith(moveCore), closingWith(slowDisk), closingWith(damageDisk), closingWith(loseDisk, moveCore), applyOne}})
	add(Course{Name: "configurations", Short: "configurations change while carriers are cut, frozen and restarted", Sizes: small, Length: 40 * monotonic.Second, Rate: 30, Every: 1500 * monotonic.Millisecond,
		Rules: []int{3, 5, 6, 7}, First: []fault{freezeAndApply, cutFromCore, applyOne},
		Faults: []fault{cutFromCore, cutFromCore, freezeCarrier, killCarrier, killLeader, applyOne, applyOne, applyRace, applyStorm, drainCarrier, handOver}})
	add(Course{Name: "backends", Short: "backends replaced, ended, their addresses reused, misbehaving", Sizes: small, Length: 40 * monotonic.Second, Rate: 40, Every: monotonic.Second,
		Rules: []int{1, 2, 3, 4, 5, 8}, First: []fault{replaceBackend, reuseAddress, serviceFails},
		Faults: []fault{replaceBackend, reuseAddress, manners, manners, serviceFails, cutCarriers, killCarrier}})
	add(Course{Name: "drains", Short: "planned stops of carriers and primaries under traffic", Sizes: small, Length: 40 * monotonic.Second, Rate: 40, Every: 3 * monotonic.Second,
		Rules: []int{1, 3, 9}, Prepare: func(mesh *Mesh) { mesh.onlyPlanned = true }, First: []fault{slowBackends, drainCarrier, handOver},
		Faults: []fault{drainCarrier, drainCarrier, handOver, applyOne, slowBackends}})
	add(Course{Name: "guards", Short: "services fail and recover while callers and the record's holder die", Sizes: small, Length: 50 * monotonic.Second, Rate: 40, Every: 2 * monotonic.Second,
		Rules: []int{2, 8, 10}, First: []fault{serviceFails},
		Faults: []fault{serviceFails, serviceFails, killCarrier, killLeader, freezeCarrier, freezeLeader, powerLoss, cutCarrier}})
}

// Result is how a run ended.
type Result struct {
	Seed     uint64
	Course   string
	Findings []invariants.Finding
	Seen     map[int]int
	Served   int
	Sent     int
	Faults   []string
	Digest   uint64
	Events   uint64
	// Taken holds how long each served request took, by kind, sorted.
	Taken    map[string][]monotonic.Micros
	Log      []string
	Panicked any
}

// Run plays a course with a seed.
func Run(course Course, seed uint64, breakage Breakage) Result {
	mesh := Build(seed, course.Sizes, breakage)
	defer mesh.World.Close()
	result := Result{Seed: seed, Course: course.Name, Taken: map[string][]monotonic.Micros{}}
	mesh.sync = max(course.Sync, 200)
	for _, node := range mesh.allCore() {
		node.Disk.SyncDelay = mesh.sync
	}
	content := course.Content
	if content == nil {
		content = Desired
	}
	mesh.Outside.Go(func() { mesh.apply(content(0), false, 0, 20*monotonic.Second) })
	mesh.World.Run(mesh.World.Now() + 8*monotonic.Second)
	if course.Prepare != nil {
		course.Prepare(mesh)
	}
	if course.Traffic != nil {
		mesh.serving = true
		course.Traffic(mesh, course.Rate)
	} else {
		mesh.serve(course.Rate)
	}
	mesh.watch()
	end := mesh.World.Now() + course.Length
	first := course.First
	var next func()
	next = func() {
		if mesh.World.Now() >= end-5*monotonic.Second {
			return
		}
		chosen := pick(mesh, course.Faults)
		if len(first) > 0 {
			chosen, first = first[0], first[1:]
		}
		result.Faults = append(result.Faults, fmt.Sprintf("%d %s", mesh.World.Now(), chosen.name))
		mesh.log = append(mesh.log, fmt.Sprintf("%d FAULT %s", mesh.World.Now(), chosen.name))
		chosen.bring(mesh)
		mesh.later(mesh.span(course.Every/2, course.Every*3/2), next)
	}
	mesh.later(mesh.span(course.Every/2, course.Every*3/2), next)
	mesh.World.Run(end)
	mesh.heal()
	mesh.World.Run(end + 18*monotonic.Second)
	mesh.serving = false
	mesh.World.Run(mesh.World.Now() + 20*monotonic.Second)
	mesh.Outside.Go(mesh.readBack)
	mesh.World.Run(mesh.World.Now() + 20*monotonic.Second)
	result.Findings, result.Seen = invariants.Inspect(mesh.History)
	for _, rule := range course.Rules {
		if result.Seen[rule] == 0 {
			result.Findings = append(result.Findings, invariants.Finding{Rule: rule, Text: "its checker saw nothing", Blind: true})
		}
	}
	for _, check := range course.Checks {
		findings, _ := check.Run(mesh.History)
		result.Findings = append(result.Findings, findings...)
	}
	if !mesh.History.Read {
		result.Findings = append(result.Findings, invariants.Finding{Rule: 7, Text: "the history could not be read back", Blind: true})
	}
	for _, attempt := range mesh.History.Attempts {
		result.Sent++
		if !attempt.Mesh && attempt.Status == 200 {
			result.Served++
			result.Taken[attempt.Kind] = append(result.Taken[attempt.Kind], attempt.Ended-attempt.Sent)
		}
	}
	for _, taken := range result.Taken {
		slices.Sort(taken)
	}
	result.Digest, result.Events, result.Log, result.Panicked = mesh.World.Digest(), mesh.World.Events, mesh.log, mesh.World.Panicked
	if result.Panicked != nil {
		result.Findings = append(result.Findings, invariants.Finding{Text: fmt.Sprint(result.Panicked)})
	}
	return result
}

// heal ends every failure; from this moment the machines count as returned.
func (mesh *Mesh) heal() {
	mesh.World.Mend()
	for _, node := range mesh.World.Nodes() {
		node.Disk.Capacity, node.Disk.FailSyncs, node.Disk.SyncDelay = 0, 0, mesh.sync
		mesh.World.Thaw(node)
		if mesh.retired[node.Machine] {
			continue
		}
		if mesh.breakage.NoReturn && node.Machine == mesh.cores[0] || mesh.breakage.NoReturn && node.Machine == mesh.cores[1] {
			mesh.World.Kill(node)
			continue
		}
		mesh.World.Start(node)
	}
	for _, one := range mesh.backends {
		one.manner = ""
	}
	mesh.troubled = nil
	mesh.History.Mark("untroubled", mesh.World.Now())
	mesh.History.Mark("returned", mesh.World.Now())
}
