// Package changes works out in what two versions of the desired state differ, and makes the later of the earlier and the difference.
// A version is taken as a set of resources: its routes by name, its services as they are in force by name, and the paths that
// services have of their own. The note isn't among them.
package changes

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/franking"
	"snowflow/internal/parcel/wire"
)

// Digest is a SHA-256 sum.
type Digest [sha256.Size]byte

// The kinds of resources, as their keys begin.
const (
	Route   = "route"
	Service = "service"
	Path    = "path"
)

// Resource is one part of a version. Invariants: the message never changes; the digest is over its deterministic encoding.
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

// Set is one version. Invariants: it never changes once made; two sets share the buckets in which they don't differ; digest is
// over the buckets' digests, in their order.
type Set struct {
	buckets [buckets]*bucket
	size    int
	digest  Digest
}

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

func resource(key string, message proto.Message) (*Resource, error) {
	content, err := deterministic.Marshal(message)
	if err != nil {
		return nil, err
	}
	return &Resource{Key: key, Message: message, digest: sha256.Sum256(content)}, nil
}

func methodOf(written string) string {
	if written == "" {
		return "*"
	}
	return written
}

func routeResource(route *wire.Route) (*Resource, error) {
	return resource(Route+"/"+route.Name, route)
}
func serviceResource(service *wire.ServiceInForce) (*Resource, error) {
	return resource(Service+"/"+service.Name, service)
}
func pathResource(path *wire.ServicePath) (*Resource, error) {
	return resource(Path+"/"+path.GetPath().GetMethod()+" "+path.GetPath().GetPrefix(), path)
}

// ErrDoubtful: a desired state is no set of resources. Check refuses such states, but a build that checked less may have accepted one.
var ErrDoubtful = errors.New("changes: no set of resources")

// Read takes a desired state apart. What it holds must not be changed afterwards.
func Read(state *wire.DesiredState) (*Set, error) {
	var read []*Resource
	var faults []error
	note := func(one *Resource, err error) {
		read, faults = append(read, one), append(faults, err)
	}
	services, places := map[string]bool{}, map[string]bool{}
	place := func(host, method, prefix string) {
		at := host + " " + methodOf(method) + " " + prefix
		if places[at] {
			faults = append(faults, fmt.Errorf("%w: %s is there twice", ErrDoubtful, at))
		}
		places[at] = true
	}
	for _, group := range state.Groups {
		for _, service := range group.Services {
			inForce := franking.InForce(group, service)
			services[service.Name] = true
			note(serviceResource(&wire.ServiceInForce{Name: inForce.Name, Group: inForce.Group, Guard: inForce.Guard, Retry: inForce.Retry, Limits: inForce.Limits}))
			for _, path := range service.Paths {
				place("", path.Method, path.Prefix)
				note(pathResource(&wire.ServicePath{Service: service.Name, Path: path}))
			}
		}
	}
	for _, route := range state.Routes {
		place(route.Host, route.Method, route.Prefix)
		sum := uint64(0)
		for _, share := range route.Split {
			if sum += uint64(share.Weight); !services[share.Service] {
				faults = append(faults, fmt.Errorf("%w: route %q leads to service %q, which isn't there", ErrDoubtful, route.Name, share.Service))
			}
		}
		if sum == 0 {
			faults = append(faults, fmt.Errorf("%w: route %q leads nowhere", ErrDoubtful, route.Name))
		}
		note(routeResource(route))
	}
	if err := errors.Join(faults...); err != nil {
		return nil, err
	}
	return (&Set{}).with(read, nil, len(read))
}

// with is the set in which some resources are set and some removed, and which then has to have so many.
func (set *Set) with(put []*Resource, removed []string, size int) (*Set, error) {
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

// Difference is in what a version differs from another, each list in the order of the keys.
type Difference struct {
	Added, Changed []*Resource
	Removed        []*Resource
	base, digest   Digest
}

// Empty tells that there's no difference.
func (difference *Difference) Empty() bool {
	return len(difference.Added)+len(difference.Changed)+len(difference.Removed) == 0
}

// Diff compares two versions. Buckets that are the same aren't looked into.
func Diff(old, new *Set) *Difference {
	difference := &Difference{base: old.digest, digest: new.digest}
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
				difference.Added = append(difference.Added, one)
			} else if earlier.digest != one.digest {
				difference.Changed = append(difference.Changed, one)
			}
		}
		for key, one := range former.resources {
			if present.resources[key] == nil {
				difference.Removed = append(difference.Removed, one)
			}
		}
	}
	for _, list := range [][]*Resource{difference.Added, difference.Changed, difference.Removed} {
		slices.SortFunc(list, byKey)
	}
	return difference
}

// kinds is what differs by the kind of a resource: how it's told, and how a view is told that it's gone. A service that only changed
// isn't gone: the view finds its former self by its name.
var kinds = map[string]struct {
	tell func(told *wire.Difference, message proto.Message)
	gone func(change *franking.Change, message proto.Message, removed bool)
}{
	Route: {func(told *wire.Difference, message proto.Message) {
		told.Routes = append(told.Routes, message.(*wire.Route))
	},
		func(change *franking.Change, message proto.Message, _ bool) {
			change.GoneRoutes = append(change.GoneRoutes, message.(*wire.Route))
		}},
	Path: {func(told *wire.Difference, message proto.Message) {
		told.Paths = append(told.Paths, message.(*wire.ServicePath))
	},
		func(change *franking.Change, message proto.Message, _ bool) {
			change.GonePaths = append(change.GonePaths, message.(*wire.ServicePath))
		}},
	Service: {func(told *wire.Difference, message proto.Message) {
		told.Services = append(told.Services, message.(*wire.ServiceInForce))
	},
		func(change *franking.Change, message proto.Message, removed bool) {
			if removed {
				change.RemovedServices = append(change.RemovedServices, message.(*wire.ServiceInForce).Name)
			}
		}},
}

// resources are those that a difference sets.
func resources(told *wire.Difference) (put []*Resource, err error) {
	var faults []error
	note := func(one *Resource, err error) { put, faults = append(put, one), append(faults, err) }
	for _, route := range told.Routes {
		note(routeResource(route))
	}
	for _, service := range told.Services {
		note(serviceResource(service))
	}
	for _, path := range told.Paths {
		note(pathResource(path))
	}
	return put, errors.Join(faults...)
}

// Change is what a base's view has to change for a difference from that base.
func Change(base *Set, difference *Difference) *franking.Change {
	change := &franking.Change{}
	put := &wire.Difference{}
	for _, one := range slices.Concat(difference.Added, difference.Changed) {
		kinds[one.Kind()].tell(put, one.Message)
		if former := base.Get(one.Key); former != nil {
			kinds[former.Kind()].gone(change, former.Message, false)
		}
	}
	for _, one := range difference.Removed {
		kinds[one.Kind()].gone(change, one.Message, true)
	}
	change.Routes, change.Services, change.Paths = put.Routes, put.Services, put.Paths
	return change
}

// Encode gives a difference as it's sent, for the version that it leads to.
func Encode(difference *Difference, version uint64, contentDigest string) ([]byte, error) {
	told := &wire.Difference{Base: difference.base[:], Digest: difference.digest[:], Version: version, ContentDigest: contentDigest}
	for _, one := range slices.Concat(difference.Added, difference.Changed) {
		kinds[one.Kind()].tell(told, one.Message)
	}
	for _, one := range difference.Removed {
		told.Removed = append(told.Removed, one.Key)
	}
	return deterministic.Marshal(told)
}

// The ways in which a difference is refused. Nothing of it is applied then.
var (
	ErrUnreadable = errors.New("changes: the difference can't be read")
	ErrBase       = errors.New("changes: the difference is from another base")
	ErrDigest     = errors.New("changes: the result isn't what the difference says")
)

// Step is a difference that was applied: the next version, and what a view has to change for it.
type Step struct {
	Set           *Set
	Version       uint64
	ContentDigest string
	Resources     int // in which the two versions differ
	Change        *franking.Change
}

// Apply makes the next version of a base and a difference as it was sent, or refuses it whole.
func Apply(base *Set, content []byte) (*Step, error) {
	told := &wire.Difference{}
	if err := proto.Unmarshal(content, told); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if !bytes.Equal(told.Base, base.digest[:]) {
		return nil, ErrBase
	}
	put, err := resources(told)
	if err != nil {
		return nil, err
	}
	difference, size := &Difference{}, base.size-len(told.Removed)
	for _, one := range put {
		if base.Get(one.Key) == nil {
			size++
		}
	}
	difference.Changed = put
	for _, key := range told.Removed {
		former := base.Get(key)
		if former == nil {
			return nil, fmt.Errorf("%w: %s is to be removed and isn't there", ErrDigest, key)
		}
		difference.Removed = append(difference.Removed, former)
	}
	next, err := base.with(put, told.Removed, size)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDigest, err)
	}
	if !bytes.Equal(told.Digest, next.digest[:]) {
		return nil, ErrDigest
	}
	return &Step{Set: next, Version: told.Version, ContentDigest: told.ContentDigest, Resources: len(put) + len(told.Removed), Change: Change(base, difference)}, nil
}
