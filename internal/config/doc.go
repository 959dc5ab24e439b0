// Package config parses and validates the mesh's configuration, and compiles it into the form that proxies use.
//
// A configuration (wire.DesiredState) consists of groups of services and a list of routes. Each service has a breaker, a retry and a
// limits policy: its own fields override those of its group, which override the defaults. A request is routed either by a route of
// the list, which splits requests among services by weight, or by a path that a service declares itself.
//
// A configuration may have tenants, each with API keys and a priority. Requests then need the key of a tenant, unless their route is
// anonymous. Snapshots and the data sent to proxies contain only digests of the keys.
//
// Parse reads a new configuration strictly and reports all its errors at once. ParseAccepted reads a configuration that was accepted
// before, possibly by another build, and doesn't validate it again. Compile builds a Snapshot from either; Snapshot.With applies a
// Change and returns the next Snapshot. Snapshots are immutable and share unchanged parts, so the cost of changing one route hardly
// depends on the number of routes. Package changes computes Changes.
//
// All durations in a configuration are in microseconds.
package config
