// Package statemachine is the registry's replicated state: the breaker records, the claims of idempotency keys and the
// singleton leases, behind the interface that package replication expects of a state machine.
//
// Commands and results are wire.RegistryCommand and wire.RegistryResult, the snapshot is a wire.RegistrySnapshot. Both are
// stored in the replicated log, so their encoding must stay readable by later releases.
package statemachine

import (
	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/registry/idempotency"
	"snowflow/internal/registry/leases"
	"snowflow/internal/transport/wire"
)

// sweepInterval is how far the leader clock moves between two sweeps. Sweeps are part of Apply, so that every replica makes the
// same ones.
const sweepInterval = 250 * monotonic.Millisecond

// Machine is the replicated state. It is not safe for concurrent use; the replication member serializes the calls.
//
// Invariant: it changes only in Apply and Restore, and depends on nothing but their arguments.
type Machine struct {
	Breakers  *breakerstore.Table
	Claims    *idempotency.Table
	Leases    *leases.Table
	lastSweep monotonic.Micros
}

// New returns a machine in its empty state.
func New() *Machine {
	return &Machine{Breakers: breakerstore.New(), Claims: idempotency.New(), Leases: leases.New()}
}

// Apply applies an encoded command and returns its encoded result. An empty command is a tick, which only advances the time. It
// returns nil if the command cannot be decoded.
func (m *Machine) Apply(epoch uint64, now monotonic.Micros, content []byte) []byte {
	command := &wire.RegistryCommand{}
	if err := proto.Unmarshal(content, command); err != nil {
		return nil
	}
	m.sweep(command.GetTick().GetEndedSessions(), now)
	encoded, err := proto.Marshal(m.execute(command, epoch, now))
	if err != nil {
		return nil
	}
	return encoded
}

// sweep sweeps all tables, if sweepInterval has passed since the last sweep or if sessions ended.
func (m *Machine) sweep(ended []*wire.MemberID, now monotonic.Micros) {
	if now-m.lastSweep < sweepInterval && len(ended) == 0 {
		return
	}
	m.lastSweep = now
	m.Breakers.Sweep(ended, now)
	m.Claims.Sweep(now)
	m.Leases.Sweep(now)
}

// execute applies the parts of a command that are present.
func (m *Machine) execute(command *wire.RegistryCommand, epoch uint64, now monotonic.Micros) *wire.RegistryResult {
	result := &wire.RegistryResult{}
	if command.Claim != nil {
		result.Claim = m.Claims.Claim(command.Claim, now)
	}
	if command.Void != nil {
		result.Void = m.Claims.Void(command.Void, epoch, now)
	}
	if command.Complete != nil {
		result.Complete = m.Claims.Complete(command.Complete, now)
	}
	if command.ProbeLease != nil {
		result.ProbeLease = m.Breakers.LeaseProbe(command.ProbeLease, now)
	}
	if command.Breaker != nil {
		result.Breaker = m.Breakers.Write(command.Breaker, now)
	}
	if command.Singleton != nil {
		result.Singleton = m.Leases.Acquire(command.Singleton, now)
	}
	return result
}

// HasTimers reports whether something changes by the passing of time alone, so that the primary must keep writing ticks.
func (m *Machine) HasTimers() bool {
	return m.Breakers.HasTimers() || m.Claims.Len() > 0 || m.Leases.Len() > 0
}
