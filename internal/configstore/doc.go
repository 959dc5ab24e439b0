// Package configstore stores the mesh's configuration and distributes it to the proxies. A configuration store process is a
// Server: one member of a replication group whose state machine is versions.Store. Only the group's primary accepts
// configurations and grants leases. The other members don't forward requests to it: they reject applies and reads, and answer a poll
// with the primaries that they know.
//
// # Versions
//
// Each accepted configuration has a version number. Version numbers only increase. The newest version is always kept; beyond
// Options.HistoryLimit the oldest versions are removed. The stored versions, the request IDs that were accepted with them and the
// claimed version numbers are replicated and on disk before an apply is acknowledged.
//
// # Leases
//
// Proxies long-poll the primary (Poll). Each poll reports the version that the proxy has adopted and grants the proxy a lease of
// Timeouts.Lease, which the proxy counts from before it sent the poll. Without Timeouts.ServeStale a proxy serves only while its
// lease is active. When Apply reports a version as accepted, each proxy
//
//   - has adopted the version or a newer one,
//   - has released its lease, so that it doesn't serve, or
//   - has a lease that ends within Timeouts.LeaseSlack.
//
// With ServeStale a proxy keeps serving when it loses contact. Apply then waits for the proxies that polled within the
// last Timeouts.Lease, at most until Timeouts.AdoptionTimeout after the commit, and reports whether all of them have adopted the
// version.
//
// Leases aren't replicated. A primary that takes over doesn't know which leases its predecessor granted, so it acknowledges
// nothing until each of them can have at most LeaseSlack left (Server.acknowledgeFrom). A planned handover sends the list of leases
// to the next primary and avoids that wait; see exportLeases. If the clock may have jumped, acknowledgements are delayed in the same
// way, because the process can't tell which leases have expired.
//
// # Concurrency
//
// Handlers run concurrently. Server.mu guards leases and the fields below it in Server; the replicated state is only read
// inside Member.Read or Member.ReadStale, which serialize with the state machine. Member's lock is taken before Server.mu.
package configstore
