package versions

import (
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/config"
	"snowflow/internal/configstore/delta"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Store is the state machine of the configuration stores' replication group. It isn't safe for concurrent use; the replication
// member serializes calls. Results and snapshots depend only on the commands, so that all replicas agree.
//
// Invariants:
//   - configs is in ascending order of versions, with gaps where clients chose the version numbers
//   - a stored version never changes
//   - the newest version is always stored; unless history is zero, it's the maximum number of stored versions, and the oldest are removed
//   - requests holds exactly the request IDs of configs
//   - a version number stands for one content for as long as claimed holds it, whether or not that content was ever the newest
type Store struct {
	// UseDeltas reports whether snapshots may hold versions as deltas, which replicas of an early build can't read. If it's nil,
	// they may. It doesn't affect the state.
	UseDeltas func() bool

	// AllowVersionReuse accepts any content under a claimed number. Tests inject this fault to show that their checkers detect it;
	// no program sets it.
	AllowVersionReuse bool

	history  int
	configs  []*wire.StoredConfig
	requests map[string]*wire.StoredConfig
	claimed  claimedVersions
}

// New returns an empty store that holds at most history versions; zero means no limit. The limit must be the same at every replica,
// because it also determines which request IDs are recognized.
func New(history int) *Store {
	return &Store{history: history, requests: map[string]*wire.StoredConfig{}, claimed: newClaimedVersions()}
}

// Apply executes an encoded ConfigCommand and returns an encoded ConfigApplyResponse. A command that can't be decoded has the
// outcome Invalid.
func (s *Store) Apply(_ uint64, _ monotonic.Micros, content []byte) []byte {
	command := &wire.ConfigCommand{}
	response := &wire.ConfigApplyResponse{Outcome: Invalid}
	if err := proto.Unmarshal(content, command); err == nil && command.Apply != nil {
		response = s.applyRequest(command.Apply)
	}
	encoded, err := proto.Marshal(response)
	if err != nil {
		return nil
	}
	return encoded
}

// ExpandContent returns the content of an apply request, decoded if it's a delta. The result known is false if the delta's base isn't
// stored here or the delta is corrupt.
func (s *Store) ExpandContent(request *wire.ConfigApplyRequest) (content []byte, known bool) {
	if len(request.Delta) == 0 {
		return request.Content, true
	}
	var base []byte
	if request.Base != "" {
		stored := s.FindDigest(request.Base)
		if stored == nil {
			return nil, false
		}
		base = stored.Content
	}
	content, err := delta.Decode(base, request.Delta, config.MaxContentSize)
	return content, err == nil
}

// append stores a version as the newest and removes the oldest if there are too many.
func (s *Store) append(stored *wire.StoredConfig) {
	s.claimed.claim(stored.Version, stored.Digest)
	s.configs = append(s.configs, stored)
	if stored.Request != "" {
		s.requests[stored.Request] = stored
	}
	if s.history == 0 || len(s.configs) <= s.history {
		return
	}
	if oldest := s.configs[0]; s.requests[oldest.Request] == oldest {
		delete(s.requests, oldest.Request)
	}
	// The list is copied, because All may have returned it, and so that the oldest content can be freed.
	s.configs = slices.Clone(s.configs[1:])
}

// LatestVersion returns the newest version number, zero if there is no version.
func (s *Store) LatestVersion() uint64 {
	if len(s.configs) == 0 {
		return 0
	}
	return s.configs[len(s.configs)-1].Version
}

// Latest returns the newest version, nil if there is none. The result must not be changed.
func (s *Store) Latest() *wire.StoredConfig { return s.Find(s.LatestVersion()) }

// Find returns the version with a number, nil if it isn't stored. The result must not be changed.
func (s *Store) Find(version uint64) *wire.StoredConfig {
	index := sort.Search(len(s.configs), func(index int) bool { return s.configs[index].Version >= version })
	if index == len(s.configs) || s.configs[index].Version != version {
		return nil
	}
	return s.configs[index]
}

// FindDigest returns the newest version whose content has the given digest, nil if there is none. The result must not be changed.
func (s *Store) FindDigest(digest string) *wire.StoredConfig {
	for _, stored := range slices.Backward(s.configs) {
		if stored.Digest == digest {
			return stored
		}
	}
	return nil
}

// All returns all stored versions, oldest first. The caller may retain the list but must not change it; the store only appends beyond
// its end.
func (s *Store) All() []*wire.StoredConfig {
	return s.configs[:len(s.configs):len(s.configs)]
}

// Snapshot returns the encoded state.
func (s *Store) Snapshot() []byte {
	snapshot := &wire.ConfigSnapshot{Versions: s.configs, TakenVersions: s.claimed.list()}
	if s.UseDeltas == nil || s.UseDeltas() {
		snapshot.Versions = encodeDeltas(s.configs)
	}
	content, err := proto.Marshal(snapshot)
	if err != nil {
		panic(err) // the state consists of messages that were decoded or built here
	}
	return content
}

// Restore replaces the state with that of a snapshot. An error means that the snapshot is corrupt; the state is then unchanged.
func (s *Store) Restore(content []byte) error {
	snapshot := &wire.ConfigSnapshot{}
	if err := proto.Unmarshal(content, snapshot); err != nil {
		return err
	}
	configs, err := decodeDeltas(snapshot.Versions)
	if err != nil {
		return err
	}
	s.configs, s.requests, s.claimed = nil, map[string]*wire.StoredConfig{}, newClaimedVersions()
	for _, taken := range snapshot.TakenVersions {
		s.claimed.restore(taken)
	}
	for _, stored := range configs {
		s.append(stored)
	}
	return nil
}

// HasTimers reports whether the state machine has pending timers. This one never has any.
func (s *Store) HasTimers() bool { return false }
