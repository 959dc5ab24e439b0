// Package changes computes the difference between two versions of the configuration, and applies it to the earlier one to get the
// later one.
//
// A version is taken as a set of resources (package resource): its routes by name, its services with their effective policies by
// name, and the paths that services have of their own by method and prefix. The order of the lists and the note are ignored. A
// Difference is computed between two sets, encoded for sending, applied to the set of the recipient, and checked by the digest of
// the result. SnapshotChange converts it into a config.Change, which is applied to a compiled config.Snapshot.
package changes
