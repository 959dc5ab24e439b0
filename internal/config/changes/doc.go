// Package changes computes the difference between two versions of the configuration, and applies it to the first to get the second.
//
// A version is represented as a set of resources (package resource): its routes by name, its services with their effective policies by
// name, the paths that services declare themselves by method and prefix, and its tenants by name. The order of the lists and the note
// are ignored. A Difference between two sets is computed by the sender, encoded, applied to the recipient's set, and verified by the
// digest of the result. SnapshotChange converts it into a config.Change, which is applied to a compiled config.Snapshot.
package changes
