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

// Bounds on what is kept. The newest set that was asked for always is.
type Bounds struct {
	Count int // of sets
	Bytes int // of the contents that the sets were read from, and of the differences
}

// Defaults are the bounds that hold for what is left zero.
var Defaults = Bounds{Count: 8, Bytes: 64 << 20}

// version is a content that was read. A content that is no set of resources has none.
type version struct {
	digest string // of the content
	set    *changes.Set
	bytes  int
}

// told is a difference as it's sent, nothing where the whole is shorter.
type told struct {
	base    string // digest of the base's content
	content []byte
}

// Versions is the store.
// Invariants: read holds each content once, the one used last at the end, and no more than the bounds allow unless it's one alone;
// differences all lead to the content named by newest, and each is from a content in read.
type Versions struct {
	read   config.Reader
	bounds Bounds

	lock        sync.Mutex
	kept        []version
	newest      string
	differences []told
	computed    uint64
}

// New makes an empty store; read reads accepted contents.
func New(read config.Reader, bounds Bounds) *Versions {
	if bounds.Count == 0 {
		bounds.Count = Defaults.Count
	}
	if bounds.Bytes == 0 {
		bounds.Bytes = Defaults.Bytes
	}
	return &Versions{read: read, bounds: bounds}
}

// Know keeps a state that was read already. Nobody may change it afterwards.
func (versions *Versions) Know(content []byte, state *wire.DesiredState) {
	versions.lock.Lock()
	defer versions.lock.Unlock()
	versions.know(config.Digest(content), len(content), state)
}

func (versions *Versions) know(digest string, length int, state *wire.DesiredState) *changes.Set {
	if found := versions.find(digest); found != nil {
		return found.set
	}
	set, _ := changes.Read(state) // one that is no set is remembered as such
	versions.kept = append(versions.kept, version{digest: digest, set: set, bytes: length})
	versions.trim()
	return set
}

// find gives a kept version and notes that it was used.
func (versions *Versions) find(digest string) *version {
	at := slices.IndexFunc(versions.kept, func(one version) bool { return one.digest == digest })
	if at < 0 {
		return nil
	}
	found := versions.kept[at]
	versions.kept = append(slices.Delete(versions.kept, at, at+1), found)
	return &found
}

// trim lets the versions go that weren't used for longest, with their differences.
func (versions *Versions) trim() {
	for len(versions.kept) > 1 && (len(versions.kept) > versions.bounds.Count || versions.size() > versions.bounds.Bytes) {
		gone := versions.kept[0].digest
		versions.kept = slices.Delete(versions.kept, 0, 1)
		versions.differences = slices.DeleteFunc(versions.differences, func(one told) bool { return one.base == gone })
	}
}

func (versions *Versions) size() (size int) {
	for _, one := range versions.kept {
		size += one.bytes
	}
	for _, one := range versions.differences {
		size += len(one.content)
	}
	return size
}

func (versions *Versions) set(kept *wire.StoredConfig) *changes.Set {
	if found := versions.find(kept.Digest); found != nil {
		return found.set
	}
	state, faults := versions.read(kept.Content)
	if len(faults) > 0 {
		return nil // an earlier build took it; it's only sent whole
	}
	return versions.know(kept.Digest, len(kept.Content), state)
}

// Difference tells in what the newest state differs from the base that a carrier says it has, with the digest over what it
// made of it. Nothing: the whole is to be sent, since the base isn't known, was read otherwise there, or the whole is shorter.
func (versions *Versions) Difference(base, newest *wire.StoredConfig, digest []byte) []byte {
	if base == nil || newest == nil || len(digest) == 0 || base.Version >= newest.Version {
		return nil
	}
	versions.lock.Lock()
	defer versions.lock.Unlock()
	if versions.newest != newest.Digest {
		versions.newest, versions.differences = newest.Digest, nil
	}
	from := versions.set(base)
	if from == nil || !bytes.Equal(from.Digest(), digest) {
		return nil
	}
	if at := slices.IndexFunc(versions.differences, func(one told) bool { return one.base == base.Digest }); at >= 0 {
		versions.set(newest) // it's in use
		return versions.differences[at].content
	}
	to := versions.set(newest)
	if to == nil {
		return nil
	}
	versions.computed++
	content, err := changes.Encode(changes.Diff(from, to), newest.Version, newest.Digest)
	if err != nil || len(content) >= len(newest.Content) {
		content = nil
	}
	if versions.find(base.Digest) != nil {
		versions.differences = append(versions.differences, told{base: base.Digest, content: content})
		versions.trim()
	}
	return content
}

// Computed counts the differences that were worked out.
func (versions *Versions) Computed() uint64 {
	versions.lock.Lock()
	defer versions.lock.Unlock()
	return versions.computed
}

// Held tells how many sets are kept, and the bytes that count against the bound.
func (versions *Versions) Held() (count, size int) {
	versions.lock.Lock()
	defer versions.lock.Unlock()
	return len(versions.kept), versions.size()
}
