package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// historyLength is how many requests a connection remembers. One would suffice, since a duplicate response arrives in place of the
// next response; the rest is margin.
const historyLength = 64

// requestHistory holds the ids of the latest requests that were sent on a connection. It stores hashes, because callers choose the
// ids and their length. The zero value is an empty history.
type requestHistory struct {
	hashes [historyLength]uint64
	sent   int // total number of requests; hashes is a ring buffer of the last historyLength of them
}

// add records that a request was sent.
func (h *requestHistory) add(id string) {
	h.hashes[h.sent%historyLength] = xxhash.Sum64String(id)
	h.sent++
}

// contains reports whether one of the latest requests had this id. Two ids with the same hash count as equal.
func (h *requestHistory) contains(id string) bool {
	return slices.Contains(h.hashes[:min(h.sent, historyLength)], xxhash.Sum64String(id))
}
