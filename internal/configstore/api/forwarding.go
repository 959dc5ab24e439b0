package api

import (
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

const (
	// retryDelay is the time between two attempts to reach a primary.
	retryDelay = 100 * monotonic.Millisecond
	// reachTimeout is how long an apply looks for a primary before it's rejected. It's longer than a failover.
	reachTimeout = 4 * monotonic.Second
	// maxReachCall and minReachCall bound one attempt to reach the primary.
	maxReachCall = 500 * monotonic.Millisecond
	minReachCall = monotonic.Millisecond
	// minApplyCall is the least timeout of one apply at a primary, unless the deadline is sooner.
	minApplyCall = monotonic.Second
)

// forwardingStore forwards everything to the primary. It's safe for concurrent use.
type forwardingStore struct {
	host     host.Host
	resolver *discovery.Resolver
	// recent is the content that was last accepted or read. It's only a base for deltas: responses always come from the
	// primary.
	recent recentContent
}

// waitBeforeRetry sleeps for retryDelay, at most until the deadline. Meanwhile the resolver looks for the primary in a task of its
// own, so that a process that doesn't respond isn't waited for.
func (s *forwardingStore) waitBeforeRetry(deadline monotonic.Micros) {
	s.host.Go(s.resolver.Refresh)
	s.host.Sleep(max(0, min(retryDelay, deadline-s.host.Now())))
}

// readPrimary reads from the primary, and retries during a failover: reads may be repeated.
func (s *forwardingStore) readPrimary(request *wire.ConfigReadRequest, timeout monotonic.Micros) (*wire.ConfigReadResponse, error) {
	deadline := s.host.Now() + timeout
	var err error = apierror.Unreachable.New("no primary postmaster is known")
	for s.host.Now() < deadline {
		if leader := s.resolver.PrimaryName(configstore.Group); leader != "" {
			response := &wire.ConfigReadResponse{}
			if err = s.resolver.Call(leader, wire.Kind_config_read, request, response, deadline-s.host.Now()); err == nil {
				return response, nil
			}
		}
		s.waitBeforeRetry(deadline)
	}
	return nil, err
}

// reachesPrimary reports whether a process responds as primary within a timeout. It reads a version that doesn't exist, because the
// primary alone responds to a read without an error.
func (s *forwardingStore) reachesPrimary(timeout monotonic.Micros) bool {
	deadline := s.host.Now() + timeout
	probe := &wire.ConfigReadRequest{Version: math.MaxUint64}
	for {
		leader := s.resolver.PrimaryName(configstore.Group)
		limit := max(minReachCall, min(maxReachCall, deadline-s.host.Now()))
		if leader != "" && s.resolver.Call(leader, wire.Kind_config_read, probe, &wire.ConfigReadResponse{}, limit) == nil {
			return true
		}
		if s.host.Now() >= deadline {
			return false
		}
		s.waitBeforeRetry(deadline)
	}
}

// Apply implements Store. Nothing is sent before a primary has been reached, so that until then it's certain that the content
// isn't accepted.
func (s *forwardingStore) Apply(timeout monotonic.Micros, request *wire.ConfigApplyRequest) (*wire.ConfigApplyResponse, error) {
	deadline := s.host.Now() + timeout
	request = s.withRequestID(request)
	if !s.reachesPrimary(min(reachTimeout, timeout)) {
		return nil, ErrNotAccepted
	}
	// sent is set once a primary may have received the apply. sendFull is set once a primary didn't have the base of its delta.
	sent, sendFull := false, false
	var lastErr error = apierror.Unreachable.New("no time was left")
	for s.host.Now() < deadline {
		leader := s.resolver.PrimaryName(configstore.Group)
		if leader == "" {
			s.waitBeforeRetry(deadline)
			continue
		}
		response, err := s.applyAt(leader, request, sendFull, deadline)
		if err != nil {
			lastErr = err
			sent = sent || !apierror.IsUnreachable(err)
			s.waitBeforeRetry(deadline)
			continue
		}
		if response.Outcome == versions.BaseUnknown && !sendFull {
			sendFull = true
			continue
		}
		if response.Outcome == versions.Accepted {
			s.recent.set(config.Digest(request.Content), request.Content)
		}
		return response, nil
	}
	if !sent {
		return nil, fmt.Errorf("%w: %w", ErrNotAccepted, lastErr)
	}
	return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, lastErr)
}

// withRequestID gives an apply that can't be repeated safely a request ID.
func (s *forwardingStore) withRequestID(request *wire.ConfigApplyRequest) *wire.ConfigApplyRequest {
	if request.Version > 0 || request.Request != "" {
		return request
	}
	request = proto.CloneOf(request)
	request.Request = fmt.Sprintf("%016x%016x", s.host.Random(), s.host.Random())
	return request
}

// applyAt sends an apply to a primary. It waits for half of the remaining time at most, so that another primary may take over and get
// the apply if this one doesn't respond.
func (s *forwardingStore) applyAt(leader string, request *wire.ConfigApplyRequest, sendFull bool, deadline monotonic.Micros) (*wire.ConfigApplyResponse, error) {
	response, encoded := &wire.ConfigApplyResponse{}, s.encodeContent(leader, request, sendFull)
	remaining := deadline - s.host.Now()
	timeout := max(remaining/2, min(remaining, minApplyCall))
	return response, s.resolver.Call(leader, wire.Kind_config_apply, encoded, response, timeout)
}

// Latest implements Store. The content is fetched as a delta from the recent one where possible; if the result doesn't match its
// digest it's fetched once more in full.
func (s *forwardingStore) Latest(timeout monotonic.Micros) (*wire.StoredConfig, error) {
	deadline := s.host.Now() + timeout
	baseDigest, base := s.recent.get()
	request := &wire.ConfigReadRequest{BaseDigest: baseDigest, Deltas: true}
	for {
		response, err := s.readPrimary(request, deadline-s.host.Now())
		if err != nil {
			return nil, err
		}
		if !response.Found {
			return nil, nil
		}
		if stored := s.decodeContent(response.Versions[0], baseDigest, base); stored != nil {
			return stored, nil
		}
		if !request.Deltas {
			return nil, errDigestMismatch
		}
		request = &wire.ConfigReadRequest{}
	}
}
