package api

import (
	"sync"

	"snowflow/internal/config"
	"snowflow/internal/configstore/delta"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/transport/wire"
)

// recentContent holds the most recent content and its digest. It's safe for concurrent use.
type recentContent struct {
	// mu guards the fields below. The digest is that of content.
	mu      sync.Mutex
	digest  string
	content []byte
}

func (r *recentContent) set(digest string, content []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.digest, r.content = digest, content
}

func (r *recentContent) get() (digest string, content []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digest, r.content
}

// encodeContent returns an apply request in the form in which it's sent to a primary: with its content as a delta from the recent
// content or, with sendFull, only compressed, for a primary that doesn't have the recent content. Content is sent uncompressed if it's
// short or if the primary is of an early build, which doesn't support deltas.
func (s *forwardingStore) encodeContent(primary string, request *wire.ConfigApplyRequest, sendFull bool) *wire.ConfigApplyRequest {
	if len(request.Content) < delta.MinContentSize || !s.resolver.AllSupportDeltas(primary) {
		return request
	}
	baseDigest, base := s.recent.get()
	if sendFull {
		baseDigest, base = "", nil
	}
	encoded, err := delta.Encode(base, request.Content)
	if err != nil {
		return request
	}
	compact := versions.WithoutContent(request)
	compact.Delta, compact.Base = encoded, baseDigest
	return compact
}

// decodeContent returns a version with its full content, and stores it as the recent content. It returns nil if the content can't be
// decoded or doesn't match its digest.
func (s *forwardingStore) decodeContent(stored *wire.StoredConfig, baseDigest string, base []byte) *wire.StoredConfig {
	content := stored.Content
	if len(stored.Delta) > 0 {
		switch stored.Base {
		case "":
			base = nil
		case baseDigest:
		default:
			return nil
		}
		var err error
		if content, err = delta.Decode(base, stored.Delta, config.MaxContentSize); err != nil {
			return nil
		}
	}
	if config.Digest(content) != stored.Digest {
		return nil
	}
	s.recent.set(stored.Digest, content)
	return &wire.StoredConfig{Version: stored.Version, Content: content, Digest: stored.Digest, Request: stored.Request}
}
