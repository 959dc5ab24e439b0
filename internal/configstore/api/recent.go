package api

import (
	"errors"
	"sync"

	"snowflow/internal/config"
	"snowflow/internal/configstore/delta"
	"snowflow/internal/transport/wire"
)

// errNotAsTold: a primary's answer isn't what its digest says.
var errNotAsTold = errors.New("the answer isn't what its digest says")

// shortFrom is the length from which a content is told by a difference, in bytes.
const shortFrom = 2 << 10

// recent is the content that this door last saw accepted. Invariant: digest is that of content.
type recent struct {
	lock    sync.Mutex
	digest  string
	content []byte
}

func (recent *recent) keep(digest string, content []byte) {
	recent.lock.Lock()
	defer recent.lock.Unlock()
	recent.digest, recent.content = digest, content
}

func (recent *recent) get() (digest string, content []byte) {
	recent.lock.Lock()
	defer recent.lock.Unlock()
	return recent.digest, recent.content
}

// short is an apply as it goes to a primary: its content told by the difference from the recent one, or compressed if that wasn't known
// there. A primary of an earlier build gets it as it is.
func (store *forwarding) short(leader string, ask *wire.ConfigApplyRequest, whole bool) *wire.ConfigApplyRequest {
	if len(ask.Content) < shortFrom || !store.book.TakeDeltas(leader) {
		return ask
	}
	digest, base := store.recent.get()
	if whole {
		digest, base = "", nil
	}
	encoded, err := delta.Encode(base, ask.Content)
	if err != nil {
		return ask
	}
	return &wire.ConfigApplyRequest{Delta: encoded, Base: digest, ExpectedVersion: ask.ExpectedVersion, Request: ask.Request, AnyVersion: ask.AnyVersion, Version: ask.Version}
}

// whole gives a state with its content, nothing if that can't be made or isn't what its digest says.
func (store *forwarding) whole(kept *wire.StoredConfig, have string, base []byte) *wire.StoredConfig {
	content := kept.Content
	if len(kept.Delta) > 0 {
		if kept.Base != "" && kept.Base != have {
			return nil
		}
		if kept.Base == "" {
			base = nil
		}
		var err error
		if content, err = delta.Decode(base, kept.Delta, config.Longest); err != nil {
			return nil
		}
	}
	if config.Digest(content) != kept.Digest {
		return nil
	}
	store.recent.keep(kept.Digest, content)
	return &wire.StoredConfig{Version: kept.Version, Content: content, Digest: kept.Digest, Request: kept.Request}
}
