// Package invariants checks the recorded history of a mesh against what must never happen in it.
//
// A History holds what observers outside the mesh saw: the requests that callers sent, the requests that backends executed,
// the configurations that operators applied and read, and periodic readings of the shared breaker records. The package knows
// nothing of how the mesh works inside, so the simulator and the rehearsals with real processes record the same history.
//
// Two kinds of checkers read it:
//
//   - Rules are the twelve numbered rules of docs/rules.md. Inspect runs all of them or those that are asked for.
//   - Checks examine further guarantees, which only some scenarios exercise: that configuration changes lose no idempotency
//     key, that every proxy adopts a version in time, and that operators' reads and writes are linearizable.
//
// Each checker returns its findings and how many observations it examined. A checker that examined nothing proves nothing:
// callers report that as a finding of its own (Finding.NothingExamined).
//
// All times in a history are microseconds of the observer's one clock. Recording is safe for concurrent use; the checkers
// hold the history's lock while they run.
package invariants
