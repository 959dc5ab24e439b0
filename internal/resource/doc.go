// Package resource implements sets of named messages with a digest of the whole set. A recipient that has one version of a set is sent
// only the changes to the next version, and verifies by the digest that the result is the same set.
//
// A set is divided into a fixed number of buckets by the hash of its resources' keys. Each bucket has a digest of its resources, and the
// set has a digest of its buckets. So the cost of a change is proportional to the buckets it affects, and a comparison of two versions
// skips equal buckets. Versions share unchanged buckets.
package resource
