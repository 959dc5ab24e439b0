// Package statemachine implements the registry's replicated state: the breaker records, the claims of idempotency keys and the
// singleton leases. Machine is the state machine that package replication runs.
//
// A command is a wire.RegistryCommand, its result a wire.RegistryResult, and a snapshot a wire.RegistrySnapshot. Commands and snapshots
// are stored in the replicated log, so later releases must be able to read their encoding.
package statemachine

import (
	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/registry/idempotency"
	"snowflow/internal/registry/leases"
	"snowflow/internal/transport/wire"
)

// sweepInterval is the minimum time on the leader clock between two sweeps. Sweeps are part of Apply, so that all replicas sweep at the
// same commands.
const sweepInterval = 250 * monotonic.Millisecond

// Machine is the replicated state. It is not safe for concurrent use; the replication member serializes the calls.
//
// Invariant: the state changes only in Apply and Restore, and depends only on their arguments.
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

// Apply applies an encoded command and returns its encoded result. An empty command is a tick, which only advances the time. Apply
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

// sweep sweeps all tables if sweepInterval has passed since the last sweep, or if sessions ended.
func (m *Machine) sweep(ended []*wire.MemberID, now monotonic.Micros) {
	if now-m.lastSweep < sweepInterval && len(ended) == 0 {
		return
	}
	m.lastSweep = now
	m.Breakers.Sweep(ended, now)
	m.Claims.Sweep(now)
	m.Leases.Sweep(now)
}

// execute applies the parts of a command that are set.
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

// HasTimers reports whether the state changes by the passing of time alone. The primary then has to keep writing ticks.
func (m *Machine) HasTimers() bool {
	return m.Breakers.HasTimers() || m.Claims.Len() > 0 || m.Leases.Len() > 0
}
