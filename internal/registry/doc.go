// Package registry implements the service registry. It tracks the proxies of the mesh and their backends, and holds the state that
// proxies share.
//
// A registry is a group of processes. Its state has two parts:
//   - The directory of sessions (package directory), which each process keeps in memory. A proxy sends its session with every poll, any
//     process answers polls, and the processes exchange the sessions that they received.
//   - The breaker records (breakerstore), the claims of idempotency keys (idempotency) and the singleton leases (leases). Together
//     they are one replicated state machine (statemachine), run by package replication. Only the primary answers requests for this
//     state, and it writes each change to its log and to its backups before it responds.
//
// The primary answers without a write if the state would not change: a claim that was already granted, or a probe that the current
// record does not allow.
//
// # Lifecycle of a claim
//
// The proxy on a backend's machine claims a request's key before it delivers the request. It sends claims, voids and completions one per
// message (claims.go) or in batches (batch.go). Each is a wire.RegistryCommand that propose or Member.ProposeAll commits: the primary
// stamps it with its epoch and the leader clock, then appends and syncs it on every replica. Every replica executes it by
// statemachine.Machine.Apply, whose result is the response. If the outcome of a claim is unknown because the primary failed or the
// response was lost, the proxy repeats the claim for the same attempt, and RepeatedGrant recognizes a claim that was granted.
package registry
