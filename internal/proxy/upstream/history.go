package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// historyLength is how many requests a connection remembers. A surplus response arrives in place of the next one; the rest is margin.
const historyLength = 64

// requestHistory has the ids of the last requests that were sent on a connection. It keeps hashes, since callers choose the ids and
// their length. The zero value is that of a new connection.
type requestHistory struct {
	hashes [historyLength]uint64
	sent   int // requests so far; hashes has the last historyLength of them
}

// add records that a request was sent.
func (h *requestHistory) add(id string) {
	h.hashes[h.sent%historyLength] = xxhash.Sum64String(id)
	h.sent++
}

// contains reports whether a request with an id is among the last ones. Two ids with one hash count as the same.
func (h *requestHistory) contains(id string) bool {
	return slices.Contains(h.hashes[:min(h.sent, historyLength)], xxhash.Sum64String(id))
}
