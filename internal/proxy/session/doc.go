// Package session keeps a proxy registered with the service registry.
//
// A [Client] polls one registry server every [PollInterval]. A poll is at once
//   - the heartbeat of this proxy's session, which lists the backends on its host,
//   - a read of the directory: which proxies are live and which backends they serve, and
//   - a read of the circuit breakers' records, which only the registry's leader returns.
//
// # Directory
//
// A server identifies its directory by a source (one incarnation of that server) and a version that rises with each
// change. It answers a poll with the complete directory, with the delta from the version that the client has, or with
// nothing if that version is current. A delta is applied only to the version it was made from, and only if the result has
// the digest that the server names; otherwise the client forgets its version, which makes the next answer a complete one.
// A server that started less than [directory.SessionTimeout] ago may not have heard from every proxy yet, so a client with
// a complete directory uses that until the new server's is complete too.
//
// A [Directory] never changes once built, so callers need no lock to read it.
//
// # Calls to the leader
//
// [Client.CallLeader] sends a request to the registry's leader and repeats it across a failover until a timeout. Requests
// for idempotency keys are batched: up to maxBatch of them share a message when they arrive faster than the leader
// answers.
//
// # Leader clock
//
// [Client.LeaderClock] is a lower bound of the leader's clock. A request carries the value read on its arrival, and a key
// that was fenced later than that rejects it. The bound must therefore never be ahead of the leader.
//
// Nothing in this package is persisted: a restarted proxy has a new incarnation and starts with an empty directory.
package session
