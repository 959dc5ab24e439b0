// Package differences keeps the versions of the desired state that were read lately, and in what the newest differs from those that
// carriers have, so that a change costs one computation however many carriers ask.
package differences

import (
	"bytes"
	"slices"
	"sync"

	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/transport/wire"
)

// Limits on what is kept. The newest set that was asked for always is.
type Limits struct {
	Count int // of sets
	Bytes int // of the contents that the sets were read from, and of the differences
}

// DefaultLimits are the bounds that hold for what is left zero.
var DefaultLimits = Limits{Count: 8, Bytes: 64 << 20}

// version is a content that was read. A content that is no set of resources has none.
type cachedVersion struct {
	digest string // of the content
	set    *changes.Set
	bytes  int
}

// told is a difference as it's sent, nothing where the whole is shorter.
type cachedDifference struct {
	baseDigest string // digest of the base's content
	content    []byte
}

// Cache is the store.
// Invariants: read holds each content once, the one used last at the end, and no more than the bounds allow unless it's one alone;
// differences all lead to the content named by newest, and each is from a content in read.
type Cache struct {
	parse  config.Parser
	limits Limits

	mu           sync.Mutex
	versions     []cachedVersion
	latestDigest string
	differences  []cachedDifference
	computed     uint64
}

// New makes an empty store; read reads accepted contents.
func New(parse config.Parser, limits Limits) *Cache {
	if limits.Count == 0 {
		limits.Count = DefaultLimits.Count
	}
	if limits.Bytes == 0 {
		limits.Bytes = DefaultLimits.Bytes
	}
	return &Cache{parse: parse, limits: limits}
}

// Add keeps a state that was read already. Nobody may change it afterwards.
func (c *Cache) Add(content []byte, state *wire.DesiredState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(config.Digest(content), len(content), state)
}

func (c *Cache) add(digest string, length int, state *wire.DesiredState) *changes.Set {
	if found := c.touch(digest); found != nil {
		return found.set
	}
	set, _ := changes.NewSet(state) // one that is no set is remembered as such
	c.versions = append(c.versions, cachedVersion{digest: digest, set: set, bytes: length})
	c.evict()
	return set
}

// find gives a kept version and notes that it was used.
func (c *Cache) touch(digest string) *cachedVersion {
	at := slices.IndexFunc(c.versions, func(one cachedVersion) bool { return one.digest == digest })
	if at < 0 {
		return nil
	}
	found := c.versions[at]
	c.versions = append(slices.Delete(c.versions, at, at+1), found)
	return &found
}

// trim lets the versions go that weren't used for longest, with their differences.
func (c *Cache) evict() {
	for len(c.versions) > 1 && (len(c.versions) > c.limits.Count || c.size() > c.limits.Bytes) {
		evicted := c.versions[0].digest
		c.versions = slices.Delete(c.versions, 0, 1)
		c.differences = slices.DeleteFunc(c.differences, func(one cachedDifference) bool { return one.baseDigest == evicted })
	}
}

func (c *Cache) size() (size int) {
	for _, one := range c.versions {
		size += one.bytes
	}
	for _, one := range c.differences {
		size += len(one.content)
	}
	return size
}

func (c *Cache) setOf(stored *wire.StoredConfig) *changes.Set {
	if found := c.touch(stored.Digest); found != nil {
		return found.set
	}
	state, fieldErrors := c.parse(stored.Content)
	if len(fieldErrors) > 0 {
		return nil // an earlier build took it; it's only sent whole
	}
	return c.add(stored.Digest, len(stored.Content), state)
}

// Difference tells in what the newest state differs from the base that a carrier says it has, with the digest over what it
// made of it. Nothing: the whole is to be sent, since the base isn't known, was read otherwise there, or the whole is shorter.
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
	if at := slices.IndexFunc(c.differences, func(one cachedDifference) bool { return one.baseDigest == base.Digest }); at >= 0 {
		c.setOf(latest) // it's in use
		return c.differences[at].content
	}
	to := c.setOf(latest)
	if to == nil {
		return nil
	}
	c.computed++
	content, err := changes.Encode(changes.Diff(from, to), latest.Version, latest.Digest)
	if err != nil || len(content) >= len(latest.Content) {
		content = nil
	}
	if c.touch(base.Digest) != nil {
		c.differences = append(c.differences, cachedDifference{baseDigest: base.Digest, content: content})
		c.evict()
	}
	return content
}

// Computed counts the differences that were worked out.
func (c *Cache) Computed() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.computed
}

// Size tells how many sets are kept, and the bytes that count against the bound.
func (c *Cache) Size() (count, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.versions), c.size()
}
