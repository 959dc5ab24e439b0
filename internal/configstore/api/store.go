package api

import (
	"errors"

	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

var (
	// ErrNotAccepted means that no configuration store has accepted the content, and none will.
	ErrNotAccepted = errors.New("not taken: no primary postmaster is within this one's reach; ask another")
	// ErrOutcomeUnknown means that the content may have been accepted, or may still be. Applying it again unchanged is harmless.
	ErrOutcomeUnknown = errors.New("whether it was accepted is not known; apply it again with the same request id")

	errDigestMismatch = errors.New("the answer isn't what its digest says")
)

// Store applies and reads configurations, wherever the primary is. All interfaces for operators use it, whatever the format of
// their configurations.
type Store interface {
	// Apply returns the primary's response, or an error that is ErrNotAccepted or ErrOutcomeUnknown, within a timeout. A content
	// that names its version, or has a request ID, is accepted once however often it's applied; one that has neither is given
	// an ID for this call.
	Apply(timeout monotonic.Micros, request *wire.ConfigApplyRequest) (*wire.ConfigApplyResponse, error)
	// Latest returns the newest version with its content, nil before the first, within a timeout.
	Latest(timeout monotonic.Micros) (*wire.StoredConfig, error)
}

// NewStore returns a store that forwards everything to the primary.
func NewStore(host host.Host, resolver *discovery.Resolver) Store {
	return &forwardingStore{host: host, resolver: resolver}
}
