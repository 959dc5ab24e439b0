package resource

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ErrInvalidSet means that resources don't form a set, because two have the same key.
var ErrInvalidSet = errors.New("resource: no set of resources")

// bucketCount is the number of buckets of a set. The digest depends on it, so processes of all builds must use the same.
const bucketCount = 256

// bucket holds the resources whose keys hash to its index. It's immutable once it's in a set. The digest is over the digests of the
// keys and of the resources, in the order of the keys.
type bucket struct {
	resources map[string]*Resource
	digest    Digest
}

// noBucket is returned for a bucket without resources, which a set holds as nil.
var noBucket = &bucket{}

// Set is one version of a set. It's immutable. The digest is over the buckets' digests in their order; the zero Set has no digest
// yet, see Empty.
type Set struct {
	buckets [bucketCount]*bucket
	size    int
	digest  Digest
}

// Empty is the set without resources.
var Empty = func() *Set {
	empty, err := (&Set{}).With(nil, nil, 0)
	if err != nil {
		panic(err) // nothing can be there twice
	}
	return empty
}()

// Sum returns the set's digest. Two sets have the same one only if all their resources are the same.
func (s *Set) Sum() Digest { return s.digest }

// Digest returns Sum as a slice, which must not be changed.
func (s *Set) Digest() []byte { return s.digest[:] }

// Len is the number of resources.
func (s *Set) Len() int { return s.size }

// Get returns the resource with a key, nil if there is none.
func (s *Set) Get(key string) *Resource { return s.bucket(bucketIndex(key)).resources[key] }

// All returns all resources in the order of their keys.
func (s *Set) All() (all []*Resource) {
	for index := range s.buckets {
		all = slices.AppendSeq(all, maps.Values(s.bucket(index).resources))
	}
	slices.SortFunc(all, byKey)
	return all
}

func (s *Set) bucket(index int) *bucket {
	if present := s.buckets[index]; present != nil {
		return present
	}
	return noBucket
}

func bucketIndex(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// With returns the set in which some resources are set and others removed. Size is the number of resources that it must have then;
// otherwise the error is ErrInvalidSet.
func (s *Set) With(updated []*Resource, removed []string, size int) (*Set, error) {
	e := &edit{next: &Set{buckets: s.buckets, size: s.size}, copied: map[int]bool{}}
	for _, key := range removed {
		e.remove(key)
	}
	for _, one := range updated {
		e.set(one)
	}
	if e.next.size != size {
		return nil, fmt.Errorf("%w: %d resources in place of %d, some key is there twice", ErrInvalidSet, e.next.size, size)
	}
	e.computeDigests()
	return e.next, nil
}

// edit changes a new version, whose buckets are those of the earlier one until they are written to.
type edit struct {
	next *Set
	// copied are the buckets that belong to the new version alone.
	copied map[int]bool
}

// bucket returns the bucket of a key for writing.
func (e *edit) bucket(key string) *bucket {
	index := bucketIndex(key)
	if !e.copied[index] {
		e.copied[index] = true
		fresh := &bucket{resources: maps.Clone(e.next.bucket(index).resources)}
		if fresh.resources == nil {
			fresh.resources = map[string]*Resource{}
		}
		e.next.buckets[index] = fresh
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

func (e *edit) set(one *Resource) {
	bucket := e.bucket(one.Key)
	if bucket.resources[one.Key] == nil {
		e.next.size++
	}
	bucket.resources[one.Key] = one
}

// computeDigests completes the new version.
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

// Diff returns how target differs from base, each list in the order of the keys. Removed resources are the base's.
func Diff(base, target *Set) (added, changed, removed []*Resource) {
	for index := range bucketCount {
		from, to := base.bucket(index), target.bucket(index)
		if from.digest == to.digest {
			continue
		}
		for key, one := range to.resources {
			former := from.resources[key]
			if former == nil {
				added = append(added, one)
			} else if !former.SameDigest(one) {
				changed = append(changed, one)
			}
		}
		for key, one := range from.resources {
			if to.resources[key] == nil {
				removed = append(removed, one)
			}
		}
	}
	for _, list := range [][]*Resource{added, changed, removed} {
		slices.SortFunc(list, byKey)
	}
	return added, changed, removed
}
