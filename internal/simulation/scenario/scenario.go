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

// Scenario is one kind of simulated run: which faults it brings about, and the rules that must have seen something.
type Scenario struct {
	Name     string
	Summary  string
	Sizes    Topology
	Duration monotonic.Micros
	Rate     int
	Rules    []int
	Faults   []fault
	// InitialFaults are brought about before chance chooses, so that every rule has something to look at.
	InitialFaults []fault
	// FaultInterval is the mean pause between faults.
	FaultInterval monotonic.Micros
	// Prepare may set the mesh up further before traffic starts.
	Prepare func(mesh *Mesh)
	// DesiredState makes the desired states, Desired if left out.
	DesiredState func(variant int) []byte
	// GenerateTraffic has callers send at the course's rate while mesh.serving, Mesh.serve's if left out.
	GenerateTraffic func(mesh *Mesh, perSecond int)
	// Checks are made besides the rules.
	Checks []invariants.Check
	// SyncDuration is how long the core's disks take for one sync, 200 microseconds if left out.
	SyncDuration monotonic.Micros
}

// fault brings one failure about. It may end it by itself later; heal ends all.
type fault struct {
	name   string
	inject func(mesh *Mesh)
}

var smallTopology = Topology{Cores: 3, Proxies: 4, Zones: 2, Backends: 3}

// found is a small core whose processes know their voters at the first start only.
var discoveredTopology = Topology{Cores: 3, Proxies: 4, Zones: 2, Backends: 3, DiscoverVoters: true}
var fourZoneTopology = Topology{Cores: 4, Proxies: 4, Zones: 4, Backends: 3}

func pick[Item any](mesh *Mesh, items []Item) Item {
	return items[mesh.World.Rand().IntN(len(items))]
}

func (m *Mesh) after(delay monotonic.Micros, action func()) {
	m.World.At(m.World.Now()+delay, action)
}

func (m *Mesh) randomDuration(low, high monotonic.Micros) monotonic.Micros {
	return low + monotonic.Micros(m.World.Rand().Uint64N(uint64(high-low)))
}

// coreNodes are a core machine's processes.
func (m *Mesh) coreNodes(machine string) (nodes []*world.Node) {
	for _, node := range m.World.Nodes() {
		if node.Machine == machine {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

func (m *Mesh) restartAfter(nodes []*world.Node, downtime monotonic.Micros, stop func(*world.Node)) {
	for _, node := range nodes {
		if !node.Up() {
			continue
		}
		stop(node)
		m.after(downtime, func() { m.World.Start(node) })
	}
}

func (m *Mesh) allCoreNodes() (nodes []*world.Node) {
	for _, machine := range m.coreMachines {
		nodes = append(nodes, m.coreNodes(machine)...)
	}
	return nodes
}

// leaders are the processes that answer now.
func (m *Mesh) primary(group string) *world.Node {
	for _, node := range m.World.Nodes() {
		if !node.Up() {
			continue
		}
		if service := m.registries[node.Name]; group == "sorter" && service != nil && service.Member.Serving() {
			return node
		}
		if service := m.configStores[node.Name]; group == "postmaster" && service != nil && service.Member.Serving() {
			return node
		}
	}
	return nil
}

var (
	killProxy = fault{"kill a carrier", func(mesh *Mesh) {
		node := mesh.World.Node(pick(mesh, mesh.proxyNames))
		mesh.restartAfter([]*world.Node{node}, mesh.randomDuration(100*monotonic.Millisecond, 5*monotonic.Second), mesh.World.Kill)
	}}
	killCoreProcess = fault{"kill a core process", func(mesh *Mesh) {
		mesh.restartAfter([]*world.Node{pick(mesh, mesh.allCoreNodes())}, mesh.randomDuration(100*monotonic.Millisecond, 5*monotonic.Second), mesh.World.Kill)
	}}
	killPrimary = fault{"kill a primary", func(mesh *Mesh) {
		if node := mesh.primary(pick(mesh, []string{"sorter", "postmaster"})); node != nil {
			mesh.restartAfter([]*world.Node{node}, mesh.randomDuration(100*monotonic.Millisecond, 5*monotonic.Second), mesh.World.Kill)
		}
	}}
	powerOffCore = fault{"power off the whole core", func(mesh *Mesh) {
		mesh.restartAfter(mesh.allCoreNodes(), mesh.randomDuration(500*monotonic.Millisecond, 3*monotonic.Second), mesh.World.PowerLoss)
	}}
	powerOffCoreMachine = fault{"power off a core machine", func(mesh *Mesh) {
		mesh.restartAfter(mesh.coreNodes(pick(mesh, mesh.coreMachines)), mesh.randomDuration(200*monotonic.Millisecond, 5*monotonic.Second), mesh.World.PowerLoss)
	}}
	freezeCore = fault{"freeze a core process", func(mesh *Mesh) {
		mesh.freezeNode(pick(mesh, mesh.allCoreNodes()), mesh.randomDuration(300*monotonic.Millisecond, 6*monotonic.Second))
	}}
	freezePrimary = fault{"freeze a primary", func(mesh *Mesh) {
		if node := mesh.primary(pick(mesh, []string{"sorter", "postmaster"})); node != nil {
			mesh.freezeNode(node, mesh.randomDuration(300*monotonic.Millisecond, 6*monotonic.Second))
		}
	}}
	freezeProxy = fault{"freeze a carrier", func(mesh *Mesh) {
		mesh.freezeNode(mesh.World.Node(pick(mesh, mesh.proxyNames)), mesh.randomDuration(300*monotonic.Millisecond, 8*monotonic.Second))
	}}
	partitionCore = fault{"cut a core machine from another, one way or both", func(mesh *Mesh) {
		one, other := pick(mesh, mesh.coreMachines), pick(mesh, mesh.coreMachines)
		mesh.partitionFor(one, other, mesh.World.Rand().IntN(2) == 0, mesh.randomDuration(500*monotonic.Millisecond, 6*monotonic.Second))
	}}
	isolateMachine = fault{"isolate a machine", func(mesh *Mesh) {
		machines := append(append([]string(nil), mesh.coreMachines...), mesh.proxyNames...)
		one := pick(mesh, machines)
		duration := mesh.randomDuration(500*monotonic.Millisecond, 8*monotonic.Second)
		for _, other := range append(machines, "outside") {
			if other != one {
				mesh.partitionFor(one, other, true, duration)
			}
		}
	}}
	partitionProxyFromCore = fault{"cut a carrier from a core machine", func(mesh *Mesh) {
		mesh.partitionFor(pick(mesh, mesh.proxyNames), pick(mesh, mesh.coreMachines), mesh.World.Rand().IntN(2) == 0, mesh.randomDuration(500*monotonic.Millisecond, 8*monotonic.Second))
	}}
	partitionProxies = fault{"cut a carrier from another", func(mesh *Mesh) {
		mesh.partitionFor(pick(mesh, mesh.proxyNames), pick(mesh, mesh.proxyNames), mesh.World.Rand().IntN(2) == 0, mesh.randomDuration(500*monotonic.Millisecond, 8*monotonic.Second))
	}}
	slowDisk = fault{"slow a core disk", func(mesh *Mesh) {
		disk := pick(mesh, mesh.allCoreNodes()).Disk
		disk.SyncDelay = mesh.randomDuration(100*monotonic.Millisecond, monotonic.Second)
		mesh.after(mesh.randomDuration(monotonic.Second, 8*monotonic.Second), func() { disk.SyncDelay = mesh.syncDuration })
	}}
	fillDisk = fault{"fill a core disk", func(mesh *Mesh) {
		disk := pick(mesh, mesh.allCoreNodes()).Disk
		disk.Capacity = disk.Used() + mesh.World.Rand().IntN(4000)
		mesh.after(mesh.randomDuration(monotonic.Second, 8*monotonic.Second), func() { disk.Capacity = 0 })
	}}
	failSync         = fault{"fail a sync", func(mesh *Mesh) { pick(mesh, mesh.allCoreNodes()).Disk.FailSyncs = 1 }}
	misbehaveBackend = fault{"make a backend misbehave", func(mesh *Mesh) {
		if found := mesh.liveBackends(""); len(found) > 0 {
			one := pick(mesh, found)
			one.behavior = pick(mesh, []string{"failing", "losing", "short", "not_executed", "slow", "mixed"})
			mesh.after(mesh.randomDuration(monotonic.Second, 8*monotonic.Second), func() { one.behavior = "" })
		}
	}}
	failService = fault{"make a whole service fail", func(mesh *Mesh) {
		service := pick(mesh, []string{"forms", "households"})
		behavior := pick(mesh, []string{"failing", "not_executed", "losing"})
		found := mesh.liveBackends(service)
		for _, one := range found {
			one.behavior = behavior
		}
		mesh.after(mesh.randomDuration(7*monotonic.Second, 10*monotonic.Second), func() {
			for _, one := range found {
				one.behavior = ""
			}
		})
	}}
	replaceBackend = fault{"replace a backend", func(mesh *Mesh) {
		if found := mesh.liveBackends(""); len(found) > 0 {
			one := pick(mesh, found)
			mesh.startBackend(one.service, pick(mesh, mesh.proxyNames), fmt.Sprintf("%s:%d", one.proxy, 9000+mesh.nextID), 0)
			mesh.drainBackend(one)
		}
	}}
	reuseAddress = fault{"end a backend and reuse its address for another service", func(mesh *Mesh) {
		found := mesh.liveBackends("")
		if len(found) < 4 {
			return
		}
		one := pick(mesh, found)
		one.up = false
		other := map[string]string{"forms": "households", "households": "forms"}[one.service]
		mesh.after(2*monotonic.Second, func() { mesh.startBackend(other, one.proxy, one.address, mesh.randomDuration(0, 4*monotonic.Second)) })
		mesh.startBackend(one.service, pick(mesh, mesh.proxyNames), fmt.Sprintf("%s:%d", one.proxy, 9000+mesh.nextID), 0)
	}}
	applyConfig = fault{"apply a desired state", func(mesh *Mesh) {
		variant := mesh.World.Rand().IntN(1 << 20)
		mesh.External.Go(func() { mesh.applyDesired(Desired(variant), true, 0, 30*monotonic.Second) })
	}}
	applyConfigRace = fault{"two operators race", func(mesh *Mesh) {
		expected := mesh.latestVersion
		for range 2 {
			variant := mesh.World.Rand().IntN(1 << 20)
			mesh.External.Go(func() { mesh.applyDesired(Desired(variant), false, expected, 30*monotonic.Second) })
		}
	}}
	applyConfigBurst = fault{"a storm of desired states, some invalid", func(mesh *Mesh) {
		for number := range 6 {
			content := Desired(mesh.World.Rand().IntN(1 << 20))
			if number%3 == 2 {
				content = []byte(strings.Replace(string(content), `"class":"once"`, `"class":"twice"`, 1))
			}
			mesh.after(monotonic.Micros(number)*150*monotonic.Millisecond, func() {
				mesh.External.Go(func() { mesh.applyDesired(content, true, 0, 30*monotonic.Second) })
			})
		}
	}}
)

func (m *Mesh) freezeNode(node *world.Node, duration monotonic.Micros) {
	if m.defects.ClockStopsWhileFrozen {
		m.World.Suspend(node, duration)
		return
	}
	m.World.Freeze(node, duration)
}

// atAcknowledgement applies a desired state and has something happen at the moment in which its operator is told.
func (m *Mesh) atAcknowledgement(action func()) {
	variant := m.World.Rand().IntN(1 << 20)
	m.External.Go(func() {
		if response := m.applyDesired(Desired(variant), true, 0, 8*monotonic.Second); response != nil && response.Outcome == "accepted" {
			m.World.At(m.World.Now(), action)
		}
	})
}

func (m *Mesh) partitionFor(one, other string, both bool, duration monotonic.Micros) {
	if one == other {
		return
	}
	m.World.Partition(one, other)
	if both {
		m.World.Partition(other, one)
	}
	m.after(duration, func() { m.World.HealPartition(one, other) })
}

// Scenarios are the kinds of runs by name.
var Scenarios = map[string]Scenario{}

func register(scenario Scenario) { Scenarios[scenario.Name] = scenario }

func init() {
	all := []fault{killProxy, killCoreProcess, killPrimary, powerOffCore, powerOffCoreMachine, freezeCore, freezePrimary, freezeProxy, partitionCore, isolateMachine, partitionProxyFromCore, partitionProxies,
		slowDisk, fillDisk, failSync, misbehaveBackend, failService, replaceBackend, reuseAddress, applyConfig, applyConfigRace, applyConfigBurst, powerOffEverything, moveCoreMachine}
	register(Scenario{Name: "calm", Summary: "no failure", Sizes: smallTopology, Duration: 20 * monotonic.Second, Rate: 30, Rules: []int{1, 3, 5, 6, 7, 8}, FaultInterval: monotonic.Minute,
		Faults: []fault{applyConfig}})
	register(Scenario{Name: "everything", Summary: "all failures together", Sizes: smallTopology, Duration: 60 * monotonic.Second, Rate: 25, FaultInterval: 2 * monotonic.Second, InitialFaults: []fault{failService, replaceBackend, applyConfig, reuseAddress},
		Rules:  []int{1, 2, 3, 4, 5, 6, 7, 8, 10, 12},
		Faults: all})
	for name, topology := range map[string]Topology{"association": {Cores: 3, Proxies: 16, Zones: 3, Backends: 5}, "raahbar": {Cores: 4, Proxies: 12, Zones: 4, Backends: 4}} {
		register(Scenario{Name: name, Summary: "all failures together, several at a time, at a deployment's shape", Sizes: topology, Duration: 40 * monotonic.Second, Rate: 60, FaultInterval: 900 * monotonic.Millisecond,
			InitialFaults: []fault{failService, replaceBackend, applyConfig, reuseAddress}, Rules: []int{1, 2, 3, 4, 5, 6, 7, 8, 12}, Faults: all})
	}
	register(Scenario{Name: "four", Summary: "all failures together, four core machines in four zones", Sizes: fourZoneTopology, Duration: 60 * monotonic.Second, Rate: 25, FaultInterval: 2 * monotonic.Second, InitialFaults: []fault{failService, replaceBackend, applyConfig, reuseAddress},
		Rules:  []int{1, 2, 3, 4, 5, 6, 7, 8, 10, 12},
		Faults: all})
}

func init() {
	register(Scenario{Name: "troubled", Summary: "one caller's network in trouble, all others well", Sizes: smallTopology, Duration: 40 * monotonic.Second, Rate: 40, FaultInterval: 4 * monotonic.Second,
		Rules: []int{1, 3, 11}, Prepare: degradeNetworks(0, "late"), Faults: []fault{partitionTroubledProxy, applyConfig}})
	register(Scenario{Name: "trials", Summary: "a service fails and recovers again and again while two of eight callers' networks are in trouble", Sizes: Topology{Cores: 3, Proxies: 8, Zones: 2, Backends: 3},
		Duration: 60 * monotonic.Second, Rate: 80, FaultInterval: 12 * monotonic.Second,
		Rules: []int{1, 3, 8, 10, 11}, Prepare: degradeNetworks(6, "slow", "slow"), DesiredState: desiredWithSlowRate, InitialFaults: []fault{failServiceMarked, noFault, noFault}, Faults: []fault{failServiceMarked, noFault}})
}

// desiredWithSlowRate is a desired state by which slow calls trip a guard too.
func desiredWithSlowRate(variant int) []byte {
	return bytes.Replace(Desired(variant), []byte(`"failureRate"`), []byte(`"slowRate":0.5,"slowMicros":700000,"failureRate"`), 1)
}

// troubles puts some callers' networks in trouble, from one caller on, each in its way: late ones give up before any answer
// can come, slow ones get every answer late, as over a line that delays.
func degradeNetworks(first int, ways ...string) func(mesh *Mesh) {
	return func(mesh *Mesh) {
		for index, way := range ways {
			name := mesh.proxyNames[first+index]
			mesh.troubled[name] = way
			for _, other := range mesh.proxyNames {
				if mesh.troubled[name] == "slow" && other != name {
					mesh.World.Delay(name, other, 500*monotonic.Millisecond)
					mesh.World.Delay(other, name, 500*monotonic.Millisecond)
				}
			}
			mesh.History.RecordMarker("troubled "+name, mesh.World.Now())
		}
	}
}

// leaps are how far a clock steps.
var clockSteps = []monotonic.Micros{1500 * monotonic.Millisecond, 5 * monotonic.Second, 30 * monotonic.Second, 10 * monotonic.Minute, 60 * monotonic.Minute}

func (m *Mesh) stepClock(node *world.Node) {
	duration := pick(m, clockSteps)
	if m.World.Rand().IntN(2) == 0 {
		duration = -duration
	}
	m.log = append(m.log, fmt.Sprintf("%d %s leaps by %d", m.World.Now(), node.Name, duration))
	m.World.StepClock(node, duration)
}

var (
	stepCoreClock    = fault{"step a core process's clock", func(mesh *Mesh) { mesh.stepClock(pick(mesh, mesh.allCoreNodes())) }}
	stepPrimaryClock = fault{"step a primary's clock", func(mesh *Mesh) {
		if node := mesh.primary(pick(mesh, []string{"sorter", "postmaster"})); node != nil {
			mesh.stepClock(node)
		}
	}}
	stepProxyClock = fault{"step a carrier's clock", func(mesh *Mesh) { mesh.stepClock(mesh.World.Node(pick(mesh, mesh.proxyNames))) }}
	// stepPrimaryClockDuringPartition steps the postmasters' primary ahead while a carrier that holds a tenure is out of its reach, and applies.
	stepPrimaryClockDuringPartition = fault{"step the postmasters' primary while a carrier is cut off", func(mesh *Mesh) {
		isolateProxyFromCore.inject(mesh)
		if node := mesh.primary("postmaster"); node != nil {
			mesh.after(300*monotonic.Millisecond, func() {
				mesh.World.StepClock(node, 10*monotonic.Second)
				applyConfig.inject(mesh)
			})
		}
	}}
)

func init() {
	register(Scenario{Name: "clocks", Summary: "clocks that decide step forward and back, by seconds to an hour, among other failures", Sizes: smallTopology, Duration: 60 * monotonic.Second, Rate: 40, FaultInterval: 2 * monotonic.Second,
		Rules: []int{1, 2, 3, 6, 7, 8, 10, 12}, InitialFaults: []fault{failService, stepPrimaryClockDuringPartition, stepPrimaryClock},
		Faults: []fault{stepCoreClock, stepPrimaryClock, stepPrimaryClock, stepProxyClock, stepProxyClock, stepPrimaryClockDuringPartition, failService, applyConfig, misbehaveBackend, partitionProxies, killProxy, freezeProxy}})
}

var noFault = fault{"nothing more", func(*Mesh) {}}

var (
	partitionTroubledProxy = fault{"cut the troubled carrier from others, one way or both", func(mesh *Mesh) {
		mesh.partitionFor(mesh.proxyNames[0], pick(mesh, mesh.proxyNames), mesh.World.Rand().IntN(2) == 0, mesh.randomDuration(500*monotonic.Millisecond, 6*monotonic.Second))
	}}
	failServiceMarked = fault{"make a whole service fail, and note when it's well again", func(mesh *Mesh) {
		found := mesh.liveBackends(pick(mesh, []string{"forms", "households"}))
		for _, one := range found {
			one.behavior = "failing"
		}
		mesh.History.RecordMarker("failing", mesh.World.Now())
		mesh.after(8*monotonic.Second, func() {
			for _, one := range found {
				one.behavior = ""
			}
			mesh.History.RecordMarker("recovered", mesh.World.Now())
		})
	}}
)

var (
	powerOffEverything = fault{"power off everything", func(mesh *Mesh) {
		nodes := mesh.allCoreNodes()
		for _, name := range mesh.proxyNames {
			nodes = append(nodes, mesh.World.Node(name))
		}
		for _, node := range nodes {
			mesh.restartAfter([]*world.Node{node}, mesh.randomDuration(500*monotonic.Millisecond, 3*monotonic.Second), mesh.World.PowerLoss)
		}
	}}
	moveCoreMachine = fault{"move a core machine to other addresses", func(mesh *Mesh) {
		// The third machine stays, so that one of the three seeds is always right.
		for _, node := range mesh.coreNodes(pick(mesh, mesh.coreMachines[:2])) {
			if node.Up() {
				mesh.World.Kill(node)
				node.Address = fmt.Sprintf("%s:%s:%d", node.Machine, node.Name, mesh.World.Now())
				mesh.after(mesh.randomDuration(200*monotonic.Millisecond, 2*monotonic.Second), func() { mesh.World.Start(node) })
			}
		}
	}}
	isolateProxyFromCore = fault{"cut a carrier from the whole core", func(mesh *Mesh) {
		victim, duration := pick(mesh, mesh.proxyNames), mesh.randomDuration(3*monotonic.Second, 9*monotonic.Second)
		for _, core := range mesh.coreMachines {
			mesh.partitionFor(victim, core, true, duration)
		}
	}}
	slowBackends = fault{"make half of all backends slow", func(mesh *Mesh) {
		for index, one := range mesh.liveBackends("") {
			if index%2 == 0 {
				one.behavior = "slow"
				mesh.after(10*monotonic.Second, func() { one.behavior = "" })
			}
		}
	}}
	// A carrier that wakes has what it was asked before its sleep in hand, and a tenure that is long over.
	freezeAndApply = fault{"freeze a carrier for long and apply", func(mesh *Mesh) {
		mesh.freezeNode(mesh.World.Node(pick(mesh, mesh.proxyNames)), 8*monotonic.Second)
		mesh.after(500*monotonic.Millisecond, func() { applyConfig.inject(mesh) })
	}}
	drainProxy = fault{"stop a carrier as planned", func(mesh *Mesh) {
		name := pick(mesh, mesh.proxyNames)
		node := mesh.World.Node(name)
		if !node.Up() || mesh.draining[name] {
			return
		}
		mesh.draining[name] = true
		proxyProcess, over := mesh.proxies[name], mesh.History.BeginPlannedChange("planned stop of "+name, mesh.World.Now())
		ended := false
		end := func() {
			if ended {
				return
			}
			ended = true
			mesh.World.Kill(node)
			over(mesh.World.Now())
			mesh.after(200*monotonic.Millisecond, func() {
				mesh.draining[name], mesh.refusingCallers[name] = false, false
				mesh.World.Start(node)
			})
		}
		// The platform kills what hasn't ended a few seconds after its warning.
		mesh.after(pick(mesh, []monotonic.Micros{3, 4, 5})*monotonic.Second, end)
		mesh.External.Go(func() {
			_, _ = mesh.External.Transact(node.Address, 20*monotonic.Second, func(*world.Node) ([]byte, error) {
				if !mesh.defects.NoDrain {
					proxyProcess.Drain(mesh.drainTimeout, func() { mesh.refusingCallers[name] = true })
				}
				return nil, nil
			})
			mesh.World.At(mesh.World.Now(), end)
		})
	}}
	stopPrimary = fault{"stop a primary as planned", func(mesh *Mesh) {
		node := mesh.primary(pick(mesh, []string{"sorter", "postmaster"}))
		if node == nil {
			return
		}
		over := mesh.History.BeginPlannedChange("planned stop of "+node.Name, mesh.World.Now())
		mesh.External.Go(func() {
			_, _ = mesh.External.Transact(node.Address, 5*monotonic.Second, func(*world.Node) ([]byte, error) {
				if one := mesh.registries[node.Name]; one != nil {
					one.Member.TransferLeadership("planned")
				} else {
					mesh.configStores[node.Name].Member.TransferLeadership("planned")
				}
				return nil, nil
			})
			mesh.World.At(mesh.World.Now(), func() {
				mesh.World.Kill(node)
				over(mesh.World.Now())
				mesh.after(300*monotonic.Millisecond, func() { mesh.World.Start(node) })
			})
		})
	}}
	loseDisk = fault{"lose a core machine's disk", func(mesh *Mesh) {
		// One core machine may be lost; the next is only lost once both groups have two copies again.
		if mesh.primary("sorter") == nil || mesh.primary("postmaster") == nil || mesh.World.Now() < mesh.nextLossAt {
			return
		}
		mesh.nextLossAt = mesh.World.Now() + 20*monotonic.Second
		mesh.restartAfter(mesh.coreNodes(pick(mesh, mesh.coreMachines)), mesh.randomDuration(200*monotonic.Millisecond, 5*monotonic.Second), mesh.World.LoseDisk)
	}}
	powerOffAtAcknowledgement = fault{"power off the whole core at an acknowledgement", func(mesh *Mesh) {
		mesh.atAcknowledgement(func() { powerOffCore.inject(mesh) })
	}}
	loseDiskAtAcknowledgement = fault{"lose the disk of the postmaster's primary at an acknowledgement", func(mesh *Mesh) {
		mesh.atAcknowledgement(func() {
			// One core machine may be lost; the next is only lost once both groups have two copies again.
			if node := mesh.primary("postmaster"); node != nil && mesh.primary("sorter") != nil && mesh.World.Now() >= mesh.nextLossAt {
				mesh.nextLossAt = mesh.World.Now() + 20*monotonic.Second
				mesh.restartAfter(mesh.coreNodes(node.Machine), mesh.randomDuration(200*monotonic.Millisecond, 5*monotonic.Second), mesh.World.LoseDisk)
			}
		})
	}}
	loseTwoDisksAtAcknowledgement = fault{"lose the disks of the postmaster's primary and of a backup at an acknowledgement", func(mesh *Mesh) {
		mesh.atAcknowledgement(func() {
			// Two core machines may be lost; the next only once both groups have three copies again.
			configPrimary, registryPrimary := mesh.primary("postmaster"), mesh.primary("sorter")
			if configPrimary == nil || registryPrimary == nil || mesh.World.Now() < mesh.nextLossAt {
				return
			}
			backups := mesh.configStores[configPrimary.Name].Member.Backups()
			if len(backups) < 2 || len(mesh.registries[registryPrimary.Name].Member.Backups()) < 2 {
				return
			}
			mesh.nextLossAt = mesh.World.Now() + 20*monotonic.Second
			for _, machine := range []string{configPrimary.Machine, mesh.World.Node(pick(mesh, backups)).Machine} {
				mesh.restartAfter(mesh.coreNodes(machine), mesh.randomDuration(200*monotonic.Millisecond, 5*monotonic.Second), mesh.World.LoseDisk)
			}
			mesh.History.RecordMarker("two disks lost", mesh.World.Now())
		})
	}}
	addCoreMachine = fault{"a core machine comes that was never there", func(mesh *Mesh) { mesh.startNewMachine() }}
	// A core machine goes for good; a blank one, with another name and address, comes a while later or has come before.
	replaceCoreMachine = func(ahead, after monotonic.Micros) fault {
		return fault{"exchange a core machine", func(mesh *Mesh) {
			oldest := mesh.coreMachines[0]
			mesh.after(ahead, func() { mesh.retire(oldest) })
			mesh.after(after, func() { mesh.startNewMachine() })
		}}
	}
	damageDisk = fault{"damage a record file of a core machine", func(mesh *Mesh) {
		if mesh.primary("sorter") == nil || mesh.primary("postmaster") == nil || mesh.World.Now() < mesh.nextLossAt {
			return
		}
		mesh.nextLossAt = mesh.World.Now() + 20*monotonic.Second
		node := pick(mesh, mesh.allCoreNodes())
		mesh.restartAfter([]*world.Node{node}, monotonic.Second, mesh.World.Kill)
		group := strings.SplitN(node.Name, "-", 2)[0]
		node.Disk.Corrupt(group+".journal", mesh.World.Rand().IntN(40))
	}}
)

// come starts a core machine that was never there before.
func (m *Mesh) startNewMachine() {
	var seeds []string
	for _, node := range m.allCoreNodes() {
		if node.Up() {
			seeds = append(seeds, node.Address)
		}
	}
	for _, node := range m.coreNodes(m.addMachine(seeds)) {
		node.Disk.SyncDelay = m.syncDuration
		m.World.Start(node)
	}
}

// retire ends a core machine for good.
func (m *Mesh) retire(machine string) {
	m.retired[machine] = true
	m.coreMachines = slices.DeleteFunc(m.coreMachines, func(name string) bool { return name == machine })
	for _, node := range m.coreNodes(machine) {
		m.World.LoseDisk(node)
	}
}

// faultAfterWrites has a sorter that has just acknowledged a claim, a void, a probe or a guard's write lose its machine's power, or
// its disk, or the whole core lose power, within the milliseconds in which the answer is on its way. Each kind has its turn.
func faultAfterWrites(mesh *Mesh) {
	turns := []wire.Kind{wire.Kind_claim, wire.Kind_breaker_write, wire.Kind_claim, wire.Kind_probe_lease, wire.Kind_void_claim}
	turn := 0
	mesh.afterWrite = func(node *world.Node, kind wire.Kind) {
		if mesh.World.Now() < mesh.nextLossAt || !mesh.serving || kind != turns[turn%len(turns)] || mesh.World.Rand().IntN(3) > 0 {
			return
		}
		turn++
		// One core machine may be lost; the next is only lost once both groups have two copies again.
		mesh.nextLossAt = mesh.World.Now() + 12*monotonic.Second
		end := pick(mesh, []func(*world.Node){mesh.World.PowerLoss, mesh.World.LoseDisk, nil})
		mesh.log = append(mesh.log, fmt.Sprintf("%d %s loses all but its word after a %s", mesh.World.Now(), node.Name, kind))
		mesh.after(mesh.randomDuration(0, 3*monotonic.Millisecond), func() {
			if end == nil {
				powerOffCore.inject(mesh)
				return
			}
			mesh.restartAfter(mesh.coreNodes(node.Machine), mesh.randomDuration(200*monotonic.Millisecond, 4*monotonic.Second), end)
		})
	}
}

// desiredWithFewSlots is a desired state by which backends take few requests at once.
func desiredWithFewSlots(variant int) []byte {
	return bytes.Replace(Desired(variant), []byte(`"limits":{`), []byte(`"limits":{"inFlightPerBackend":8,`), 1)
}

// rush has ten times the traffic come for a while, in its shares of reads and submissions, lookups and all.
var trafficSurge = fault{"a rush", func(mesh *Mesh) {
	mesh.surges++
	until := mesh.World.Now() + 4*monotonic.Second
	mesh.sendAtRate(mesh.surges*1_000_000, 300, func() bool { return mesh.serving && mesh.World.Now() < until })
}}

// powerOffEverythingWith has other failures happen at the moment in which all power is lost.
func powerOffEverythingWith(others ...fault) fault {
	name := "power off everything"
	for _, other := range others {
		name += ", and " + other.name
	}
	return fault{name, func(mesh *Mesh) {
		for _, other := range others {
			other.inject(mesh)
		}
		powerOffEverything.inject(mesh)
	}}
}

func init() {
	register(Scenario{Name: "core", Summary: "the core's failures alone: kills, power, disks, cuts, freezes, planned stops", Sizes: smallTopology, Duration: 50 * monotonic.Second, Rate: 40, FaultInterval: 3 * monotonic.Second,
		Rules: []int{1, 3, 6, 7, 10, 12}, InitialFaults: []fault{failService, applyConfig, killPrimary},
		Faults: []fault{killCoreProcess, killPrimary, powerOffCore, powerOffCoreMachine, freezeCore, freezePrimary, partitionCore, slowDisk, fillDisk, failSync, loseDisk, damageDisk, stopPrimary, applyConfig, applyConfigRace, moveCoreMachine}})
	register(Scenario{Name: "acknowledged", Summary: "power of the whole core, or one machine's disk, lost at the moment of an acknowledgement", Sizes: smallTopology, Duration: 40 * monotonic.Second, Rate: 25, FaultInterval: 9 * monotonic.Second,
		Rules: []int{1, 3, 7, 12}, InitialFaults: []fault{powerOffAtAcknowledgement, loseDiskAtAcknowledgement},
		Faults: []fault{powerOffAtAcknowledgement, loseDiskAtAcknowledgement}})
	register(Scenario{Name: "rush", Summary: "ten times the traffic at backends with few places, while backends misbehave, carriers and primaries end and the core loses power", Sizes: smallTopology, DesiredState: desiredWithFewSlots,
		Duration: 40 * monotonic.Second, Rate: 30, FaultInterval: 3 * monotonic.Second, Rules: []int{1, 2, 3, 8, 12}, Prepare: func(mesh *Mesh) { mesh.workDuration = 150 * monotonic.Millisecond },
		InitialFaults: []fault{trafficSurge, misbehaveBackend, trafficSurge},
		Faults:        []fault{trafficSurge, trafficSurge, misbehaveBackend, killProxy, killPrimary, powerOffCore, freezeProxy, replaceBackend}})
	register(Scenario{Name: "written", Summary: "a sorter's machine, its disk, or the whole core's power lost right after it acknowledged a claim, a void, a probe or a guard's write", Sizes: smallTopology,
		Duration: 70 * monotonic.Second, Rate: 40, FaultInterval: 12 * monotonic.Second, Rules: []int{1, 2, 3, 10, 12}, Prepare: faultAfterWrites,
		InitialFaults: []fault{failService}, Faults: []fault{failService, misbehaveBackend}})
	register(Scenario{Name: "closing", Summary: "power lost everywhere, more than once; who votes stands on the disks alone", Sizes: discoveredTopology, Duration: 40 * monotonic.Second, Rate: 25, FaultInterval: 8 * monotonic.Second,
		Rules: []int{1, 3, 7, 12}, InitialFaults: []fault{applyConfig},
		Faults: []fault{powerOffEverything, powerOffEverything, applyConfig, moveCoreMachine}})
	register(Scenario{Name: "combined", Summary: "power lost everywhere while one core machine loses its disk, moves, or comes back with a slow or damaged one", Sizes: smallTopology, Duration: 40 * monotonic.Second, Rate: 30, FaultInterval: 9 * monotonic.Second,
		Rules: []int{1, 3, 7, 12}, InitialFaults: []fault{applyConfig},
		Faults: []fault{powerOffEverythingWith(loseDisk), powerOffEverythingWith(moveCoreMachine), powerOffEverythingWith(slowDisk), powerOffEverythingWith(damageDisk), powerOffEverythingWith(loseDisk, moveCoreMachine), applyConfig}})
	register(Scenario{Name: "configurations", Summary: "configurations change while carriers are cut, frozen and restarted", Sizes: smallTopology, Duration: 40 * monotonic.Second, Rate: 30, FaultInterval: 1500 * monotonic.Millisecond,
		Rules: []int{3, 5, 6, 7}, InitialFaults: []fault{freezeAndApply, isolateProxyFromCore, applyConfig},
		Faults: []fault{isolateProxyFromCore, isolateProxyFromCore, freezeProxy, killProxy, killPrimary, applyConfig, applyConfig, applyConfigRace, applyConfigBurst, drainProxy, stopPrimary}})
	register(Scenario{Name: "backends", Summary: "backends replaced, ended, their addresses reused, misbehaving", Sizes: smallTopology, Duration: 40 * monotonic.Second, Rate: 40, FaultInterval: monotonic.Second,
		Rules: []int{1, 2, 3, 4, 5, 8}, InitialFaults: []fault{replaceBackend, reuseAddress, failService},
		Faults: []fault{replaceBackend, reuseAddress, misbehaveBackend, misbehaveBackend, failService, partitionProxies, killProxy}})
	register(Scenario{Name: "drains", Summary: "planned stops of carriers and primaries under traffic", Sizes: smallTopology, Duration: 40 * monotonic.Second, Rate: 40, FaultInterval: 3 * monotonic.Second,
		Rules: []int{1, 3, 9}, Prepare: func(mesh *Mesh) { mesh.plannedStopsOnly = true }, InitialFaults: []fault{slowBackends, drainProxy, stopPrimary},
		Faults: []fault{drainProxy, drainProxy, stopPrimary, applyConfig, slowBackends}})
	register(Scenario{Name: "guards", Summary: "services fail and recover while callers and the record's holder die", Sizes: smallTopology, Duration: 50 * monotonic.Second, Rate: 40, FaultInterval: 2 * monotonic.Second,
		Rules: []int{2, 8, 10}, InitialFaults: []fault{failService},
		Faults: []fault{failService, failService, killProxy, killPrimary, freezeProxy, freezePrimary, powerOffCoreMachine, partitionProxyFromCore}})
}

// Result is how a run ended.
type Result struct {
	Seed     uint64
	Scenario string
	Findings []invariants.Finding
	Seen     map[int]int
	Served   int
	Sent     int
	Faults   []string
	Digest   uint64
	Events   uint64
	// Latencies holds how long each served request took, by kind, sorted.
	Latencies map[string][]monotonic.Micros
	Log       []string
	Panicked  any
}

// Run plays a course with a seed.
func Run(scenario Scenario, seed uint64, defects Defects) Result {
	mesh := Build(seed, scenario.Sizes, defects)
	defer mesh.World.Close()
	result := Result{Seed: seed, Scenario: scenario.Name, Latencies: map[string][]monotonic.Micros{}}
	mesh.syncDuration = max(scenario.SyncDuration, 200)
	for _, node := range mesh.allCoreNodes() {
		node.Disk.SyncDelay = mesh.syncDuration
	}
	content := scenario.DesiredState
	if content == nil {
		content = Desired
	}
	mesh.External.Go(func() { mesh.applyDesired(content(0), false, 0, 20*monotonic.Second) })
	mesh.World.Run(mesh.World.Now() + 8*monotonic.Second)
	if scenario.Prepare != nil {
		scenario.Prepare(mesh)
	}
	if scenario.GenerateTraffic != nil {
		mesh.serving = true
		scenario.GenerateTraffic(mesh, scenario.Rate)
	} else {
		mesh.startTraffic(scenario.Rate)
	}
	mesh.startObserver()
	end := mesh.World.Now() + scenario.Duration
	first := scenario.InitialFaults
	var next func()
	next = func() {
		if mesh.World.Now() >= end-5*monotonic.Second {
			return
		}
		chosen := pick(mesh, scenario.Faults)
		if len(first) > 0 {
			chosen, first = first[0], first[1:]
		}
		result.Faults = append(result.Faults, fmt.Sprintf("%d %s", mesh.World.Now(), chosen.name))
		mesh.log = append(mesh.log, fmt.Sprintf("%d FAULT %s", mesh.World.Now(), chosen.name))
		chosen.inject(mesh)
		mesh.after(mesh.randomDuration(scenario.FaultInterval/2, scenario.FaultInterval*3/2), next)
	}
	mesh.after(mesh.randomDuration(scenario.FaultInterval/2, scenario.FaultInterval*3/2), next)
	mesh.World.Run(end)
	mesh.heal()
	mesh.World.Run(end + 18*monotonic.Second)
	mesh.serving = false
	mesh.World.Run(mesh.World.Now() + 20*monotonic.Second)
	mesh.External.Go(mesh.readBackVersions)
	mesh.World.Run(mesh.World.Now() + 20*monotonic.Second)
	result.Findings, result.Seen = invariants.Inspect(mesh.History)
	for _, rule := range scenario.Rules {
		if result.Seen[rule] == 0 {
			result.Findings = append(result.Findings, invariants.Finding{Rule: rule, Text: "its checker saw nothing", NothingExamined: true})
		}
	}
	for _, check := range scenario.Checks {
		findings, _ := check.Run(mesh.History)
		result.Findings = append(result.Findings, findings...)
	}
	if !mesh.History.ReadBackComplete {
		result.Findings = append(result.Findings, invariants.Finding{Rule: 7, Text: "the history could not be read back", NothingExamined: true})
	}
	for _, attempt := range mesh.History.Attempts {
		result.Sent++
		if !attempt.Mesh && attempt.Status == 200 {
			result.Served++
			result.Latencies[attempt.Kind] = append(result.Latencies[attempt.Kind], attempt.Ended-attempt.Sent)
		}
	}
	for _, adopted := range result.Latencies {
		slices.Sort(adopted)
	}
	result.Digest, result.Events, result.Log, result.Panicked = mesh.World.Digest(), mesh.World.Events, mesh.log, mesh.World.Panicked
	if result.Panicked != nil {
		result.Findings = append(result.Findings, invariants.Finding{Text: fmt.Sprint(result.Panicked)})
	}
	return result
}

// heal ends every failure; from this moment the machines count as returned.
func (m *Mesh) heal() {
	m.World.HealNetwork()
	for _, node := range m.World.Nodes() {
		node.Disk.Capacity, node.Disk.FailSyncs, node.Disk.SyncDelay = 0, 0, m.syncDuration
		m.World.Thaw(node)
		if m.retired[node.Machine] {
			continue
		}
		if m.defects.NoRecovery && node.Machine == m.coreMachines[0] || m.defects.NoRecovery && node.Machine == m.coreMachines[1] {
			m.World.Kill(node)
			continue
		}
		m.World.Start(node)
	}
	for _, one := range m.backends {
		one.behavior = ""
	}
	m.troubled = nil
	m.History.RecordMarker("untroubled", m.World.Now())
	m.History.RecordMarker("returned", m.World.Now())
}
