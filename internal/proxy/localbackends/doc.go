// Package localbackends holds the backends on this proxy's host and admits requests to them.
//
// A backend joins by [Set.Register] or [Set.ApplyReport] under an instance id of its own and keeps itself registered by
// heartbeats. Its entry goes through these states:
//   - available: registered, its last heartbeat within [HeartbeatTimeout], and in condition [Alive] or [Working];
//   - overdue: without a heartbeat for [HeartbeatTimeout]; the next heartbeat makes it available again;
//   - leaving: it announced that it drains; it never becomes available again under the same instance id;
//   - departed: it deregistered; the instance id can't be registered again while its entry or tombstone exists.
//
// An entry without a heartbeat for a minute is removed. An instance whose address another one takes over leaves a tombstone for as
// long, so that its late reports are ignored.
//
// The proxy's session announces the backends to the registry; the function passed to [New] is called when that must happen at
// once. Other proxies choose among the announced backends, and this package decides: it admits a request only to an available
// backend with a free slot ([Set.Admit]) whose outlier detection admits it ([Set.Observe]).
//
// Nothing is persisted: after a restart of the proxy its backends register again.
package localbackends
