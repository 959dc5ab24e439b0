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

// sweepEvery is how far holder time moves between two sweeps. Sweeps happen inside Apply, so both copies make the same.
const sweepEvery = 250 * monotonic.Millisecond

// Machine is the machine. Invariant: it changes only in Apply and Restore, and only by what they are given.
type Machine struct {
	Guards *breakerstore.Table
	Claims *idempotency.Table
	Duties *leases.Table
	swept  monotonic.Micros
}

// New makes an empty machine.
func New() *Machine {
	return &Machine{Guards: breakerstore.New(), Claims: idempotency.New(), Duties: leases.New()}
}

// Apply carries out a command. An empty command is a tick.
func (machine *Machine) Apply(epoch uint64, now monotonic.Micros, content []byte) []byte {
	command := &wire.RegistryCommand{}
	if err := proto.Unmarshal(content, command); err != nil {
		return nil
	}
	if ended := command.GetTick().GetEndedSessions(); now-machine.swept >= sweepEvery || len(ended) > 0 {
		machine.swept = now
		machine.Guards.Sweep(ended, now)
		machine.Claims.Sweep(now)
		machine.Duties.Sweep(now)
	}
	result := &wire.RegistryResult{}
	for _, step := range steps {
		step(machine, epoch, now, command, result)
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
			result.Complete = machine.Claims.Settle(command.Complete, now)
		}
	},
	func(machine *Machine, _ uint64, now monotonic.Micros, command *wire.RegistryCommand, result *wire.RegistryResult) {
		if command.ProbeLease != nil {
			result.ProbeLease = machine.Guards.Lease(command.ProbeLease, now)
		}
	},
	func(machine *Machine, _ uint64, now monotonic.Micros, command *wire.RegistryCommand, result *wire.RegistryResult) {
		if command.Breaker != nil {
			result.Breaker = machine.Guards.Write(command.Breaker, now)
		}
	},
	func(machine *Machine, _ uint64, now monotonic.Micros, command *wire.RegistryCommand, result *wire.RegistryResult) {
		if command.Singleton != nil {
			result.Singleton = machine.Duties.Ask(command.Singleton, now)
		}
	},
}

// The claims' field in wire.RegistrySnapshot. They are most of the state, so they are copied into a view and out of it as they are encoded.
const claimsField protowire.Number = 2

// Snapshot gives the whole state.
func (machine *Machine) Snapshot() []byte {
	rest := &wire.RegistrySnapshot{Breakers: machine.Guards.Records(), Singletons: machine.Duties.Records(), SweptAt: int64(machine.swept)}
	options := proto.MarshalOptions{}
	room := options.Size(rest) + machine.Claims.Size() + machine.Claims.Length()*(protowire.SizeTag(claimsField)+protowire.SizeVarint(1<<20))
	content, err := options.MarshalAppend(make([]byte, 0, room), rest)
	if err != nil {
		panic(err) // the state is made of messages that were decoded or built here
	}
	return machine.Claims.AppendView(content, claimsField)
}

// Restore replaces the state; nothing restores the empty one. The content is kept, not copied.
func (machine *Machine) Restore(content []byte) error {
	claims, rest, err := apart(content)
	if err != nil {
		return err
	}
	view := &wire.RegistrySnapshot{}
	if err := proto.Unmarshal(rest, view); err != nil {
		return err
	}
	if err := machine.Claims.Restore(claims); err != nil {
		return err
	}
	machine.Guards.Restore(view.Breakers)
	machine.Duties.Restore(view.Singletons)
	machine.swept = monotonic.Micros(view.SweptAt)
	return nil
}

// apart takes a view's encoded claims out of it.
func apart(view []byte) (claims [][]byte, rest []byte, err error) {
	for len(view) > 0 {
		number, kind, length := protowire.ConsumeField(view)
		if length < 0 {
			return nil, nil, protowire.ParseError(length)
		}
		if number == claimsField && kind == protowire.BytesType {
			_, _, tag := protowire.ConsumeTag(view)
			claim, _ := protowire.ConsumeBytes(view[tag:])
			claims = append(claims, claim)
		} else {
			rest = append(rest, view[:length]...)
		}
		view = view[length:]
	}
	return claims, rest, nil
}

// HasTimers tells whether time matters.
func (machine *Machine) HasTimers() bool {
	return machine.Guards.Waiting() || machine.Claims.Length() > 0 || len(machine.Duties.Records()) > 0
}
