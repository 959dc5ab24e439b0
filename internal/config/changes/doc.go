// Package changes computes how two versions of the configuration differ, and makes the later of the earlier and the difference.
//
// A version is taken as a set of resources (package resource): its routes by name, its services with their effective policies by
// name, and the paths that services have of their own by method and prefix. The order of the lists and the note don't count. A
// Difference is computed between two sets, encoded for sending, applied to the set of the recipient, and checked by the digest of
// the result. What a config.Snapshot has to change for it is a config.Change.
package changes
