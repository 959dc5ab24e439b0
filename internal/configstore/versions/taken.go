package versions

import (
	"encoding/hex"

	"snowflow/internal/transport/wire"
)

const (
	// mostTaken is how many numbers are remembered: several weeks of changes at ordinary pace, a day at the fastest.
	mostTaken = 4096
	// fingerprintLength is how many bytes of a content's digest are remembered.
	fingerprintLength = 16
)

type fingerprint [fingerprintLength]byte

// taken remembers which content each number stands for, far longer than contents are kept.
// Invariants: order holds each number in contents once, in the order in which they were claimed, and no more than mostTaken.
type taken struct {
	contents map[uint64]fingerprint
	order    []uint64
}

func newTaken() taken { return taken{contents: map[uint64]fingerprint{}} }

func fingerprintOf(digest string) (print fingerprint) {
	sum, _ := hex.DecodeString(digest) // digests are made here, as hexadecimal
	copy(print[:], sum)
	return print
}

// claim has a number stand for a content, and tells whether it does now: a number never changes what it stands for.
func (taken *taken) claim(version uint64, digest string) bool {
	print := fingerprintOf(digest)
	if present, is := taken.contents[version]; is {
		return present == print
	}
	taken.remember(version, print)
	return true
}

func (taken *taken) remember(version uint64, print fingerprint) {
	taken.contents[version] = print
	taken.order = append(taken.order, version)
	if len(taken.order) > mostTaken {
		delete(taken.contents, taken.order[0])
		taken.order = append([]uint64(nil), taken.order[1:]...)
	}
}

func (taken *taken) restore(one *wire.TakenVersion) {
	var print fingerprint
	copy(print[:], one.Fingerprint)
	if _, is := taken.contents[one.Version]; !is {
		taken.remember(one.Version, print)
	}
}

// list gives all numbers in the order in which they were claimed.
func (taken *taken) list() (all []*wire.TakenVersion) {
	for _, version := range taken.order {
		print := taken.contents[version]
		all = append(all, &wire.TakenVersion{Version: version, Fingerprint: print[:]})
	}
	return all
}
