// Package statemachine is the sorters' replicated state: guards, claims and duties behind replication's machine interface.
package statemachine

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/registry/idempotency"
	"snowflow/internal/registry/leases"
	"snowflow/internal/transport/wire"
)

// sweepInterval is how far holder time moves between two sweeps. Sweeps happen inside Apply, so both copies make the same.
const sweepInterval = 250 * monotonic.Millisecond

// Machine is the machine. Invariant: it changes only in Apply and Restore, and only by what they are given.
type Machine struct {
	Breakers  *breakerstore.Table
	Claims    *idempotency.Table
	Leases    *leases.Table
	lastSweep monotonic.Micros
}

// New makes an empty machine.
func New() *Machine {
	return &Machine{Breakers: breakerstore.New(), Claims: idempotency.New(), Leases: leases.New()}
}

// Apply carries out a command. An empty command is a tick.
func (m *Machine) Apply(epoch uint64, now monotonic.Micros, content []byte) []byte {
	command := &wire.RegistryCommand{}
	if err := proto.Unmarshal(content, command); err != nil {
		return nil
	}
	if ended := command.GetTick().GetEndedSessions(); now-m.lastSweep >= sweepInterval || len(ended) > 0 {
		m.lastSweep = now
		m.Breakers.Sweep(ended, now)
		m.Claims.Sweep(now)
		m.Leases.Sweep(now)
	}
	result := &wire.RegistryResult{}
	for _, step := range steps {
		step(m, epoch, now, command, result)
	}
	encoded, err := proto.Marshal(result)
	if err != nil {
		return nil
	}
	return encoded
}

// steps carry out the part of a command that is present.
var steps = []func(machine *Machine, epoch uint64, now monotonic.Micros, command *wire.RegistryCommand, result *wire.RegistryResult){
	func(machine *Machine, _ uint64, now monotonic.Micros, command *wire.RegistryCommand, result *wire.RegistryResult) {
		if command.Claim != nil {
			result.Claim = machine.Claims.Claim(command.Claim, now)
		}
	},
	func(machine *Machine, epoch uint64, now monotonic.Micros, command *wire.RegistryCommand, result *wire.RegistryResult) {
		if command.Void != nil {
			result.Void = machine.Claims.Void(command.Void, epoch, now)
		}
	},
	func(machine *Machine, _ uint64, now monotonic.Micros, command *wire.RegistryCommand, result *wire.RegistryResult) {
		if command.Complete != nil {
			result.Complete = machine.Claims.Complete(command.Complete, now)
		}
	},
	func(machine *Machine, _ uint64, now monotonic.Micros, command *wire.RegistryCommand, result *wire.RegistryResult) {
		if command.ProbeLease != nil {
			result.ProbeLease = machine.Breakers.LeaseProbe(command.ProbeLease, now)
		}
	},
	func(machine *Machine, _ uint64, now monotonic.Micros, command *wire.RegistryCommand, result *wire.RegistryResult) {
		if command.Breaker != nil {
			result.Breaker = machine.Breakers.Write(command.Breaker, now)
		}
	},
	func(machine *Machine, _ uint64, now monotonic.Micros, command *wire.RegistryCommand, result *wire.RegistryResult) {
		if command.Singleton != nil {
			result.Singleton = machine.Leases.Acquire(command.Singleton, now)
		}
	},
}

// The claims' field in wire.RegistrySnapshot. They are most of the state, so they are copied into a view and out of it as they are encoded.
const claimsField protowire.Number = 2

// Snapshot gives the whole state.
func (machine *Machine) Snapshot() []byte {
	rest := &wire.RegistrySnapshot{Breakers: machine.Breakers.Records(), Singletons: machine.Leases.Records(), SweptAt: int64(machine.lastSweep)}
	options := proto.MarshalOptions{}
	room := options.Size(rest) + machine.Claims.EncodedSize() + machine.Claims.Len()*(protowire.SizeTag(claimsField)+protowire.SizeVarint(1<<20))
	content, err := options.MarshalAppend(make([]byte, 0, room), rest)
	if err != nil {
		panic(err) // the state is made of messages that were decoded or built here
	}
	return machine.Claims.AppendSnapshot(content, claimsField)
}

// Restore replaces the state; nothing restores the empty one. The content is kept, not copied.
func (m *Machine) Restore(content []byte) error {
	claimRecords, others, err := splitSnapshot(content)
	if err != nil {
		return err
	}
	snapshot := &wire.RegistrySnapshot{}
	if err := proto.Unmarshal(others, snapshot); err != nil {
		return err
	}
	if err := m.Claims.Restore(claimRecords); err != nil {
		return err
	}
	m.Breakers.Restore(snapshot.Breakers)
	m.Leases.Restore(snapshot.Singletons)
	m.lastSweep = monotonic.Micros(snapshot.SweptAt)
	return nil
}

// apart takes a view's encoded claims out of it.
func splitSnapshot(snapshot []byte) (claimRecords [][]byte, others []byte, err error) {
	for len(snapshot) > 0 {
		number, kind, length := protowire.ConsumeField(snapshot)
		if length < 0 {
			return nil, nil, protowire.ParseError(length)
		}
		if number == claimsField && kind == protowire.BytesType {
			_, _, tag := protowire.ConsumeTag(snapshot)
			claim, _ := protowire.ConsumeBytes(snapshot[tag:])
			claimRecords = append(claimRecords, claim)
		} else {
			others = append(others, snapshot[:length]...)
		}
		snapshot = snapshot[length:]
	}
	return claimRecords, others, nil
}

// HasTimers tells whether time matters.
func (machine *Machine) HasTimers() bool {
	return machine.Breakers.Waiting() || machine.Claims.Len() > 0 || len(machine.Leases.Records()) > 0
}
