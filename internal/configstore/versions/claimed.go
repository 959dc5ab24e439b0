package versions

import (
	"encoding/hex"

	"snowflow/internal/transport/wire"
)

const (
	// maxClaimedVersions is how many numbers are remembered: several weeks of changes at ordinary pace, a day at the fastest.
	maxClaimedVersions = 4096
	// digestPrefixLength is how many bytes of a content's digest are remembered.
	digestPrefixLength = 16
)

type digestPrefix [digestPrefixLength]byte

// taken remembers which content each number stands for, far longer than contents are kept.
// Invariants: order holds each number in contents once, in the order in which they were claimed, and no more than maxClaimedVersions.
type claimedVersions struct {
	digests map[uint64]digestPrefix
	order   []uint64
}

func newClaimedVersions() claimedVersions { return claimedVersions{digests: map[uint64]digestPrefix{}} }

func prefixOf(digest string) (fingerprint digestPrefix) {
	sum, _ := hex.DecodeString(digest) // digests are made here, as hexadecimal
	copy(fingerprint[:], sum)
	return fingerprint
}

// claim has a number stand for a content, and tells whether it does now: a number never changes what it stands for.
func (c *claimedVersions) claim(version uint64, digest string) bool {
	fingerprint := prefixOf(digest)
	if present, is := c.digests[version]; is {
		return present == fingerprint
	}
	c.remember(version, fingerprint)
	return true
}

func (c *claimedVersions) remember(version uint64, fingerprint digestPrefix) {
	c.digests[version] = fingerprint
	c.order = append(c.order, version)
	if len(c.order) > maxClaimedVersions {
		delete(c.digests, c.order[0])
		c.order = append([]uint64(nil), c.order[1:]...)
	}
}

func (c *claimedVersions) restore(one *wire.TakenVersion) {
	var fingerprint digestPrefix
	copy(fingerprint[:], one.Fingerprint)
	if _, is := c.digests[one.Version]; !is {
		c.remember(one.Version, fingerprint)
	}
}

// list gives all numbers in the order in which they were claimed.
func (c *claimedVersions) list() (all []*wire.TakenVersion) {
	for _, version := range c.order {
		fingerprint := c.digests[version]
		all = append(all, &wire.TakenVersion{Version: version, Fingerprint: fingerprint[:]})
	}
	return all
}
