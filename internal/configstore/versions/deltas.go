package versions

import (
	"errors"
	"fmt"

	"snowflow/internal/config"
	"snowflow/internal/configstore/delta"
	"snowflow/internal/transport/wire"
)

var (
	errDeltaBase = errors.New("the base isn't the preceding version")
	errDigest    = errors.New("the content doesn't match its digest")
)

// encodeDeltas returns each version with its content as a delta from the preceding version; the first is only compressed. A version
// whose delta can't be encoded keeps its full content.
func encodeDeltas(configs []*wire.StoredConfig) []*wire.StoredConfig {
	all := make([]*wire.StoredConfig, 0, len(configs))
	var previous *wire.StoredConfig
	for _, stored := range configs {
		all = append(all, EncodeDelta(stored, previous))
		previous = stored
	}
	return all
}

// EncodeDelta returns a version with its content as a delta from a base, or compressed if base is nil. If the delta can't be encoded, the
// result has the full content. The arguments aren't changed.
func EncodeDelta(stored, base *wire.StoredConfig) *wire.StoredConfig {
	compact := &wire.StoredConfig{Version: stored.Version, Digest: stored.Digest, Request: stored.Request}
	encoded, err := delta.Encode(base.GetContent(), stored.Content)
	if err != nil {
		compact.Content = stored.Content
		return compact
	}
	compact.Delta, compact.Base = encoded, base.GetDigest()
	return compact
}

// decodeDeltas reverses encodeDeltas. It also accepts versions with full contents. The error names the version whose content can't be
// decoded or doesn't match its digest.
func decodeDeltas(configs []*wire.StoredConfig) ([]*wire.StoredConfig, error) {
	all := make([]*wire.StoredConfig, 0, len(configs))
	var previous *wire.StoredConfig
	for _, stored := range configs {
		full, err := decodeDelta(stored, previous)
		if err != nil {
			return nil, fmt.Errorf("configuration version %d: %w", stored.Version, err)
		}
		all = append(all, full)
		previous = full
	}
	return all, nil
}

// decodeDelta returns a version with its full content, decoded with the preceding version as the base if it has a delta, and checks its
// digest.
func decodeDelta(stored, previous *wire.StoredConfig) (*wire.StoredConfig, error) {
	full := stored
	if len(stored.Delta) > 0 {
		if stored.Base != previous.GetDigest() {
			return nil, errDeltaBase
		}
		content, err := delta.Decode(previous.GetContent(), stored.Delta, config.MaxContentSize)
		if err != nil {
			return nil, err
		}
		full = &wire.StoredConfig{Version: stored.Version, Content: content, Digest: stored.Digest, Request: stored.Request}
	}
	if config.Digest(full.Content) != full.Digest {
		return nil, errDigest
	}
	return full, nil
}
