// Package workload generates the route changes that operators make during peak traffic.
//
// The simulator's peak traffic scenario and the rehearsals with real processes use it. RouteChanges holds the current desired state
// and derives the next one by a single random change to the routes of one family. A family is a kind of traffic with a general
// route, which always exists, and up to RegionsPerFamily regional routes with longer prefixes. Every change keeps the state valid
// and leaves every request with a matching route.
//
// All random choices come from the source that the caller passes, so that the same seed gives the same changes.
package workload
