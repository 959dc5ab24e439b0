// Package workload makes the changes of routes that operators apply on a busy day.
//
// The simulator's peak traffic scenario and the rehearsals with real processes draw their changes from it. A RouteChanges holds
// the present desired state and makes the next one by a single random change to the routes of one family. A family is a kind of
// traffic with a general route, which always exists, and up to RegionsPerFamily further routes with longer prefixes. Every change
// keeps the state valid, and every request keeps a route.
//
// All draws come from the random source that the caller passes, so that a seeded source gives the same changes again.
package workload
