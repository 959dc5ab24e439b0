package resource

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ErrInvalidSet means that resources don't form a set, because two of them have the same key.
var ErrInvalidSet = errors.New("resource: invalid set of resources")

// bucketCount is the number of buckets of a set. The digest depends on it, so all builds must use the same number.
const bucketCount = 256

// bucket holds the resources whose keys hash to its index. It's immutable once it's in a set. Its digest is computed from the digests of
// the keys and the resources, in the order of the keys.
type bucket struct {
	resources map[string]*Resource
	digest    Digest
}

// emptyBucket stands for a bucket without resources, which is nil in a set.
var emptyBucket = &bucket{}

// Set is one version of a set. It's immutable. Its digest is computed from the digests of its buckets in order. The zero Set has no
// digest; use Empty for a valid empty set.
type Set struct {
	buckets [bucketCount]*bucket
	size    int
	digest  Digest
}

// Empty is the set without resources.
var Empty = func() *Set {
	empty, err := (&Set{}).With(nil, nil, 0)
	if err != nil {
		panic(err) // without resources there is no duplicate key
	}
	return empty
}()

// Sum returns the set's digest. Two sets have the same digest only if they contain the same resources.
func (s *Set) Sum() Digest { return s.digest }

// Digest returns the set's digest as a slice, which must not be modified.
func (s *Set) Digest() []byte { return s.digest[:] }

// Len returns the number of resources.
func (s *Set) Len() int { return s.size }

// Get returns the resource with the given key, or nil if there is none.
func (s *Set) Get(key string) *Resource { return s.bucket(bucketIndex(key)).resources[key] }

// All returns all resources, sorted by key.
func (s *Set) All() (all []*Resource) {
	for index := range s.buckets {
		all = slices.AppendSeq(all, maps.Values(s.bucket(index).resources))
	}
	slices.SortFunc(all, compareKeys)
	return all
}

func (s *Set) bucket(index int) *bucket {
	if present := s.buckets[index]; present != nil {
		return present
	}
	return emptyBucket
}

func bucketIndex(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// With returns a version in which some resources are set and others removed. size is the number of resources that the result must have;
// otherwise the error is ErrInvalidSet.
func (s *Set) With(updated []*Resource, removed []string, size int) (*Set, error) {
	e := &edit{next: &Set{buckets: s.buckets, size: s.size}, copied: map[int]bool{}}
	for _, key := range removed {
		e.remove(key)
	}
	for _, r := range updated {
		e.set(r)
	}
	if e.next.size != size {
		return nil, fmt.Errorf("%w: %d resources, expected %d; there is a duplicate key", ErrInvalidSet, e.next.size, size)
	}
	e.computeDigests()
	return e.next, nil
}

// edit modifies a new version. Its buckets are shared with the previous version until they are written to.
type edit struct {
	next *Set
	// copied holds the indexes of the buckets that belong only to the new version.
	copied map[int]bool
}

// bucket returns the bucket of a key for writing, and copies it first if it's shared.
func (e *edit) bucket(key string) *bucket {
	index := bucketIndex(key)
	if !e.copied[index] {
		e.copied[index] = true
		clone := &bucket{resources: maps.Clone(e.next.bucket(index).resources)}
		if clone.resources == nil {
			clone.resources = map[string]*Resource{}
		}
		e.next.buckets[index] = clone
	}
	return e.next.buckets[index]
}

func (e *edit) remove(key string) {
	bucket := e.bucket(key)
	if bucket.resources[key] != nil {
		e.next.size--
	}
	delete(bucket.resources, key)
}

func (e *edit) set(r *Resource) {
	bucket := e.bucket(r.Key)
	if bucket.resources[r.Key] == nil {
		e.next.size++
	}
	bucket.resources[r.Key] = r
}

// computeDigests computes the digests of the new version and replaces empty buckets by nil.
func (e *edit) computeDigests() {
	for index := range e.copied {
		if len(e.next.buckets[index].resources) == 0 {
			e.next.buckets[index] = nil
			continue
		}
		e.next.buckets[index].computeDigest()
	}
	hash := sha256.New()
	for index := range e.next.buckets {
		digest := e.next.bucket(index).digest
		hash.Write(digest[:])
	}
	hash.Sum(e.next.digest[:0])
}

func (b *bucket) computeDigest() {
	hash := sha256.New()
	for _, key := range slices.Sorted(maps.Keys(b.resources)) {
		keyDigest := sha256.Sum256([]byte(key))
		hash.Write(keyDigest[:])
		hash.Write(b.resources[key].digest[:])
	}
	hash.Sum(b.digest[:0])
}

// Diff returns the resources in which target differs from base. Each list is sorted by key. Removed resources are those of the base.
func Diff(base, target *Set) (added, changed, removed []*Resource) {
	for index := range bucketCount {
		from, to := base.bucket(index), target.bucket(index)
		if from.digest == to.digest {
			continue
		}
		for key, r := range to.resources {
			previous := from.resources[key]
			if previous == nil {
				added = append(added, r)
			} else if !previous.SameDigest(r) {
				changed = append(changed, r)
			}
		}
		for key, r := range from.resources {
			if to.resources[key] == nil {
				removed = append(removed, r)
			}
		}
	}
	for _, list := range [][]*Resource{added, changed, removed} {
		slices.SortFunc(list, compareKeys)
	}
	return added, changed, removed
}
