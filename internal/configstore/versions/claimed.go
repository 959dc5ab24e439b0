package versions

import (
	"encoding/hex"

	"snowflow/internal/transport/wire"
)

const (
	// maxClaimedVersions is how many numbers are remembered: several weeks of changes at an ordinary rate, a day at the highest.
	maxClaimedVersions = 4096
	// digestPrefixLength is how much of a content's digest is remembered, in bytes.
	digestPrefixLength = 16
)

// digestPrefix is the beginning of a content's SHA-256 digest.
type digestPrefix [digestPrefixLength]byte

// claimedVersions remembers which content each version number stands for, for much longer than contents are stored.
// Invariant: order holds each number of digests once, in the order of the claims, and at most maxClaimedVersions of them.
type claimedVersions struct {
	digests map[uint64]digestPrefix
	order   []uint64
}

func newClaimedVersions() claimedVersions { return claimedVersions{digests: map[uint64]digestPrefix{}} }

// prefixOf returns the beginning of a digest in hexadecimal.
func prefixOf(digest string) (prefix digestPrefix) {
	sum, _ := hex.DecodeString(digest) // made by config.Digest, so always hexadecimal
	copy(prefix[:], sum)
	return prefix
}

// claim assigns a number to a content unless it is assigned already, and reports whether it is assigned to this content.
func (c *claimedVersions) claim(version uint64, digest string) bool {
	prefix := prefixOf(digest)
	if claimed, exists := c.digests[version]; exists {
		return claimed == prefix
	}
	c.remember(version, prefix)
	return true
}

// remember adds a number that isn't claimed, and forgets the oldest beyond the limit.
func (c *claimedVersions) remember(version uint64, prefix digestPrefix) {
	c.digests[version] = prefix
	c.order = append(c.order, version)
	if len(c.order) > maxClaimedVersions {
		delete(c.digests, c.order[0])
		c.order = append([]uint64(nil), c.order[1:]...)
	}
}

// restore adds a claim of a snapshot. Of two claims on one number the first wins.
func (c *claimedVersions) restore(taken *wire.TakenVersion) {
	var prefix digestPrefix
	copy(prefix[:], taken.Fingerprint)
	if _, exists := c.digests[taken.Version]; !exists {
		c.remember(taken.Version, prefix)
	}
}

// list returns all claims in their order.
func (c *claimedVersions) list() (all []*wire.TakenVersion) {
	for _, version := range c.order {
		prefix := c.digests[version]
		all = append(all, &wire.TakenVersion{Version: version, Fingerprint: prefix[:]})
	}
	return all
}
