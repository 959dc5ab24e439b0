// Package session keeps a proxy registered with the service registry.
//
// A [Client] polls one registry server every [PollInterval]. Each poll is
//   - the heartbeat of this proxy's session, which lists the backends on its host,
//   - a read of the directory: which proxies are live and which backends they serve, and
//   - a read of the circuit breakers' records, which only the registry's leader returns.
//
// # Directory
//
// A server identifies its directory by a source (one incarnation of that server) and a version that increases with each
// change. It responds to a poll with the complete directory, with the delta from the version that the client has, or with
// no directory if that version is current. A delta is applied only to its base version, and only if the result has the
// digest that the server sent; otherwise the client drops its version, and the next response contains the complete
// directory. A server that started less than [directory.SessionTimeout] ago may not have received polls from all proxies
// yet, so a client with a complete directory keeps it until the new server's directory is complete too.
//
// A [Directory] is immutable, so callers need no lock to read it.
//
// # Calls to the leader
//
// [Client.CallLeader] sends a request to the registry's leader and retries it across a failover until a timeout. Requests
// for idempotency keys are batched: up to maxBatch of them share a message when they arrive faster than the leader
// responds.
//
// # Leader clock
//
// [Client.LeaderClock] is a lower bound of the leader's clock. A request carries the bound that was read on its arrival, and
// is rejected by a key that was fenced later. The bound must therefore never be ahead of the leader's clock.
//
// Nothing in this package is persisted: a restarted proxy has a new incarnation and starts with an empty directory.
package session
