// Package config parses and validates the mesh's configuration, and compiles it into the form that proxies use.
//
// A configuration (wire.DesiredState) is a tree of groups and their services, and a list of routes. A service has a breaker, retry
// and limits policy, merged field by field from the defaults, its group's and its own. Routes lead requests to services:
// those of the list, which split requests among services by weight, and one for each path that a service has of its own.
//
// A configuration may have tenants, each with its keys and a priority. Then a request needs the key of a tenant, unless its route is
// anonymous. Snapshots and what is sent to proxies hold the digests of the keys alone.
//
// Parse reads a new configuration strictly and reports all its errors at once. ParseAccepted reads one that was accepted before,
// maybe by another build, and doesn't validate it again. Compile makes a Snapshot of either, and Snapshot.With the next Snapshot of a
// Change. Snapshots are immutable and share what they have in common, so that a change of one route costs little however many
// there are; package changes computes Changes.
//
// All durations of a configuration are in microseconds.
package config
