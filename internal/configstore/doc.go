// Package configstore stores the mesh's configuration and distributes it to the proxies. A configuration store process is a
// Server: one member of a replication group whose state machine is versions.Store. Only the group's primary accepts
// configurations and grants leases; the other members forward nothing and answer with what they know about the primary.
//
// # Versions
//
// Each accepted configuration has a version number. Versions only rise. The newest version always stays; older ones are
// removed oldest first, beyond Options.HistoryLimit. The stored versions, the request IDs that were accepted with them and the
// numbers that were claimed are replicated and on disk before an apply is acknowledged.
//
// # Leases
//
// Proxies long-poll the primary (Poll). Each poll names the version that the proxy has adopted and grants the proxy a lease of
// Timeouts.Lease, counted by the proxy from before it sent the poll. Without Timeouts.ServeStale a proxy serves only while its
// lease is active. When Apply has answered that a version is accepted, each proxy
//
//   - has adopted the version or a newer one,
//   - has released its lease, so that it doesn't serve, or
//   - has a lease that ends within Timeouts.LeaseSlack.
//
// With ServeStale a proxy keeps serving when it loses contact. Apply then waits, at most for Timeouts.AdoptionTimeout after the
// commit, for the proxies that polled within the last Timeouts.Lease, and says in its response whether all have adopted.
//
// Leases aren't replicated. A primary that takes over doesn't know which leases its predecessor granted, so it acknowledges
// nothing until none of them can run for more than LeaseSlack (acknowledgeFrom). A planned handover carries the list of leases to
// the next primary and avoids that wait; see exportLeases. A clock that may have jumped has the same effect as a takeover: the
// ends of leases can't be judged, so acknowledgements wait.
//
// # Concurrency
//
// Handlers run concurrently. Server.mu guards leases and the fields below it in Server; the replicated state is only read
// inside Member.Read or Member.ReadStale, which serialize with the state machine. The lock order is Member's lock, then Server.mu.
package configstore
