// Package resource keeps sets of named messages with a digest of the whole, so that who holds one version of a set can be told the
// next by what changed, and check that it has the same.
package resource

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// Digest is a SHA-256 sum.
type Digest [sha256.Size]byte

// Short is a digest cut short, for naming a version that its holder may have. Zero names none.
func (d Digest) Short() uint64 { return binary.BigEndian.Uint64(d[:8]) }

// Resource is one named message of a set. Invariants: the message never changes; the digest is over its deterministic encoding.
type Resource struct {
	Key     string
	Message proto.Message
	digest  Digest
}

// Kind and Name are the two parts of a resource's key.
func (r *Resource) Kind() string { kind, _, _ := strings.Cut(r.Key, "/"); return kind }

// Name is what the resource is known by among those of its kind.
func (r *Resource) Name() string { _, name, _ := strings.Cut(r.Key, "/"); return name }

// buckets is the number of parts that a set's digest is made of. It's told to nobody, yet both sides of a difference must have the
// same, so it never changes.
const bucketCount = 256

// bucket holds the resources whose keys' hashes name it. Invariants: it never changes once it's in a set; the digest is over
// the keys and digests of its resources, in the order of the keys.
type bucket struct {
	resources map[string]*Resource
	digest    Digest
}

// Set is one version of a set. The empty one is Empty. Invariants: it never changes once made; two sets share the buckets in which they
// don't differ; digest is over the buckets' digests, in their order.
type Set struct {
	buckets [bucketCount]*bucket
	size    int
	digest  Digest
}

// Sum is the digest of the whole.
func (s *Set) Sum() Digest { return s.digest }

// Digest is the digest of the whole: two sets have the same one only if all their resources are the same.
func (s *Set) Digest() []byte { return s.digest[:] }

// Len is the number of resources.
func (s *Set) Len() int { return s.size }

// Get finds a resource by its key, or nothing.
func (s *Set) Get(key string) *Resource {
	if present := s.buckets[bucketIndex(key)]; present != nil {
		return present.resources[key]
	}
	return nil
}

// All lists the resources in the order of their keys.
func (s *Set) All() (all []*Resource) {
	for _, present := range s.buckets {
		if present != nil {
			all = slices.AppendSeq(all, maps.Values(present.resources))
		}
	}
	slices.SortFunc(all, byKey)
	return all
}

func byKey(one, other *Resource) int { return strings.Compare(one.Key, other.Key) }

func bucketIndex(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

var deterministic = proto.MarshalOptions{Deterministic: true}

// New makes a resource. Its message must not be changed afterwards.
func New(key string, message proto.Message) (*Resource, error) {
	content, err := deterministic.Marshal(message)
	if err != nil {
		return nil, err
	}
	return &Resource{Key: key, Message: message, digest: sha256.Sum256(content)}, nil
}

// SameDigest tells whether two resources have the same digest.
func (r *Resource) SameDigest(other *Resource) bool { return r.digest == other.digest }

// ErrInvalidSet: what was given is no set of resources.
var ErrInvalidSet = errors.New("resource: no set of resources")

// Empty is the set without resources.
var Empty = func() *Set {
	empty, err := (&Set{}).With(nil, nil, 0)
	if err != nil {
		panic(err) // nothing can be there twice
	}
	return empty
}()

// With is the set in which some resources are set and some removed, and which then has to have so many.
func (s *Set) With(updated []*Resource, removed []string, size int) (*Set, error) {
	next := &Set{buckets: s.buckets, size: s.size}
	touched := map[int]bool{}
	editBucket := func(key string) *bucket {
		at := bucketIndex(key)
		if !touched[at] {
			touched[at] = true
			fresh := &bucket{resources: map[string]*Resource{}}
			if former := next.buckets[at]; former != nil {
				fresh.resources = maps.Clone(former.resources)
			}
			next.buckets[at] = fresh
		}
		return next.buckets[at]
	}
	for _, key := range removed {
		present := editBucket(key)
		if present.resources[key] != nil {
			next.size--
		}
		delete(present.resources, key)
	}
	for _, one := range updated {
		present := editBucket(one.Key)
		if present.resources[one.Key] == nil {
			next.size++
		}
		present.resources[one.Key] = one
	}
	if next.size != size {
		return nil, fmt.Errorf("%w: %d resources in place of %d, some key is there twice", ErrInvalidSet, next.size, size)
	}
	for at := range touched {
		next.buckets[at].computeDigest()
		if len(next.buckets[at].resources) == 0 {
			next.buckets[at] = nil
		}
	}
	hash := sha256.New()
	for _, present := range next.buckets {
		if present == nil {
			present = &bucket{}
		}
		hash.Write(present.digest[:])
	}
	hash.Sum(next.digest[:0])
	return next, nil
}

func (b *bucket) computeDigest() {
	hash := sha256.New()
	for _, key := range slices.Sorted(maps.Keys(b.resources)) {
		name := sha256.Sum256([]byte(key))
		hash.Write(name[:])
		hash.Write(b.resources[key].digest[:])
	}
	hash.Sum(b.digest[:0])
}

// Diff compares two versions, each list in the order of the keys. Buckets that are the same aren't looked into.
func Diff(base, target *Set) (added, changed, removed []*Resource) {
	for at := range bucketCount {
		former, present := base.buckets[at], target.buckets[at]
		if former == nil {
			former = &bucket{}
		}
		if present == nil {
			present = &bucket{}
		}
		if former.digest == present.digest {
			continue
		}
		for key, one := range present.resources {
			earlier := former.resources[key]
			if earlier == nil {
				added = append(added, one)
			} else if earlier.digest != one.digest {
				changed = append(changed, one)
			}
		}
		for key, one := range former.resources {
			if present.resources[key] == nil {
				removed = append(removed, one)
			}
		}
	}
	for _, list := range [][]*Resource{added, changed, removed} {
		slices.SortFunc(list, byKey)
	}
	return added, changed, removed
}
