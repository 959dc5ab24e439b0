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

// Errors for a difference that can't be applied. In these cases nothing is applied.
var (
	ErrMalformed      = errors.New("changes: the difference can't be decoded")
	ErrTenantsOmitted = errors.New("changes: the difference comes from a build that omits tenants")
	ErrBaseMismatch   = errors.New("changes: the difference has another base")
	ErrDigestMismatch = errors.New("changes: the result doesn't match the difference's digest")
)

// Difference describes how a version differs from another one, its base. Each list is sorted by key.
type Difference struct {
	Added, Changed []*Resource
	// Removed holds resources of the base.
	Removed      []*Resource
	base, digest Digest
}

// Len returns the number of resources in which the versions differ.
func (d *Difference) Len() int { return len(d.Added) + len(d.Changed) + len(d.Removed) }

// updated returns the resources that are added or changed.
func (d *Difference) updated() []*Resource { return slices.Concat(d.Added, d.Changed) }

// Diff returns how target differs from base.
func Diff(base, target *Set) *Difference {
	difference := &Difference{base: base.Sum(), digest: target.Sum()}
	difference.Added, difference.Changed, difference.Removed = resource.Diff(base, target)
	return difference
}

// SnapshotChange returns the change that a difference makes to the snapshot of its base.
func SnapshotChange(base *Set, difference *Difference) *config.Change {
	change := &config.Change{}
	for _, r := range difference.updated() {
		addUpdated(change, r.Message)
		if previous := base.Get(r.Key); previous != nil {
			addPrevious(change, previous.Message)
		}
	}
	for _, r := range difference.Removed {
		addRemoved(change, r.Message)
	}
	return change
}

// addUpdated adds a new or changed resource to a change.
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

// addPrevious adds the previous state of a changed resource to a change. Services need none, because a snapshot finds them by name.
func addPrevious(change *config.Change, message proto.Message) {
	switch message := message.(type) {
	case *wire.Route:
		change.RemovedRoutes = append(change.RemovedRoutes, message)
	case *wire.ServicePath:
		change.RemovedPaths = append(change.RemovedPaths, message)
	case *wire.TenantInForce:
		change.RemovedTenants = append(change.RemovedTenants, message)
	}
}

// addRemoved adds a removed resource to a change.
func addRemoved(change *config.Change, message proto.Message) {
	if service, isService := message.(*wire.ServiceInForce); isService {
		change.RemovedServices = append(change.RemovedServices, service.Name)
		return
	}
	addPrevious(change, message)
}

var deterministic = proto.MarshalOptions{Deterministic: true}

// Encode encodes a difference for sending. version and contentDigest are those of the resulting version.
func Encode(difference *Difference, version uint64, contentDigest string) ([]byte, error) {
	change := &config.Change{}
	for _, r := range difference.updated() {
		addUpdated(change, r.Message)
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
	for _, r := range difference.Removed {
		encoded.Removed = append(encoded.Removed, r.Key)
	}
	return deterministic.Marshal(encoded)
}

// ApplyResult is the version that results from applying a difference.
type ApplyResult struct {
	Set     *Set
	Version uint64
	// ContentDigest is the digest of the version's content.
	ContentDigest string
	// ResourcesChanged is the number of resources in which the two versions differ.
	ResourcesChanged int
	// Change is the change to the base's snapshot.
	Change *config.Change
}

// Apply applies an encoded difference to its base. It returns ErrMalformed, ErrTenantsOmitted, ErrBaseMismatch, ErrDigestMismatch, or
// the error of a resource that can't be encoded.
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
	updated, err := decodeResources(encoded)
	if err != nil {
		return nil, err
	}
	removed, err := removedResources(base, encoded.Removed)
	if err != nil {
		return nil, err
	}
	size := base.Len() - len(removed)
	for _, r := range updated {
		if base.Get(r.Key) == nil {
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

// decodeResources returns the resources that an encoded difference adds or changes.
func decodeResources(encoded *wire.Difference) ([]*Resource, error) {
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
	return b.resources, errors.Join(b.errs...)
}

// removedResources returns the base's resources with the given keys.
func removedResources(base *Set, keys []string) (removed []*Resource, err error) {
	for _, key := range keys {
		r := base.Get(key)
		if r == nil {
			return nil, fmt.Errorf("%w: removed resource %q doesn't exist", ErrDigestMismatch, key)
		}
		removed = append(removed, r)
	}
	return removed, nil
}
