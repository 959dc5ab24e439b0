// Package differences computes the resource-level differences from the versions that proxies have to the newest configuration version.
// It caches them and the most recently used parsed versions, so that a change costs one computation however many proxies request it.
package differences

import (
	"bytes"
	"slices"
	"sync"

	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/transport/wire"
)

// Limits limit the size of a Cache. The most recently used version is kept whatever its size.
type Limits struct {
	// Count is the maximum number of parsed versions.
	Count int
	// Bytes is the maximum total length of the contents that the versions were parsed from and of the encoded differences.
	Bytes int
}

// DefaultLimits are the values for fields of Limits that are zero.
var DefaultLimits = Limits{Count: 8, Bytes: 64 << 20}

// cachedVersion is a parsed version.
type cachedVersion struct {
	// digest is the digest of the content.
	digest string
	// set is nil if the content isn't a valid set of resources.
	set *changes.Set
	// bytes is the length of the content.
	bytes int
}

// cachedDifference is an encoded difference to the newest version.
type cachedDifference struct {
	// baseDigest is the digest of the base's content.
	baseDigest string
	// content is nil if the full content isn't longer than the difference, or if the difference can't be encoded.
	content []byte
}

// Cache holds parsed versions and the differences between them. It's safe for concurrent use.
type Cache struct {
	parse  config.Parser
	limits Limits

	// mu guards the fields below.
	mu sync.Mutex
	// versions holds each content once, the most recently used one last. It stays within the limits, except that a single version may
	// exceed them.
	versions []cachedVersion
	// latestDigest is the digest of the content to which all differences lead. The base of each difference is in versions.
	latestDigest string
	differences  []cachedDifference
	computed     uint64
}

// New returns an empty cache. There are no differences from or to versions for which parse reports errors.
func New(parse config.Parser, limits Limits) *Cache {
	if limits.Count == 0 {
		limits.Count = DefaultLimits.Count
	}
	if limits.Bytes == 0 {
		limits.Bytes = DefaultLimits.Bytes
	}
	return &Cache{parse: parse, limits: limits}
}

// Add caches a version that has already been parsed. The state must not be changed afterwards.
func (c *Cache) Add(content []byte, state *wire.DesiredState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(config.Digest(content), len(content), state)
}

// Difference returns the encoded difference from base to latest, for a proxy whose resource set for base has the given digest. It returns
// nil if the full content must be sent instead: the base is unknown or was parsed differently by the proxy, either content isn't a valid
// set of resources, or the full content isn't longer.
func (c *Cache) Difference(base, latest *wire.StoredConfig, digest []byte) []byte {
	if base == nil || latest == nil || len(digest) == 0 || base.Version >= latest.Version {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latestDigest != latest.Digest {
		c.latestDigest, c.differences = latest.Digest, nil
	}
	from := c.setOf(base)
	if from == nil || !bytes.Equal(from.Digest(), digest) {
		return nil
	}
	to := c.setOf(latest)
	if index := c.indexOfDifference(base.Digest); index >= 0 {
		return c.differences[index].content
	}
	if to == nil {
		return nil
	}
	return c.compute(base, latest, from, to)
}

// Computed returns the number of differences that were computed.
func (c *Cache) Computed() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.computed
}

// The methods below must be called with mu held.

// compute computes and caches the difference between two versions. It returns nil if the difference isn't shorter than the full content.
func (c *Cache) compute(base, latest *wire.StoredConfig, from, to *changes.Set) []byte {
	c.computed++
	content, err := changes.Encode(changes.Diff(from, to), latest.Version, latest.Digest)
	if err != nil || len(content) >= len(latest.Content) {
		content = nil
	}
	if c.touch(base.Digest) != nil { // adding the newest version may have evicted the base
		c.differences = append(c.differences, cachedDifference{baseDigest: base.Digest, content: content})
		c.evict()
	}
	return content
}

// indexOfDifference returns the index of the difference from a base, -1 if it isn't cached.
func (c *Cache) indexOfDifference(baseDigest string) int {
	return slices.IndexFunc(c.differences, func(difference cachedDifference) bool { return difference.baseDigest == baseDigest })
}

// setOf returns the resources of a stored version, nil if its content isn't a valid set of resources.
func (c *Cache) setOf(stored *wire.StoredConfig) *changes.Set {
	if found := c.touch(stored.Digest); found != nil {
		return found.set
	}
	state, fieldErrors := c.parse(stored.Content)
	if len(fieldErrors) > 0 {
		return nil // an early build that checked less accepted the content
	}
	return c.add(stored.Digest, len(stored.Content), state)
}

// add caches a version, unless it's cached already, and returns its resources, nil if its content isn't a valid set of resources.
func (c *Cache) add(digest string, length int, state *wire.DesiredState) *changes.Set {
	if found := c.touch(digest); found != nil {
		return found.set
	}
	set, _ := changes.NewSet(state) // an invalid state is cached with a nil set
	c.versions = append(c.versions, cachedVersion{digest: digest, set: set, bytes: length})
	c.evict()
	return set
}

// touch returns a cached version and marks it as the most recently used. It returns nil if the version isn't cached.
func (c *Cache) touch(digest string) *cachedVersion {
	index := slices.IndexFunc(c.versions, func(version cachedVersion) bool { return version.digest == digest })
	if index < 0 {
		return nil
	}
	found := c.versions[index]
	c.versions = append(slices.Delete(c.versions, index, index+1), found)
	return &found
}

// evict removes the least recently used versions, and the differences from them, until the cache is within the limits.
func (c *Cache) evict() {
	for len(c.versions) > 1 && (len(c.versions) > c.limits.Count || c.size() > c.limits.Bytes) {
		evicted := c.versions[0].digest
		c.versions = slices.Delete(c.versions, 0, 1)
		c.differences = slices.DeleteFunc(c.differences, func(difference cachedDifference) bool { return difference.baseDigest == evicted })
	}
}

// size returns the number of bytes that count towards Limits.Bytes.
func (c *Cache) size() (size int) {
	for _, version := range c.versions {
		size += version.bytes
	}
	for _, difference := range c.differences {
		size += len(difference.content)
	}
	return size
}
