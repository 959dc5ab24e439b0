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

// Errors for a difference that can't be applied. No part of it is applied then.
var (
	ErrMalformed      = errors.New("changes: the difference can't be decoded")
	ErrTenantsOmitted      = errors.New("changes: the difference is of a build that leaves tenants out")
	ErrBaseMismatch   = errors.New("changes: the difference is from another base")
	ErrDigestMismatch = errors.New("changes: the result doesn't match the difference's digest")
)

// Difference is how a version differs from another, its base. Each list is in the order of the keys.
type Difference struct {
	Added, Changed []*Resource
	// Removed are the base's resources.
	Removed      []*Resource
	base, digest Digest
}

// Len is the number of resources in which the versions differ.
func (d *Difference) Len() int { return len(d.Added) + len(d.Changed) + len(d.Removed) }

// updated returns the resources that the difference sets.
func (d *Difference) updated() []*Resource { return slices.Concat(d.Added, d.Changed) }

// Diff returns how target differs from base.
func Diff(base, target *Set) *Difference {
	difference := &Difference{base: base.Sum(), digest: target.Sum()}
	difference.Added, difference.Changed, difference.Removed = resource.Diff(base, target)
	return difference
}

// SnapshotChange returns what the base's snapshot has to change for a difference from that base.
func SnapshotChange(base *Set, difference *Difference) *config.Change {
	change := &config.Change{}
	for _, one := range difference.updated() {
		addUpdated(change, one.Message)
		if former := base.Get(one.Key); former != nil {
			addFormer(change, former.Message)
		}
	}
	for _, one := range difference.Removed {
		addRemoved(change, one.Message)
	}
	return change
}

// addUpdated notes a resource that is added or has changed.
func addUpdated(change *config.Change, message proto.Message) {
	switch message := message.(type) {
	case *wire.Route:
		change.Routes = append(change.Routes, message)
	case *wire.ServicePath:
		change.Paths = append(change.Paths, message)
	case *wire.ServiceInForce:
		change.Services = append(change.Services, message)
	case *wire.TenantInForce:
		change.Tenants = append(change.Tenants, message)
	}
}

// addFormer notes the former state of a resource that has changed. A snapshot finds a service's by its name.
func addFormer(change *config.Change, message proto.Message) {
	switch message := message.(type) {
	case *wire.Route:
		change.RemovedRoutes = append(change.RemovedRoutes, message)
	case *wire.ServicePath:
		change.RemovedPaths = append(change.RemovedPaths, message)
	case *wire.TenantInForce:
		change.RemovedTenants = append(change.RemovedTenants, message)
	}
}

// addRemoved notes a resource that is removed.
func addRemoved(change *config.Change, message proto.Message) {
	if service, is := message.(*wire.ServiceInForce); is {
		change.RemovedServices = append(change.RemovedServices, service.Name)
		return
	}
	addFormer(change, message)
}

var deterministic = proto.MarshalOptions{Deterministic: true}

// Encode returns a difference as it's sent, for the version that it leads to and the digest of that version's content.
func Encode(difference *Difference, version uint64, contentDigest string) ([]byte, error) {
	change := &config.Change{}
	for _, one := range difference.updated() {
		addUpdated(change, one.Message)
	}
	encoded := &wire.Difference{
		Base:          difference.base[:],
		Digest:        difference.digest[:],
		Version:       version,
		ContentDigest: contentDigest,
		Routes:        change.Routes,
		Services:      change.Services,
		Paths:         change.Paths,
		Tenants:       change.Tenants,
		CoversTenants: true,
	}
	for _, one := range difference.Removed {
		encoded.Removed = append(encoded.Removed, one.Key)
	}
	return deterministic.Marshal(encoded)
}

// ApplyResult is the version that a difference leads to.
type ApplyResult struct {
	Set     *Set
	Version uint64
	// ContentDigest is that of the version's content.
	ContentDigest string
	// ResourcesChanged is the number of resources in which the two versions differ.
	ResourcesChanged int
	// Change is what the base's snapshot has to change.
	Change *config.Change
}

// Apply returns the version that an encoded difference leads to from its base. Errors are ErrMalformed, ErrNoTenants, ErrBaseMismatch,
// ErrDigestMismatch, or that of a resource that can't be encoded.
func Apply(base *Set, content []byte) (*ApplyResult, error) {
	encoded := &wire.Difference{}
	if err := proto.Unmarshal(content, encoded); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if !encoded.CoversTenants {
		return nil, ErrTenantsOmitted
	}
	if !bytes.Equal(encoded.Base, base.Digest()) {
		return nil, ErrBaseMismatch
	}
	updated, err := resources(encoded)
	if err != nil {
		return nil, err
	}
	removed, err := removedResources(base, encoded.Removed)
	if err != nil {
		return nil, err
	}
	size := base.Len() - len(removed)
	for _, one := range updated {
		if base.Get(one.Key) == nil {
			size++
		}
	}
	next, err := base.With(updated, encoded.Removed, size)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDigestMismatch, err)
	}
	if !bytes.Equal(encoded.Digest, next.Digest()) {
		return nil, ErrDigestMismatch
	}
	difference := &Difference{Changed: updated, Removed: removed}
	return &ApplyResult{
		Set:              next,
		Version:          encoded.Version,
		ContentDigest:    encoded.ContentDigest,
		ResourcesChanged: difference.Len(),
		Change:           SnapshotChange(base, difference),
	}, nil
}

// resources returns the resources that an encoded difference sets.
func resources(encoded *wire.Difference) ([]*Resource, error) {
	b := &setBuilder{}
	for _, route := range encoded.Routes {
		b.add(newRouteResource(route))
	}
	for _, service := range encoded.Services {
		b.add(newServiceResource(service))
	}
	for _, path := range encoded.Paths {
		b.add(newPathResource(path))
	}
	for _, tenant := range encoded.Tenants {
		b.add(newTenantResource(tenant))
	}
	return b.resources, errors.Join(b.problems...)
}

// removedResources returns the base's resources with the given keys.
func removedResources(base *Set, keys []string) (removed []*Resource, err error) {
	for _, key := range keys {
		former := base.Get(key)
		if former == nil {
			return nil, fmt.Errorf("%w: %s, which is to be removed, doesn't exist", ErrDigestMismatch, key)
		}
		removed = append(removed, former)
	}
	return removed, nil
}
