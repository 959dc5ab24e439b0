package api

import (
	"errors"

	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

var (
	// ErrNotAccepted means that no configuration store has accepted the content or will accept it.
	ErrNotAccepted = errors.New("not taken: no primary postmaster is within this one's reach; ask another")
	// ErrOutcomeUnknown means that the content may have been accepted or may still be. It's safe to apply it again unchanged.
	ErrOutcomeUnknown = errors.New("whether it was accepted is not known; apply it again with the same request id")

	errDigestMismatch = errors.New("the content doesn't match its digest")
)

// Store applies and reads configurations through the current primary. All interfaces for operators use it, whatever the format of
// their configurations.
type Store interface {
	// Apply returns the primary's response within a timeout, or ErrNotAccepted or ErrOutcomeUnknown. A request with a version or a
	// request ID is accepted once, however often it's sent. A request with neither gets a random request ID for this call.
	Apply(timeout monotonic.Micros, request *wire.ConfigApplyRequest) (*wire.ConfigApplyResponse, error)
	// Latest returns the newest version with its content within a timeout. It returns nil if there is no version.
	Latest(timeout monotonic.Micros) (*wire.StoredConfig, error)
}

// NewStore returns a Store that forwards all requests to the primary.
func NewStore(host host.Host, resolver *discovery.Resolver) Store {
	return &forwardingStore{host: host, resolver: resolver}
}
