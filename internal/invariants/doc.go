// Package invariants checks the recorded history of a mesh for violations of its guarantees.
//
// A History holds what observers outside the mesh recorded: the requests that callers sent, the requests that reached backends,
// the configurations that operators applied and read, and periodic readings of the shared breaker records. The package does not
// depend on how the mesh works inside, so the simulator and the rehearsals with real processes record the same history.
//
// There are two kinds of checkers:
//
//   - Rules are the twelve numbered rules of docs/rules.md. CheckRules runs all of them or a selection.
//   - Checks cover further guarantees, which only some scenarios exercise: that configuration changes lose no idempotency
//     key, that every proxy adopts a version in time, and that operators' reads and writes are linearizable.
//
// Each checker returns its findings and the number of observations that it examined. A checker that examined nothing proves
// nothing, so its callers report that as a finding, too (Finding.NothingExamined).
//
// All times in a history are microseconds of a single clock, that of the observer, unless a field says otherwise. The Record methods
// are safe for concurrent use; the checkers hold the history's lock while they run.
package invariants
