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
	Route   = "route"
	Service = "service"
	Path    = "path"
)

var deterministic = proto.MarshalOptions{Deterministic: true}

func methodOf(written string) string {
	if written == "" {
		return "*"
	}
	return written
}

func routeResource(route *wire.Route) (*Resource, error) {
	return resource.New(Route+"/"+route.Name, route)
}
func serviceResource(service *wire.ServiceInForce) (*Resource, error) {
	return resource.New(Service+"/"+service.Name, service)
}
func pathResource(path *wire.ServicePath) (*Resource, error) {
	return resource.New(Path+"/"+path.GetPath().GetMethod()+" "+path.GetPath().GetPrefix(), path)
}

// ErrDoubtful: a desired state is no set of resources. Check refuses such states, but a build that checked less may have accepted one.
var ErrDoubtful = resource.ErrDoubtful

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
			inForce := config.InForce(group, service)
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
	return (&Set{}).With(read, nil, len(read))
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
	tell func(told *wire.Difference, message proto.Message)
	gone func(change *config.Change, message proto.Message, removed bool)
}{
	Route: {func(told *wire.Difference, message proto.Message) {
		told.Routes = append(told.Routes, message.(*wire.Route))
	},
		func(change *config.Change, message proto.Message, _ bool) {
			change.GoneRoutes = append(change.GoneRoutes, message.(*wire.Route))
		}},
	Path: {func(told *wire.Difference, message proto.Message) {
		told.Paths = append(told.Paths, message.(*wire.ServicePath))
	},
		func(change *config.Change, message proto.Message, _ bool) {
			change.GonePaths = append(change.GonePaths, message.(*wire.ServicePath))
		}},
	Service: {func(told *wire.Difference, message proto.Message) {
		told.Services = append(told.Services, message.(*wire.ServiceInForce))
	},
		func(change *config.Change, message proto.Message, removed bool) {
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
func Change(base *Set, difference *Difference) *config.Change {
	change := &config.Change{}
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
	Change        *config.Change
}

// Apply makes the next version of a base and a difference as it was sent, or refuses it whole.
func Apply(base *Set, content []byte) (*Step, error) {
	told := &wire.Difference{}
	if err := proto.Unmarshal(content, told); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if !bytes.Equal(told.Base, base.Digest()) {
		return nil, ErrBase
	}
	put, err := resources(told)
	if err != nil {
		return nil, err
	}
	difference, size := &Difference{}, base.Len()-len(told.Removed)
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
	next, err := base.With(put, told.Removed, size)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDigest, err)
	}
	if !bytes.Equal(told.Digest, next.Digest()) {
		return nil, ErrDigest
	}
	return &Step{Set: next, Version: told.Version, ContentDigest: told.ContentDigest, Resources: len(put) + len(told.Removed), Change: Change(base, difference)}, nil
}
