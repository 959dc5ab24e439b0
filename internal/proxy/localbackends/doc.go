// Package localbackends holds the backends on this proxy's host and admits requests to them.
//
// A backend joins by [Set.Register] or [Set.ApplyReport] under an instance id of its own and keeps itself registered by
// heartbeats. Its entry goes through these states:
//   - available: registered, heard of within [HeartbeatTimeout], and in condition [Alive] or [Working];
//   - overdue: not heard of for [HeartbeatTimeout]; the next heartbeat makes it available again;
//   - leaving: it announced that it drains; it never becomes available again under the same instance id;
//   - departed: it deregistered; nothing brings the instance back.
//
// An entry that was not heard of for a minute is forgotten. So that late reports don't bring an instance back, one that lost its
// address to another leaves a tombstone for as long.
//
// The proxy's session announces the backends to the registry; the function passed to [New] is called when that must happen at
// once. Other proxies choose among the announced backends, and this package has the final say: it admits a request only to an
// available backend with a free slot ([Set.Admit]) whose outlier detection lets it in ([Set.Observe]).
//
// Nothing is persisted: after a restart of the proxy its backends register again.
package localbackends
