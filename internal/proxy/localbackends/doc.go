// Package localbackends holds the backends on this proxy's host and admits requests to them.
//
// A backend registers by [Set.Register] or [Set.ApplyReport] under an instance id of its own and stays registered by sending
// heartbeats. Its entry has one of these states:
//   - available: its last heartbeat was less than [HeartbeatTimeout] ago and reported the condition [Alive] or [Working];
//   - overdue: there was no heartbeat for [HeartbeatTimeout]; the next one makes it available again;
//   - leaving: it announced that it drains; it never becomes available again under the same instance id;
//   - departed: it deregistered; the instance id can't be registered again while its entry or tombstone exists.
//
// An entry without a heartbeat for a minute is removed. If another instance registers with the same address, the entry of the
// earlier instance is replaced by a tombstone, so that its late reports are ignored. The tombstone lasts a minute too.
//
// The proxy's session announces the backends to the registry; the function passed to [New] is called when that must happen at
// once. Other proxies choose among the announced backends, but this package decides: it admits a request only to an
// available backend with a free slot ([Set.Admit]), and only if the backend's outlier detection admits it ([Set.Observe]).
//
// Nothing is persisted: after a restart of the proxy its backends register again.
package localbackends
