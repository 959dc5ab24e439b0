package api

import (
	"errors"
	"sync"

	"snowflow/internal/config"
	"snowflow/internal/configstore/delta"
	"snowflow/internal/transport/wire"
)

// errDigestMismatch: a primary's answer isn't what its digest says.
var errDigestMismatch = errors.New("the answer isn't what its digest says")

// minDeltaSize is the length from which a content is told by a difference, in bytes.
const minDeltaSize = 2 << 10

// recent is the content that this door last saw accepted. Invariant: digest is that of content.
type recentContent struct {
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

// short is an apply as it goes to a primary: its content told by the difference from the recent one, or compressed if that wasn't known
// there. A primary of an earlier build gets it as it is.
func (s *forwardingStore) encodeContent(leader string, request *wire.ConfigApplyRequest, full bool) *wire.ConfigApplyRequest {
	if len(request.Content) < minDeltaSize || !s.resolver.AllSupportDeltas(leader) {
		return request
	}
	digest, base := s.recent.get()
	if full {
		digest, base = "", nil
	}
	encoded, err := delta.Encode(base, request.Content)
	if err != nil {
		return request
	}
	return &wire.ConfigApplyRequest{Delta: encoded, Base: digest, ExpectedVersion: request.ExpectedVersion, Request: request.Request, AnyVersion: request.AnyVersion, Version: request.Version}
}

// whole gives a state with its content, nothing if that can't be made or isn't what its digest says.
func (s *forwardingStore) decodeContent(stored *wire.StoredConfig, have string, base []byte) *wire.StoredConfig {
	content := stored.Content
	if len(stored.Delta) > 0 {
		if stored.Base != "" && stored.Base != have {
			return nil
		}
		if stored.Base == "" {
			base = nil
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
