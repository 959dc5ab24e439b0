package versions

import (
	"encoding/hex"

	"snowflow/internal/transport/wire"
)

const (
	// maxClaimedVersions is the number of claims that are kept: several weeks of changes at an ordinary rate, a day at the highest.
	maxClaimedVersions = 4096
	// digestPrefixLength is the number of bytes of a digest that are kept.
	digestPrefixLength = 16
)

// digestPrefix is the beginning of a content's SHA-256 digest.
type digestPrefix [digestPrefixLength]byte

// claimedVersions records which content each version number was claimed for. Claims are kept for much longer than the versions.
// Invariant: order holds each key of digests once, in the order of the claims, and at most maxClaimedVersions of them.
type claimedVersions struct {
	digests map[uint64]digestPrefix
	order   []uint64
}

func newClaimedVersions() claimedVersions { return claimedVersions{digests: map[uint64]digestPrefix{}} }

// prefixOf returns the beginning of a digest, which is given in hexadecimal.
func prefixOf(digest string) (prefix digestPrefix) {
	sum, _ := hex.DecodeString(digest) // no error: digests are hexadecimal, as config.Digest returns them
	copy(prefix[:], sum)
	return prefix
}

// claim assigns a number to the content with a digest unless the number is already assigned, and reports whether it's then assigned to
// this content.
func (c *claimedVersions) claim(version uint64, digest string) bool {
	prefix := prefixOf(digest)
	if claimed, exists := c.digests[version]; exists {
		return claimed == prefix
	}
	c.insert(version, prefix)
	return true
}

// insert adds a claim on a number that isn't claimed, and removes the oldest claim if there are too many.
func (c *claimedVersions) insert(version uint64, prefix digestPrefix) {
	c.digests[version] = prefix
	c.order = append(c.order, version)
	if len(c.order) > maxClaimedVersions {
		delete(c.digests, c.order[0])
		c.order = append([]uint64(nil), c.order[1:]...)
	}
}

// restore adds a claim from a snapshot. If there are two claims on one number, the first is kept.
func (c *claimedVersions) restore(taken *wire.TakenVersion) {
	var prefix digestPrefix
	copy(prefix[:], taken.Fingerprint)
	if _, exists := c.digests[taken.Version]; !exists {
		c.insert(taken.Version, prefix)
	}
}

// list returns all claims, oldest first.
func (c *claimedVersions) list() (all []*wire.TakenVersion) {
	for _, version := range c.order {
		prefix := c.digests[version]
		all = append(all, &wire.TakenVersion{Version: version, Fingerprint: prefix[:]})
	}
	return all
}
