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
	// retryDelay is the delay between two attempts to reach a primary.
	retryDelay = 100 * monotonic.Millisecond
	// findPrimaryTimeout is how long an apply tries to reach a primary before it fails. It's longer than a failover.
	findPrimaryTimeout = 4 * monotonic.Second
	// maxProbeTimeout and minProbeTimeout limit the timeout of one probe of the primary.
	maxProbeTimeout = 500 * monotonic.Millisecond
	minProbeTimeout = monotonic.Millisecond
	// minApplyTimeout is the minimum timeout of one apply request to a primary, unless the deadline is sooner.
	minApplyTimeout = monotonic.Second
)

// forwardingStore is a Store that forwards all requests to the primary. It's safe for concurrent use.
type forwardingStore struct {
	host     host.Host
	resolver *discovery.Resolver
	// recent is the content that was last accepted or read. It's only used as the base of deltas: responses always come from the
	// primary.
	recent recentContent
}

// waitBeforeRetry sleeps for retryDelay, at most until the deadline. Meanwhile the resolver looks for the primary in a separate task,
// so that a process that doesn't respond doesn't delay the retry.
func (s *forwardingStore) waitBeforeRetry(deadline monotonic.Micros) {
	s.host.Go(s.resolver.Refresh)
	s.host.Sleep(max(0, min(retryDelay, deadline-s.host.Now())))
}

// readPrimary reads from the primary, and retries until the timeout, for example during a failover. Reads are idempotent.
func (s *forwardingStore) readPrimary(request *wire.ConfigReadRequest, timeout monotonic.Micros) (*wire.ConfigReadResponse, error) {
	deadline := s.host.Now() + timeout
	var err error = apierror.Unreachable.New("no primary postmaster is known")
	for s.host.Now() < deadline {
		if primary := s.resolver.PrimaryName(configstore.Group); primary != "" {
			response := &wire.ConfigReadResponse{}
			if err = s.resolver.Call(primary, wire.Kind_config_read, request, response, deadline-s.host.Now()); err == nil {
				return response, nil
			}
		}
		s.waitBeforeRetry(deadline)
	}
	return nil, err
}

// canReachPrimary reports whether a process responds as primary within a timeout. It probes with a read of a version that doesn't
// exist, because only the primary responds to a read without an error.
func (s *forwardingStore) canReachPrimary(timeout monotonic.Micros) bool {
	deadline := s.host.Now() + timeout
	probe := &wire.ConfigReadRequest{Version: math.MaxUint64}
	for {
		primary := s.resolver.PrimaryName(configstore.Group)
		limit := max(minProbeTimeout, min(maxProbeTimeout, deadline-s.host.Now()))
		if primary != "" && s.resolver.Call(primary, wire.Kind_config_read, probe, &wire.ConfigReadResponse{}, limit) == nil {
			return true
		}
		if s.host.Now() >= deadline {
			return false
		}
		s.waitBeforeRetry(deadline)
	}
}

// Apply implements Store. The content is sent only after a primary has responded, so that before then it certainly hasn't been
// accepted.
func (s *forwardingStore) Apply(timeout monotonic.Micros, request *wire.ConfigApplyRequest) (*wire.ConfigApplyResponse, error) {
	deadline := s.host.Now() + timeout
	request = s.withRequestID(request)
	if !s.canReachPrimary(min(findPrimaryTimeout, timeout)) {
		return nil, ErrNotAccepted
	}
	// sent means that a primary may have received the apply. sendFull means that a primary didn't have the base of the delta.
	sent, sendFull := false, false
	var lastErr error = apierror.Unreachable.New("the deadline passed before the request could be sent")
	for s.host.Now() < deadline {
		primary := s.resolver.PrimaryName(configstore.Group)
		if primary == "" {
			s.waitBeforeRetry(deadline)
			continue
		}
		response, err := s.applyAt(primary, request, sendFull, deadline)
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

// withRequestID returns the request with a random request ID if it has neither a version nor an ID and so couldn't be repeated safely.
func (s *forwardingStore) withRequestID(request *wire.ConfigApplyRequest) *wire.ConfigApplyRequest {
	if request.Version > 0 || request.Request != "" {
		return request
	}
	request = proto.CloneOf(request)
	request.Request = fmt.Sprintf("%016x%016x", s.host.Random(), s.host.Random())
	return request
}

// applyAt sends an apply request to a primary. It waits for half of the remaining time, but at least for minApplyTimeout, so that there
// is time to send it to the next primary if this one doesn't respond.
func (s *forwardingStore) applyAt(primary string, request *wire.ConfigApplyRequest, sendFull bool, deadline monotonic.Micros) (*wire.ConfigApplyResponse, error) {
	response, encoded := &wire.ConfigApplyResponse{}, s.encodeContent(primary, request, sendFull)
	remaining := deadline - s.host.Now()
	timeout := max(remaining/2, min(remaining, minApplyTimeout))
	return response, s.resolver.Call(primary, wire.Kind_config_apply, encoded, response, timeout)
}

// Latest implements Store. The content is read as a delta from the recent content if possible. If it can't be decoded or doesn't match
// its digest, it's read once more in full.
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
