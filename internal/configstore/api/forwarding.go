package api

import (
	"errors"
	"fmt"
	"math"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/configstore"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

var (
	// ErrNotAccepted: no postmaster has taken the content, and none will.
	ErrNotAccepted = errors.New("not taken: no primary postmaster is within this one's reach; ask another")
	// ErrOutcomeUnknown: the content may have been taken, or may still be. Applying it again, unchanged, is harmless.
	ErrOutcomeUnknown = errors.New("whether it was accepted is not known; apply it again with the same request id")
)

// Store is the postmasters as a door for operators sees them, whatever dialect the door speaks.
type Store interface {
	// Apply gives the primary's answer, or ErrNotAccepted or ErrOutcomeUnknown, within patience. A content that names its version, or has
	// a request id, is taken once however often it's sent; one that has neither is given an id for this call.
	Apply(timeout monotonic.Micros, request *wire.ConfigApplyRequest) (*wire.ConfigApplyResponse, error)
	// Latest gives the newest state, nothing before the first, within patience.
	Latest(timeout monotonic.Micros) (*wire.StoredConfig, error)
}

// forwardingStore is a store that any postmaster's process has: it passes everything on to the primary.
type forwardingStore struct {
	host     host.Host
	resolver *discovery.Resolver
	// recent is the state that last went to or came from a primary. It's no more than a base for differences: what is answered is always
	// what a primary tells of now.
	recent recentContent
}

// NewStore makes a store that passes everything on to the primary.
func NewStore(host host.Host, resolver *discovery.Resolver) Store {
	return &forwardingStore{host: host, resolver: resolver}
}

// pause passes the time until it makes sense to ask again. Meanwhile somebody is asked who leads; a silent one isn't waited for.
func (s *forwardingStore) waitBeforeRetry(deadline monotonic.Micros) {
	s.host.Go(s.resolver.Refresh)
	s.host.Sleep(max(0, min(100*monotonic.Millisecond, deadline-s.host.Now())))
}

// primary asks the primary postmaster, again after a failover. Only asks that may be repeated go this way.
func (s *forwardingStore) callPrimary(kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error {
	deadline := s.host.Now() + timeout
	var err error = apierror.Unreachable.New("no primary postmaster is known")
	for s.host.Now() < deadline {
		if leader := s.resolver.Leader(configstore.Group); leader != "" {
			if err = s.resolver.Call(leader, kind, request, response, deadline-s.host.Now()); err == nil {
				return nil
			}
		}
		s.waitBeforeRetry(deadline)
	}
	return err
}

// reachTimeout is how long a door looks for a primary before it turns an apply down: time for a failover.
const reachTimeout = 4 * monotonic.Second

// reaches tells whether a process that answers as primary does so to this one. The state it's asked for isn't there: only
// whether it would look counts.
func (s *forwardingStore) reachesPrimary(timeout monotonic.Micros) bool {
	deadline := s.host.Now() + timeout
	for {
		leader := s.resolver.Leader(configstore.Group)
		limit := max(monotonic.Millisecond, min(500*monotonic.Millisecond, deadline-s.host.Now()))
		if leader != "" && s.resolver.Call(leader, wire.Kind_config_read, &wire.ConfigReadRequest{Version: math.MaxUint64}, &wire.ConfigReadResponse{}, limit) == nil {
			return true
		}
		if s.host.Now() >= deadline {
			return false
		}
		s.waitBeforeRetry(deadline)
	}
}

func (s *forwardingStore) Apply(timeout monotonic.Micros, request *wire.ConfigApplyRequest) (*wire.ConfigApplyResponse, error) {
	host := s.host
	deadline := host.Now() + timeout
	if request.Version == 0 && request.Request == "" {
		request = proto.CloneOf(request)
		request.Request = fmt.Sprintf("%016x%016x", host.Random(), host.Random())
	}
	// Until a primary was reached nothing is sent, so this much is certain.
	if !s.reachesPrimary(min(reachTimeout, timeout)) {
		return nil, ErrNotAccepted
	}
	sent, full := false, false
	var err error = apierror.Unreachable.New("no time was left")
	for host.Now() < deadline {
		if leader := s.resolver.Leader(configstore.Group); leader != "" {
			response, encoded := &wire.ConfigApplyResponse{}, s.encodeContent(leader, request, full)
			// A primary that falls silent is left time for another to take over.
			remaining := deadline - host.Now()
			if err = s.resolver.Call(leader, wire.Kind_config_apply, encoded, response, max(remaining/2, min(remaining, monotonic.Second))); err == nil {
				if response.Outcome == versions.BaseUnknown && !full {
					full = true
					continue
				}
				if response.Outcome == versions.Accepted {
					s.recent.set(config.Digest(request.Content), request.Content)
				}
				return response, nil
			}
			sent = sent || !apierror.IsUnreachable(err)
		}
		s.waitBeforeRetry(deadline)
	}
	if !sent {
		return nil, fmt.Errorf("%w: %v", ErrNotAccepted, err)
	}
	return nil, fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
}

func (s *forwardingStore) Latest(timeout monotonic.Micros) (*wire.StoredConfig, error) {
	have, base := s.recent.get()
	request, deadline := &wire.ConfigReadRequest{BaseDigest: have, Deltas: true}, s.host.Now()+timeout
	for {
		response := &wire.ConfigReadResponse{}
		if err := s.callPrimary(wire.Kind_config_read, request, response, deadline-s.host.Now()); err != nil {
			return nil, err
		}
		if !response.Found {
			return nil, nil
		}
		if stored := s.decodeContent(response.Versions[0], have, base); stored != nil {
			return stored, nil
		}
		if !request.Deltas {
			return nil, errDigestMismatch
		}
		request = &wire.ConfigReadRequest{} // it isn't what its digest says: it's asked for whole
	}
}
