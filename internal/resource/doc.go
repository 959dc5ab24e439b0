// Package resource holds sets of named messages with a digest over the whole set. A recipient that has one version of a set can
// be sent the next as its changes, and checks by the digest that the result is the same set.
//
// A set is divided into a fixed number of buckets by the hash of its resources' keys. Each bucket has a digest over its resources
// and the set one over its buckets, so that a change costs as much as the buckets that it touches, and comparing two versions
// skips the buckets that are the same. Versions share the buckets in which they don't differ.
package resource
