package scenario

import (
	"errors"
	"fmt"
	"slices"

	"snowflow/internal/config"
	"snowflow/internal/configstore"
	"snowflow/internal/configstore/api"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

const (
	// catchUpAllowance is how long after its return or its start a core machine still counts as lost.
	catchUpAllowance = 4 * monotonic.Second
	// longPartition is how long a core machine is cut off on the worst days.
	longPartition = 20 * monotonic.Second
)

// order is a content that an operator sent under a version, and may send again.
type configWrite struct {
	version uint64
	content []byte
}

// operators is what the operators of a run have sent.
// Invariant: versions rise along sent, but that one sent again stands as it stood.
type operatorState struct {
	nextVersion uint64
	sent        []configWrite
}

// operate has so many operators send orders and read, each at whichever door it likes, until the callers stop too.
func runOperators(count int, pause monotonic.Micros) func(mesh *Mesh) {
	return func(mesh *Mesh) {
		shared := &operatorState{nextVersion: 1000}
		for range count {
			mesh.External.Go(func() {
				for mesh.serving {
					mesh.External.Sleep(mesh.randomDuration(pause/2, pause*3/2))
					mesh.operatorStep(shared)
				}
			})
		}
	}
}

// act makes one call: a read, a new order, another content under the newest number, or an order that was sent before.
func (m *Mesh) operatorStep(shared *operatorState) {
	chance := m.World.Rand().IntN(10)
	switch {
	case chance < 4 || len(shared.sent) == 0 && chance >= 7:
		m.readAt(pick(m, m.coreMachines))
		return
	case chance < 7:
		shared.nextVersion += 1 + m.World.Rand().Uint64N(3)
		shared.sent = append(shared.sent, configWrite{shared.nextVersion, Desired(m.World.Rand().IntN(1 << 20))})
	case chance == 7:
		shared.sent = append(shared.sent, configWrite{shared.nextVersion, Desired(m.World.Rand().IntN(1 << 20))})
	case chance == 8:
		shared.sent = append(shared.sent, pick(m, shared.sent))
	}
	chosen := shared.sent[len(shared.sent)-1]
	m.recordRouting(chosen.content)
	// What was left without a clear answer goes again, unchanged, to any door.
	for range 4 {
		if m.writeAt(pick(m, m.coreMachines), chosen) != invariants.Unknown {
			return
		}
	}
}

// operatorNode is the operators' door on a core machine.
func (m *Mesh) operatorNode(machine string) *world.Node {
	nodes := m.coreNodes(machine)
	return nodes[slices.IndexFunc(nodes, func(node *world.Node) bool { return m.configStores[node.Name] != nil || m.registries[node.Name] == nil })]
}

func (m *Mesh) writeAt(machine string, chosen configWrite) invariants.CallOutcome {
	node, sent := m.operatorNode(machine), m.World.Now()
	var response *wire.ConfigApplyResponse
	_, err := m.External.Transact(node.Address, 5*monotonic.Second, func(node *world.Node) ([]byte, error) {
		reply, err := m.operatorAPIs[node.Name].Apply(3500*monotonic.Millisecond, &wire.ConfigApplyRequest{Content: chosen.content, Version: chosen.version})
		response = reply
		return nil, err
	})
	outcome := invariants.Unknown
	switch {
	case err == nil && response.Outcome == versions.Accepted:
		outcome = invariants.Confirmed
	case err == nil && response.Outcome == versions.Conflict:
		outcome = invariants.Rejected
	case errors.Is(err, api.ErrNotAccepted):
		outcome = invariants.NotAccepted
	}
	if action := m.onConfirmedWrite; outcome == invariants.Confirmed && action != nil {
		m.onConfirmedWrite = nil
		m.World.At(m.World.Now(), action)
	}
	m.History.RecordOperatorCall(invariants.OperatorCall{Endpoint: node.Name, Version: chosen.version, Digest: config.Digest(chosen.content), Sent: sent, Ended: m.World.Now(), Outcome: outcome})
	return outcome
}

func (m *Mesh) readAt(machine string) {
	node, sent := m.operatorNode(machine), m.World.Now()
	var stored *wire.StoredConfig
	_, err := m.External.Transact(node.Address, 3*monotonic.Second, func(node *world.Node) ([]byte, error) {
		found, err := m.operatorAPIs[node.Name].Latest(900 * monotonic.Millisecond)
		stored = found
		return nil, err
	})
	read := invariants.OperatorCall{Endpoint: node.Name, Read: true, Sent: sent, Ended: m.World.Now(), Outcome: invariants.Unknown}
	if err == nil && stored != nil && stored.Version >= 1000 {
		read.Version, read.Digest, read.Outcome = stored.Version, config.Digest(stored.Content), invariants.Confirmed
	}
	m.History.RecordOperatorCall(read)
}

// primaryMachineOrRandom is the machine of the postmasters' primary two times in three, or else any core machine.
func (m *Mesh) primaryMachineOrRandom() string {
	if node := m.primary("postmaster"); node != nil && m.World.Rand().IntN(3) > 0 {
		return node.Machine
	}
	return pick(m, m.coreMachines)
}

// partitionFrom cuts a core machine off from some others, both ways or one.
func (m *Mesh) partitionFrom(machine string, others []string, duration monotonic.Micros) {
	direction := m.World.Rand().IntN(3)
	for _, other := range others {
		switch direction {
		case 0:
			m.partitionFor(machine, other, false, duration)
		case 1:
			m.partitionFor(other, machine, false, duration)
		default:
			m.partitionFor(machine, other, true, duration)
		}
	}
}

// delayNextLoss puts the next loss off until all that is lost now counts no more.
func (m *Mesh) delayNextLoss(duration monotonic.Micros) {
	m.nextLossAt = max(m.nextLossAt, m.World.Now()+duration+catchUpAllowance)
}

// within brings a fault about only where a loss is allowed now, and says for how long it counts as one.
func lossFault(name string, duration monotonic.Micros, inject func(mesh *Mesh)) fault {
	return fault{name, func(mesh *Mesh) {
		if mesh.World.Now() < mesh.nextLossAt {
			return
		}
		mesh.delayNextLoss(duration)
		inject(mesh)
	}}
}

var (
	longCorePartition = lossFault("cut a core machine off for twenty seconds", longPartition, func(mesh *Mesh) {
		mesh.partitionFrom(mesh.primaryMachineOrRandom(), mesh.coreMachines, longPartition)
	})
	longFullPartition = lossFault("cut a core machine off from everybody for twenty seconds", longPartition, func(mesh *Mesh) {
		victim := mesh.primaryMachineOrRandom()
		mesh.partitionFrom(victim, slices.Concat(mesh.coreMachines, mesh.proxyNames, []string{"outside"}), longPartition)
	})
	restartDuringPartition = lossFault("cut a core machine off and restart it meanwhile", longPartition, func(mesh *Mesh) {
		victim := mesh.primaryMachineOrRandom()
		mesh.partitionFrom(victim, mesh.coreMachines, longPartition)
		mesh.after(mesh.randomDuration(monotonic.Second, longPartition), func() { mesh.restartAfter(mesh.coreNodes(victim), 500*monotonic.Millisecond, mesh.World.Kill) })
	})
	killOthersAfterPartition = lossFault("cut a core machine off, and kill the others' processes as it comes back", longPartition+monotonic.Second, func(mesh *Mesh) {
		victim := mesh.primaryMachineOrRandom()
		mesh.partitionFrom(victim, mesh.coreMachines, longPartition)
		mesh.after(longPartition+100*monotonic.Millisecond, func() {
			for _, machine := range mesh.coreMachines {
				if machine != victim {
					mesh.restartAfter(mesh.coreNodes(machine), monotonic.Second, mesh.World.Kill)
				}
			}
		})
	})
	// Of those that didn't miss the changes, one loses its disk and the others are dark while the cut heals.
	staleMemberAfterPartition = lossFault("a core machine misses changes, and the others are dark as it comes back", 16*monotonic.Second, func(mesh *Mesh) {
		victim, outage := mesh.primaryMachineOrRandom(), 10*monotonic.Second
		others := slices.DeleteFunc(slices.Clone(mesh.coreMachines), func(name string) bool { return name == victim })
		mesh.partitionFrom(victim, mesh.coreMachines, outage)
		mesh.after(outage-monotonic.Second, func() {
			wiped := pick(mesh, others)
			for _, machine := range others {
				end := mesh.World.PowerLoss
				if machine == wiped {
					end = mesh.World.LoseDisk
				}
				mesh.restartAfter(mesh.coreNodes(machine), 3*monotonic.Second, end)
			}
		})
	})
	splitCore = lossFault("cut the core into halves", longPartition, func(mesh *Mesh) {
		half := mesh.coreMachines[:len(mesh.coreMachines)/2]
		for _, one := range half {
			for _, other := range mesh.coreMachines[len(mesh.coreMachines)/2:] {
				mesh.partitionFor(one, other, true, longPartition)
			}
		}
	})
	// At the moment in which an operator is told that its order was taken.
	loseDiskAtWrite = fault{"lose the disk of the postmasters' primary at an acknowledgement", func(mesh *Mesh) {
		mesh.onConfirmedWrite = func() {
			if node := mesh.primary("postmaster"); node != nil && mesh.World.Now() >= mesh.nextLossAt {
				mesh.delayNextLoss(4 * monotonic.Second)
				mesh.restartAfter(mesh.coreNodes(node.Machine), mesh.randomDuration(200*monotonic.Millisecond, 4*monotonic.Second), mesh.World.LoseDisk)
			}
		}
	}}
	// The disk of one is lost at that moment, and all others lose power.
	loseDiskAndPowerAtWrite = fault{"lose a disk at an acknowledgement, and the power of all others", func(mesh *Mesh) {
		mesh.onConfirmedWrite = func() {
			if mesh.World.Now() < mesh.nextLossAt {
				return
			}
			mesh.delayNextLoss(4 * monotonic.Second)
			victim := mesh.primaryMachineOrRandom()
			mesh.restartAfter(mesh.coreNodes(victim), mesh.randomDuration(200*monotonic.Millisecond, 2*monotonic.Second), mesh.World.LoseDisk)
			powerOffEverything.inject(mesh)
		}
	}}
	slowSingleDisk     = lossFault("slow a core disk, alone", 8*monotonic.Second, slowDisk.inject)
	plannedReplacement = lossFault("exchange a core machine as planned", 8*monotonic.Second, func(mesh *Mesh) { mesh.replacePlanned() })
	// The successor is in step before the old machine ends, so nothing counts as lost when the next loss comes, in that very moment.
	lossDuringReplacement = lossFault("exchange a core machine as planned, and lose another's disk as the old one ends", 2*catchUpAllowance+4*monotonic.Second, func(mesh *Mesh) {
		oldest := mesh.coreMachines[0]
		mesh.startNewMachine()
		mesh.after(catchUpAllowance+500*monotonic.Millisecond, func() {
			mesh.removePlanned(oldest, func() {
				victim := mesh.primaryMachineOrRandom()
				mesh.restartAfter(mesh.coreNodes(victim), mesh.randomDuration(500*monotonic.Millisecond, 2*monotonic.Second), mesh.World.LoseDisk)
			})
		})
	})
	permanentLoss       = lossFault("lose a core machine for good", monotonic.Second, func(mesh *Mesh) { mesh.losePermanently() })
	loseDiskThenReplace = lossFault("lose a disk, and exchange a machine right after its return", 10*monotonic.Second, func(mesh *Mesh) {
		mesh.restartAfter(mesh.coreNodes(mesh.primaryMachineOrRandom()), 500*monotonic.Millisecond, mesh.World.LoseDisk)
		mesh.after(500*monotonic.Millisecond+catchUpAllowance, func() { mesh.replacePlanned() })
	})
)

// replacePlanned has a successor start, and the machine that served longest stop as planned some seconds later, for good.
func (m *Mesh) replacePlanned() {
	oldest := m.coreMachines[0]
	m.startNewMachine()
	m.after(m.randomDuration(monotonic.Second, 5*monotonic.Second), func() { m.removePlanned(oldest, func() {}) })
}

// losePermanently ends a core machine for good; an empty successor starts a second later.
func (m *Mesh) losePermanently() {
	m.retire(pick(m, m.coreMachines))
	m.after(monotonic.Second, m.startNewMachine)
}

// removePlanned stops a core machine's processes as planned, removes the machine once they have ended, and has something happen then.
func (m *Mesh) removePlanned(machine string, then func()) {
	running := len(m.coreNodes(machine))
	for _, node := range m.coreNodes(machine) {
		m.External.Go(func() {
			_, _ = m.External.Transact(node.Address, 6*monotonic.Second, func(*world.Node) ([]byte, error) {
				m.replicationMember(node.Name).Leave("planned stop", 3*monotonic.Second)
				return nil, nil
			})
			if running--; running == 0 {
				m.World.At(m.World.Now(), func() {
					m.retire(machine)
					then()
				})
			}
		})
	}
}

// controlPlaneTopology is a core as the platform has it: found at its first start only, a few configurations kept, carriers that serve on.
func controlPlaneTopology(cores, copies int) Topology {
	return Topology{Cores: cores, Proxies: 2, Zones: 2, Backends: 1, DiscoverVoters: true, Replicas: copies, RemoveAfter: catchUpAllowance / 2, RetainedVersions: 3, Bounds: configstore.Timeouts{ServeStale: true}}
}

// controlPlaneScenario is a course of the control side's troubles alone, among operators that order and read at every door.
func controlPlaneScenario(name, short string, cores, copies int, faults ...fault) Scenario {
	return Scenario{Name: name, Summary: short, Sizes: controlPlaneTopology(cores, copies), Duration: 100 * monotonic.Second, Rate: 10, FaultInterval: 9 * monotonic.Second, Rules: []int{1, 3, 12},
		Prepare: func(mesh *Mesh) { mesh.serving = true; runOperators(4, 600*monotonic.Millisecond)(mesh) }, Faults: faults, InitialFaults: faults[:min(3, len(faults))], Checks: []invariants.Check{invariants.OperatorCallsLinearizable}}
}

func init() {
	for _, size := range []struct{ cores, copies int }{{3, 2}, {4, 2}, {5, 3}} {
		suffix := fmt.Sprint("-", size.cores)
		register(controlPlaneScenario("cut-off"+suffix, "core machines cut off for twenty seconds, restarted meanwhile, and what comes as they return", size.cores, size.copies,
			longCorePartition, restartDuringPartition, killOthersAfterPartition, longFullPartition, staleMemberAfterPartition, splitCore, freezePrimary, killPrimary, powerOffCore))
		register(controlPlaneScenario("exchanges"+suffix, "core machines exchanged as planned and lost for good, right after one another", size.cores, size.copies,
			lossDuringReplacement, plannedReplacement, permanentLoss, lossDuringReplacement, loseDiskThenReplace, loseDiskAtWrite, powerOffCore, loseDiskAndPowerAtWrite, slowSingleDisk, longCorePartition))
		register(controlPlaneScenario("many-changes"+suffix, "hundreds of changes, members that restart behind, lose their disks or find them damaged", size.cores, size.copies,
			loseDiskAtWrite, killPrimary, staleMemberAfterPartition, loseDiskAndPowerAtWrite, killCoreProcess, powerOffCoreMachine, loseDisk, damageDisk, fillDisk, failSync, powerOffCore))
	}
}
