// Package changes works out in what two versions of the desired state differ, and makes the later of the earlier and the difference.
// A version is taken as a set of resources: its routes by name, its services as they are in force by name, and the paths that
// services have of their own. The note isn't among them.
package changes

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/config"
	"snowflow/internal/resource"
	"snowflow/internal/transport/wire"
)

// A version is a set of resources.
type (
	Digest   = resource.Digest
	Resource = resource.Resource
	Set      = resource.Set
)

// The kinds of resources, as their keys begin.
const (
	KindRoute   = "route"
	KindService = "service"
	KindPath    = "path"
)

var deterministic = proto.MarshalOptions{Deterministic: true}

func methodOf(written string) string {
	if written == "" {
		return "*"
	}
	return written
}

func newRouteResource(route *wire.Route) (*Resource, error) {
	return resource.New(KindRoute+"/"+route.Name, route)
}
func newServiceResource(service *wire.ServiceInForce) (*Resource, error) {
	return resource.New(KindService+"/"+service.Name, service)
}
func newPathResource(path *wire.ServicePath) (*Resource, error) {
	return resource.New(KindPath+"/"+path.GetPath().GetMethod()+" "+path.GetPath().GetPrefix(), path)
}

// ErrInvalidSet: a desired state is no set of resources. Check refuses such states, but a build that checked less may have accepted one.
var ErrInvalidSet = resource.ErrInvalidSet

// NewSet takes a desired state apart. What it holds must not be changed afterwards.
func NewSet(state *wire.DesiredState) (*Set, error) {
	var resources []*Resource
	var problems []error
	add := func(one *Resource, err error) {
		resources, problems = append(resources, one), append(problems, err)
	}
	services, claimed := map[string]bool{}, map[string]bool{}
	claimMatch := func(host, method, prefix string) {
		at := host + " " + methodOf(method) + " " + prefix
		if claimed[at] {
			problems = append(problems, fmt.Errorf("%w: %s is there twice", ErrInvalidSet, at))
		}
		claimed[at] = true
	}
	for _, group := range state.Groups {
		for _, service := range group.Services {
			effective := config.EffectiveService(group, service)
			services[service.Name] = true
			add(newServiceResource(&wire.ServiceInForce{Name: effective.Name, Group: effective.Group, Guard: effective.Breaker, Retry: effective.Retry, Limits: effective.Limits}))
			for _, path := range service.Paths {
				claimMatch("", path.Method, path.Prefix)
				add(newPathResource(&wire.ServicePath{Service: service.Name, Path: path}))
			}
		}
	}
	for _, route := range state.Routes {
		claimMatch(route.Host, route.Method, route.Prefix)
		sum := uint64(0)
		for _, share := range route.Split {
			if sum += uint64(share.Weight); !services[share.Service] {
				problems = append(problems, fmt.Errorf("%w: route %q leads to service %q, which isn't there", ErrInvalidSet, route.Name, share.Service))
			}
		}
		if sum == 0 {
			problems = append(problems, fmt.Errorf("%w: route %q leads nowhere", ErrInvalidSet, route.Name))
		}
		add(newRouteResource(route))
	}
	if err := errors.Join(problems...); err != nil {
		return nil, err
	}
	return (&Set{}).With(resources, nil, len(resources))
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

// Diff compares two versions.
func Diff(old, new *Set) *Difference {
	difference := &Difference{base: old.Sum(), digest: new.Sum()}
	difference.Added, difference.Changed, difference.Removed = resource.Diff(old, new)
	return difference
}

// kinds is what differs by the kind of a resource: how it's told, and how a view is told that it's gone. A service that only changed
// isn't gone: the view finds its former self by its name.
var kinds = map[string]struct {
	appendTo     func(encoded *wire.Difference, message proto.Message)
	recordFormer func(change *config.Change, message proto.Message, removed bool)
}{
	KindRoute: {func(encoded *wire.Difference, message proto.Message) {
		encoded.Routes = append(encoded.Routes, message.(*wire.Route))
	},
		func(change *config.Change, message proto.Message, _ bool) {
			change.RemovedRoutes = append(change.RemovedRoutes, message.(*wire.Route))
		}},
	KindPath: {func(encoded *wire.Difference, message proto.Message) {
		encoded.Paths = append(encoded.Paths, message.(*wire.ServicePath))
	},
		func(change *config.Change, message proto.Message, _ bool) {
			change.RemovedPaths = append(change.RemovedPaths, message.(*wire.ServicePath))
		}},
	KindService: {func(encoded *wire.Difference, message proto.Message) {
		encoded.Services = append(encoded.Services, message.(*wire.ServiceInForce))
	},
		func(change *config.Change, message proto.Message, removed bool) {
			if removed {
				change.RemovedServices = append(change.RemovedServices, message.(*wire.ServiceInForce).Name)
			}
		}},
}

// resources are those that a difference sets.
func resources(encoded *wire.Difference) (updated []*Resource, err error) {
	var problems []error
	add := func(one *Resource, err error) { updated, problems = append(updated, one), append(problems, err) }
	for _, route := range encoded.Routes {
		add(newRouteResource(route))
	}
	for _, service := range encoded.Services {
		add(newServiceResource(service))
	}
	for _, path := range encoded.Paths {
		add(newPathResource(path))
	}
	return updated, errors.Join(problems...)
}

// SnapshotChange is what a base's view has to change for a difference from that base.
func SnapshotChange(base *Set, difference *Difference) *config.Change {
	change := &config.Change{}
	updated := &wire.Difference{}
	for _, one := range slices.Concat(difference.Added, difference.Changed) {
		kinds[one.Kind()].appendTo(updated, one.Message)
		if former := base.Get(one.Key); former != nil {
			kinds[former.Kind()].recordFormer(change, former.Message, false)
		}
	}
	for _, one := range difference.Removed {
		kinds[one.Kind()].recordFormer(change, one.Message, true)
	}
	change.Routes, change.Services, change.Paths = updated.Routes, updated.Services, updated.Paths
	return change
}

// Encode gives a difference as it's sent, for the version that it leads to.
func Encode(difference *Difference, version uint64, contentDigest string) ([]byte, error) {
	encoded := &wire.Difference{Base: difference.base[:], Digest: difference.digest[:], Version: version, ContentDigest: contentDigest}
	for _, one := range slices.Concat(difference.Added, difference.Changed) {
		kinds[one.Kind()].appendTo(encoded, one.Message)
	}
	for _, one := range difference.Removed {
		encoded.Removed = append(encoded.Removed, one.Key)
	}
	return deterministic.Marshal(encoded)
}

// The ways in which a difference is refused. Nothing of it is applied then.
var (
	ErrMalformed      = errors.New("changes: the difference can't be read")
	ErrBaseMismatch   = errors.New("changes: the difference is from another base")
	ErrDigestMismatch = errors.New("changes: the result isn't what the difference says")
)

// ApplyResult is a difference that was applied: the next version, and what a view has to change for it.
type ApplyResult struct {
	Set              *Set
	Version          uint64
	ContentDigest    string
	ResourcesChanged int // in which the two versions differ
	Change           *config.Change
}

// Apply makes the next version of a base and a difference as it was sent, or refuses it whole.
func Apply(base *Set, content []byte) (*ApplyResult, error) {
	encoded := &wire.Difference{}
	if err := proto.Unmarshal(content, encoded); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if !bytes.Equal(encoded.Base, base.Digest()) {
		return nil, ErrBaseMismatch
	}
	updated, err := resources(encoded)
	if err != nil {
		return nil, err
	}
	difference, size := &Difference{}, base.Len()-len(encoded.Removed)
	for _, one := range updated {
		if base.Get(one.Key) == nil {
			size++
		}
	}
	difference.Changed = updated
	for _, key := range encoded.Removed {
		former := base.Get(key)
		if former == nil {
			return nil, fmt.Errorf("%w: %s is to be removed and isn't there", ErrDigestMismatch, key)
		}
		difference.Removed = append(difference.Removed, former)
	}
	next, err := base.With(updated, encoded.Removed, size)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDigestMismatch, err)
	}
	if !bytes.Equal(encoded.Digest, next.Digest()) {
		return nil, ErrDigestMismatch
	}
	return &ApplyResult{Set: next, Version: encoded.Version, ContentDigest: encoded.ContentDigest, ResourcesChanged: len(updated) + len(encoded.Removed), Change: SnapshotChange(base, difference)}, nil
}
