package versions

import (
	"math"

	"snowflow/internal/config"
	"snowflow/internal/transport/wire"
)

// The outcomes of an apply. They are sent to clients and shown to operators.
const (
	// Accepted: the configuration is stored, or was before.
	Accepted = "accepted"
	// Conflict: the expected version isn't the newest, or the request ID or the version number stands for another content.
	// Nothing changed.
	Conflict = "conflict"
	// Invalid: the configuration has errors. Nothing changed.
	Invalid = "invalid"
	// BaseUnknown: the content came as a delta from one that isn't stored here. Nothing changed; the full content is to be sent.
	BaseUnknown = "base_unknown"
)

// Reasons for a Conflict, as they are shown to operators.
const (
	reasonRequestReused  = "request id was used with another content"
	reasonVersionClaimed = "the version stands for another content"
	reasonVersionsRunOut = "no serial is left"
)

// WithoutContent returns an apply like request without its content, for a delta or the full content to be set.
func WithoutContent(request *wire.ConfigApplyRequest) *wire.ConfigApplyRequest {
	return &wire.ConfigApplyRequest{
		ExpectedVersion: request.ExpectedVersion,
		AnyVersion:      request.AnyVersion,
		Version:         request.Version,
		Request:         request.Request,
	}
}

// applyRequest executes an apply, whose content may be a delta.
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

// acceptNext stores a content under the number that follows the newest, if that is the one the client expects. A request ID
// that is stored with the same content gets the same response again.
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
		return s.conflict(reasonVersionsRunOut)
	}
	stored := &wire.StoredConfig{Version: latest + 1, Content: request.Content, Digest: digest, Request: request.Request}
	s.append(stored)
	return accepted(stored)
}

// acceptVersion stores a content under the number that the client names, if that is above the newest. The same content under a
// claimed number, and any content under a lower number that was never claimed, is acknowledged and changes nothing, so that
// applies may be repeated and arrive in any order. Another content under a claimed number is rejected: two operators never both
// have their content confirmed under one number. The request ID is ignored.
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

// conflict returns the response to an apply that is rejected, with the newest version and the reasons, which may be none.
func (s *Store) conflict(reasons ...string) *wire.ConfigApplyResponse {
	return &wire.ConfigApplyResponse{Outcome: Conflict, Version: s.LatestVersion(), Errors: reasons}
}
