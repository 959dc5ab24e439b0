package versions

import (
	"math"

	"snowflow/internal/config"
	"snowflow/internal/transport/wire"
)

// Outcomes of an apply. They are sent to clients and shown to operators.
const (
	// Accepted means that the configuration is stored or superseded by a newer version.
	Accepted = "accepted"
	// Conflict means that the expected version isn't the newest, that the request ID or the version number was used with other
	// content, or that there is no higher version number. Nothing was changed.
	Conflict = "conflict"
	// Invalid means that the configuration has errors. Nothing was changed.
	Invalid = "invalid"
	// BaseUnknown means that the content is a delta from one that isn't stored here. Nothing was changed; the client must send the
	// full content.
	BaseUnknown = "base_unknown"
)

// Reasons for the outcome Conflict, as shown to operators.
const (
	reasonRequestReused     = "request id was used with another content"
	reasonVersionClaimed    = "the version stands for another content"
	reasonVersionsExhausted = "no serial is left"
)

// WithoutContent returns a copy of an apply request without its content, so that the caller can set a delta or the full content.
func WithoutContent(request *wire.ConfigApplyRequest) *wire.ConfigApplyRequest {
	return &wire.ConfigApplyRequest{
		ExpectedVersion: request.ExpectedVersion,
		AnyVersion:      request.AnyVersion,
		Version:         request.Version,
		Request:         request.Request,
	}
}

// applyRequest executes an apply request, whose content may be a delta.
func (s *Store) applyRequest(request *wire.ConfigApplyRequest) *wire.ConfigApplyResponse {
	content, known := s.ExpandContent(request)
	if !known {
		return &wire.ConfigApplyResponse{Outcome: BaseUnknown, Version: s.LatestVersion()}
	}
	full := WithoutContent(request)
	full.Content = content
	if full.Version > 0 {
		return s.acceptVersion(full)
	}
	return s.acceptNext(full)
}

// acceptNext stores content under the number after the newest, if the newest is the one that the client expects. A request whose ID is
// stored with the same content gets the same response again.
func (s *Store) acceptNext(request *wire.ConfigApplyRequest) *wire.ConfigApplyResponse {
	digest := config.Digest(request.Content)
	if earlier := s.requests[request.Request]; request.Request != "" && earlier != nil {
		if earlier.Digest != digest {
			return s.conflict(reasonRequestReused)
		}
		return accepted(earlier)
	}
	latest := s.LatestVersion()
	if !request.AnyVersion && request.ExpectedVersion != latest {
		return s.conflict()
	}
	if latest == math.MaxUint64 {
		return s.conflict(reasonVersionsExhausted)
	}
	stored := &wire.StoredConfig{Version: latest + 1, Content: request.Content, Digest: digest, Request: request.Request}
	s.append(stored)
	return accepted(stored)
}

// acceptVersion stores content under the number that the client chose, if that is above the newest. The same content under a claimed
// number, and any content under a lower number that isn't claimed, is acknowledged without changing the newest version, so that applies
// may be repeated and arrive in any order. Other content under a claimed number is rejected, so that the contents of two operators are
// never both acknowledged under one number. A request ID is stored but not checked.
func (s *Store) acceptVersion(request *wire.ConfigApplyRequest) *wire.ConfigApplyResponse {
	digest := config.Digest(request.Content)
	if !s.claimed.claim(request.Version, digest) && !s.AllowVersionReuse {
		return s.conflict(reasonVersionClaimed)
	}
	if request.Version > s.LatestVersion() {
		s.append(&wire.StoredConfig{Version: request.Version, Content: request.Content, Digest: digest, Request: request.Request})
	}
	return accepted(s.Latest())
}

// accepted returns the response to an apply that is acknowledged with a stored version.
func accepted(stored *wire.StoredConfig) *wire.ConfigApplyResponse {
	return &wire.ConfigApplyResponse{Outcome: Accepted, Version: stored.Version, Digest: stored.Digest}
}

// conflict returns the response to an apply that is rejected, with the newest version and any reasons.
func (s *Store) conflict(reasons ...string) *wire.ConfigApplyResponse {
	return &wire.ConfigApplyResponse{Outcome: Conflict, Version: s.LatestVersion(), Errors: reasons}
}
