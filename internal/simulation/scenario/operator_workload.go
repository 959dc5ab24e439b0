package scenario

import (
	"errors"
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

// firstOperatorVersion is higher than any version that the first desired state of a run may get.
const firstOperatorVersion = 1000

// configWrite is a desired state that an operator writes under a version of the operator's choice, possibly more than once.
type configWrite struct {
	version uint64
	content []byte
}

// operatorState is shared by the operators of a run.
type operatorState struct {
	nextVersion uint64
	// sent are the writes so far, in order. The versions of new writes increase. A write that was sent again is listed again.
	sent []configWrite
}

// startOperators starts operators that read and write on random core machines until the traffic ends.
func (m *Mesh) startOperators(count int, pause monotonic.Micros) {
	shared := &operatorState{nextVersion: firstOperatorVersion}
	for range count {
		m.External.Go(func() {
			for m.serving {
				m.External.Sleep(m.randomDuration(pause/2, pause*3/2))
				m.operatorStep(shared)
			}
		})
	}
}

// operatorStep makes one call: a read, a write under a new version, a write of another content under the newest version, or a
// repetition of an earlier write.
func (m *Mesh) operatorStep(shared *operatorState) {
	choice := m.World.Rand().IntN(10)
	switch {
	case choice < 4 || len(shared.sent) == 0 && choice >= 7:
		m.readAt(pick(m, m.coreMachines))
		return
	case choice < 7:
		shared.nextVersion += 1 + m.World.Rand().Uint64N(3)
		shared.sent = append(shared.sent, configWrite{shared.nextVersion, Desired(m.randomVariant())})
	case choice == 7:
		shared.sent = append(shared.sent, configWrite{shared.nextVersion, Desired(m.randomVariant())})
	case choice == 8:
		shared.sent = append(shared.sent, pick(m, shared.sent))
	}
	write := shared.sent[len(shared.sent)-1]
	m.recordRouting(write.content)
	// A write whose outcome is unknown is repeated unchanged on a random machine.
	for range 4 {
		if m.writeAt(pick(m, m.coreMachines), write) != invariants.Unknown {
			return
		}
	}
}

// operatorNode returns the configuration store process of a core machine, which serves the operators' API.
func (m *Mesh) operatorNode(machine string) *world.Node {
	nodes := m.coreNodes(machine)
	return nodes[slices.IndexFunc(nodes, func(node *world.Node) bool {
		return m.configStores[node.Name] != nil || m.registries[node.Name] == nil
	})]
}

// writeAt sends a write to a core machine, records it, and returns its outcome.
func (m *Mesh) writeAt(machine string, write configWrite) invariants.CallOutcome {
	node, sent := m.operatorNode(machine), m.World.Now()
	var response *wire.ConfigApplyResponse
	_, err := m.External.CallFunc(node.Address, 5*monotonic.Second, func(node *world.Node) ([]byte, error) {
		var err error
		response, err = m.operatorAPIs[node.Name].Apply(3500*monotonic.Millisecond, &wire.ConfigApplyRequest{Content: write.content, Version: write.version})
		return nil, err
	})
	outcome := writeOutcome(response, err)
	if action := m.onConfirmedWrite; outcome == invariants.Confirmed && action != nil {
		m.onConfirmedWrite = nil
		m.runNow(action)
	}
	m.History.RecordOperatorCall(invariants.OperatorCall{
		Endpoint: node.Name,
		Version:  write.version,
		Digest:   config.Digest(write.content),
		Sent:     sent,
		Ended:    m.World.Now(),
		Outcome:  outcome,
	})
	return outcome
}

func writeOutcome(response *wire.ConfigApplyResponse, err error) invariants.CallOutcome {
	switch {
	case err == nil && response.Outcome == versions.Accepted:
		return invariants.Confirmed
	case err == nil && response.Outcome == versions.Conflict:
		return invariants.Rejected
	case errors.Is(err, api.ErrNotAccepted):
		return invariants.NotAccepted
	}
	return invariants.Unknown
}

// readAt reads the newest configuration at a core machine and records what it returned.
func (m *Mesh) readAt(machine string) {
	node, sent := m.operatorNode(machine), m.World.Now()
	var stored *wire.StoredConfig
	_, err := m.External.CallFunc(node.Address, 3*monotonic.Second, func(node *world.Node) ([]byte, error) {
		var err error
		stored, err = m.operatorAPIs[node.Name].Latest(900 * monotonic.Millisecond)
		return nil, err
	})
	read := invariants.OperatorCall{Endpoint: node.Name, Read: true, Sent: sent, Ended: m.World.Now(), Outcome: invariants.Unknown}
	if err == nil && stored != nil && stored.Version >= firstOperatorVersion {
		read.Version, read.Digest, read.Outcome = stored.Version, config.Digest(stored.Content), invariants.Confirmed
	}
	m.History.RecordOperatorCall(read)
}

// replicaMachines returns all core machines: first that of the configuration store's primary, then those of its backups, then the
// others.
func (m *Mesh) replicaMachines() (machines []string) {
	add := func(machine string) {
		if !slices.Contains(machines, machine) {
			machines = append(machines, machine)
		}
	}
	if primary := m.primary(configstore.Group); primary != nil {
		add(primary.Machine)
		for _, backup := range m.configStores[primary.Name].Member.Backups() {
			add(m.World.Node(backup).Machine)
		}
	}
	for _, machine := range m.coreMachines {
		add(machine)
	}
	return machines
}

// Losses at the moment at which an operator receives the confirmation of a write.
var (
	loseDiskAtWrite = fault{"lose the disk of the configuration store's primary at a confirmed write", func(m *Mesh) {
		m.onConfirmedWrite = func() {
			if node := m.primary(configstore.Group); node != nil && m.lossAllowed() {
				m.delayNextLoss(4 * monotonic.Second)
				m.restartMachine(node.Machine, m.randomDuration(200*monotonic.Millisecond, 4*monotonic.Second), m.World.LoseDisk)
			}
		}
	}}
	// loseDisksAndPowerAtWrite loses one disk fewer than there are replicas, but at least one, in the order of replicaMachines.
	loseDisksAndPowerAtWrite = fault{"lose as many disks as are tolerated at a confirmed write, and the power of all others", func(m *Mesh) {
		m.onConfirmedWrite = func() {
			if !m.lossAllowed() {
				return
			}
			m.delayNextLoss(8 * monotonic.Second)
			for _, victim := range m.replicaMachines()[:max(1, m.topology.Replicas-1)] {
				m.restartMachine(victim, m.randomDuration(200*monotonic.Millisecond, 2*monotonic.Second), m.World.LoseDisk)
			}
			powerOffEverything.inject(m)
		}
	}}
	loseDiskAndPowerAtWrite = fault{"lose a disk at a confirmed write, and the power of all others", func(m *Mesh) {
		m.onConfirmedWrite = func() {
			if !m.lossAllowed() {
				return
			}
			m.delayNextLoss(4 * monotonic.Second)
			victim := m.primaryMachineOrRandom()
			m.restartMachine(victim, m.randomDuration(200*monotonic.Millisecond, 2*monotonic.Second), m.World.LoseDisk)
			powerOffEverything.inject(m)
		}
	}}
)
