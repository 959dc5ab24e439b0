package versions

import (
	"fmt"

	"snowflow/internal/config"
	"snowflow/internal/configstore/delta"
	"snowflow/internal/transport/wire"
)

// packed has each state told by its difference from the one before, the first from nothing. A state whose difference can't be made
// is told whole.
func encodeDeltas(states []*wire.StoredConfig) []*wire.StoredConfig {
	all := make([]*wire.StoredConfig, 0, len(states))
	var previous *wire.StoredConfig
	for _, stored := range states {
		encodedState := &wire.StoredConfig{Version: stored.Version, Digest: stored.Digest, Request: stored.Request, Base: previous.GetDigest()}
		encoded, err := delta.Encode(previous.GetContent(), stored.Content)
		if err != nil {
			encodedState.Content, encodedState.Base = stored.Content, ""
		} else {
			encodedState.Delta = encoded
		}
		all, previous = append(all, encodedState), stored
	}
	return all
}

// unpacked gives the states whole again, and tells if one isn't what its digest says.
func decodeDeltas(states []*wire.StoredConfig) ([]*wire.StoredConfig, error) {
	all := make([]*wire.StoredConfig, 0, len(states))
	var previous *wire.StoredConfig
	for _, stored := range states {
		full := stored
		if len(stored.Delta) > 0 {
			if stored.Base != previous.GetDigest() {
				return nil, fmt.Errorf("store: state %d is told by another than the one before", stored.Version)
			}
			content, err := delta.Decode(previous.GetContent(), stored.Delta, config.MaxContentSize)
			if err != nil {
				return nil, fmt.Errorf("store: state %d: %w", stored.Version, err)
			}
			full = &wire.StoredConfig{Version: stored.Version, Content: content, Digest: stored.Digest, Request: stored.Request}
		}
		if config.Digest(full.Content) != full.Digest {
			return nil, fmt.Errorf("store: state %d isn't what its digest says", stored.Version)
		}
		all, previous = append(all, full), full
	}
	return all, nil
}
