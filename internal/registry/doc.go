// Package registry implements the service registry: which proxies are members of the mesh and which backends they have, and the
// state that proxies share.
//
// A registry is a group of processes. Its state has two parts:
//   - the directory of sessions (package directory) is held by each process in memory. Proxies report to it with every poll,
//     and the processes exchange the sessions that they received. Any process answers polls.
//   - the breaker records (breakerstore), the claims of idempotency keys (idempotency) and the singleton leases (leases) are one
//     replicated state machine (statemachine) under package replication. The primary alone answers requests on it; it writes
//     each change to its log and to its backups before it responds.
//
// The primary answers without a write where nothing would change: a claim that was granted before, and a probe that the present
// record does not allow.
//
// # The way of a claim
//
// The proxy beside a backend claims a request's key before it delivers the request. Its claims, voids and completions come one to a
// message (claims.go) or several (batch.go). Each is a wire.RegistryCommand, which propose or Member.ProposeAll commits: the primary
// stamps it with its epoch and the leader clock, and appends and syncs it on every replica. Then statemachine.Machine.Apply executes
// it on each, and its result is the response. If a claim's outcome is unknown, because the primary failed or the response was lost, the
// proxy repeats the claim for the same attempt. RepeatedGrant recognizes one that was granted.
package registry
