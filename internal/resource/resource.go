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

// Check is a digest cut short, for naming a version that its holder may have. Zero names none.
func (digest Digest) Check() uint64 { return binary.BigEndian.Uint64(digest[:8]) }

// Resource is one named message of a set. Invariants: the message never changes; the digest is over its deterministic encoding.
type Resource struct {
	Key     string
	Message proto.Message
	digest  Digest
}

// Kind and Name are the two parts of a resource's key.
func (resource *Resource) Kind() string { kind, _, _ := strings.Cut(resource.Key, "/"); return kind }

// Name is what the resource is known by among those of its kind.
func (resource *Resource) Name() string { _, name, _ := strings.Cut(resource.Key, "/"); return name }

// buckets is the number of parts that a set's digest is made of. It's told to nobody, yet both sides of a difference must have the
// same, so it never changes.
const buckets = 256

// bucket holds the resources whose keys' hashes name it. Invariants: it never changes once it's in a set; the digest is over
// the keys and digests of its resources, in the order of the keys.
type bucket struct {
	resources map[string]*Resource
	digest    Digest
}

// Set is one version of a set. The empty one is Empty. Invariants: it never changes once made; two sets share the buckets in which they
// don't differ; digest is over the buckets' digests, in their order.
type Set struct {
	buckets [buckets]*bucket
	size    int
	digest  Digest
}

// Sum is the digest of the whole.
func (set *Set) Sum() Digest { return set.digest }

// Digest is the digest of the whole: two sets have the same one only if all their resources are the same.
func (set *Set) Digest() []byte { return set.digest[:] }

// Len is the number of resources.
func (set *Set) Len() int { return set.size }

// Get finds a resource by its key, or nothing.
func (set *Set) Get(key string) *Resource {
	if present := set.buckets[index(key)]; present != nil {
		return present.resources[key]
	}
	return nil
}

// All lists the resources in the order of their keys.
func (set *Set) All() (all []*Resource) {
	for _, present := range set.buckets {
		if present != nil {
			all = slices.AppendSeq(all, maps.Values(present.resources))
		}
	}
	slices.SortFunc(all, byKey)
	return all
}

func byKey(one, other *Resource) int { return strings.Compare(one.Key, other.Key) }

func index(key string) int { return int(xxhash.Sum64String(key) % buckets) }

var deterministic = proto.MarshalOptions{Deterministic: true}

// New makes a resource. Its message must not be changed afterwards.
func New(key string, message proto.Message) (*Resource, error) {
	content, err := deterministic.Marshal(message)
	if err != nil {
		return nil, err
	}
	return &Resource{Key: key, Message: message, digest: sha256.Sum256(content)}, nil
}

// Same tells whether two resources have the same digest.
func (resource *Resource) Same(other *Resource) bool { return resource.digest == other.digest }

// ErrDoubtful: what was given is no set of resources.
var ErrDoubtful = errors.New("resource: no set of resources")

// Empty is the set without resources.
var Empty = func() *Set {
	empty, err := (&Set{}).With(nil, nil, 0)
	if err != nil {
		panic(err) // nothing can be there twice
	}
	return empty
}()

// With is the set in which some resources are set and some removed, and which then has to have so many.
func (set *Set) With(put []*Resource, removed []string, size int) (*Set, error) {
	next := &Set{buckets: set.buckets, size: set.size}
	touched := map[int]bool{}
	open := func(key string) *bucket {
		at := index(key)
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
		present := open(key)
		if present.resources[key] != nil {
			next.size--
		}
		delete(present.resources, key)
	}
	for _, one := range put {
		present := open(one.Key)
		if present.resources[one.Key] == nil {
			next.size++
		}
		present.resources[one.Key] = one
	}
	if next.size != size {
		return nil, fmt.Errorf("%w: %d resources in place of %d, some key is there twice", ErrDoubtful, next.size, size)
	}
	for at := range touched {
		next.buckets[at].seal()
		if len(next.buckets[at].resources) == 0 {
			next.buckets[at] = nil
		}
	}
	whole := sha256.New()
	for _, present := range next.buckets {
		if present == nil {
			present = &bucket{}
		}
		whole.Write(present.digest[:])
	}
	whole.Sum(next.digest[:0])
	return next, nil
}

func (bucket *bucket) seal() {
	sum := sha256.New()
	for _, key := range slices.Sorted(maps.Keys(bucket.resources)) {
		name := sha256.Sum256([]byte(key))
		sum.Write(name[:])
		sum.Write(bucket.resources[key].digest[:])
	}
	sum.Sum(bucket.digest[:0])
}

// Diff compares two versions, each list in the order of the keys. Buckets that are the same aren't looked into.
func Diff(old, new *Set) (added, changed, removed []*Resource) {
	for at := range buckets {
		former, present := old.buckets[at], new.buckets[at]
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
