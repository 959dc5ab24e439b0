package versions

import (
	"fmt"

	"snowflow/internal/config"
	"snowflow/internal/configstore/delta"
	"snowflow/internal/transport/wire"
)

// packed has each state told by its difference from the one before, the first from nothing. A state whose difference can't be made
// is told whole.
func packed(states []*wire.StoredConfig) []*wire.StoredConfig {
	all := make([]*wire.StoredConfig, 0, len(states))
	var before *wire.StoredConfig
	for _, kept := range states {
		short := &wire.StoredConfig{Version: kept.Version, Digest: kept.Digest, Request: kept.Request, Base: before.GetDigest()}
		encoded, err := delta.Encode(before.GetContent(), kept.Content)
		if err != nil {
			short.Content, short.Base = kept.Content, ""
		} else {
			short.Delta = encoded
		}
		all, before = append(all, short), kept
	}
	return all
}

// unpacked gives the states whole again, and tells if one isn't what its digest says.
func unpacked(states []*wire.StoredConfig) ([]*wire.StoredConfig, error) {
	all := make([]*wire.StoredConfig, 0, len(states))
	var before *wire.StoredConfig
	for _, kept := range states {
		whole := kept
		if len(kept.Delta) > 0 {
			if kept.Base != before.GetDigest() {
				return nil, fmt.Errorf("store: state %d is told by another than the one before", kept.Version)
			}
			content, err := delta.Decode(before.GetContent(), kept.Delta, config.Longest)
			if err != nil {
				return nil, fmt.Errorf("store: state %d: %w", kept.Version, err)
			}
			whole = &wire.StoredConfig{Version: kept.Version, Content: content, Digest: kept.Digest, Request: kept.Request}
		}
		if config.Digest(whole.Content) != whole.Digest {
			return nil, fmt.Errorf("store: state %d isn't what its digest says", kept.Version)
		}
		all, before = append(all, whole), whole
	}
	return all, nil
}
