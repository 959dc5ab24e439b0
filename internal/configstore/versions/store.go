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
// member serializes calls. Results and snapshots depend on the commands alone, so that all replicas agree.
//
// Invariants: versions rise along configs, with gaps where a version was named by the client; a stored version never changes; the
// newest one stays, and older ones are removed oldest first, once there are more than history; requests holds exactly the
// request IDs of configs; a version number stands for one content for as long as claimed remembers it, whether that content was
// ever the newest or not.
type Store struct {
	// UseDeltas reports whether snapshots may hold versions as deltas, which replicas of an early build can't read. Nil means
	// true. It doesn't affect the state.
	UseDeltas func() bool

	// AllowVersionReuse accepts any content under a claimed number. It's a deliberate fault with which tests show that their
	// checkers notice it; no program sets it.
	AllowVersionReuse bool

	history  int
	configs  []*wire.StoredConfig
	requests map[string]*wire.StoredConfig
	claimed  claimedVersions
}

// New returns an empty store that holds at most history versions, without a limit for zero. It must be the same at every
// replica, because it also decides which request IDs are remembered.
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

// ExpandContent returns the content of an apply, decoded if it came as a delta. Known is false if the delta's base isn't stored
// here or the delta is corrupt.
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

// append stores a new newest version and removes the oldest beyond the limit.
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
	// The list is copied, because All has given it out, and so that the oldest content can be freed.
	s.configs = slices.Clone(s.configs[1:])
}

// LatestVersion is the newest version number, zero before the first.
func (s *Store) LatestVersion() uint64 {
	if len(s.configs) == 0 {
		return 0
	}
	return s.configs[len(s.configs)-1].Version
}

// Latest returns the newest version, nil before the first. It must not be changed.
func (s *Store) Latest() *wire.StoredConfig { return s.Find(s.LatestVersion()) }

// Find returns the version with a number, nil if it isn't stored. It must not be changed.
func (s *Store) Find(version uint64) *wire.StoredConfig {
	index := sort.Search(len(s.configs), func(index int) bool { return s.configs[index].Version >= version })
	if index == len(s.configs) || s.configs[index].Version != version {
		return nil
	}
	return s.configs[index]
}

// FindDigest returns the newest version whose content has a digest, nil if there is none. It must not be changed.
func (s *Store) FindDigest(digest string) *wire.StoredConfig {
	for _, stored := range slices.Backward(s.configs) {
		if stored.Digest == digest {
			return stored
		}
	}
	return nil
}

// All returns all stored versions, oldest first. The caller may keep the list, but must not change it: later versions are only
// appended behind its end.
func (s *Store) All() []*wire.StoredConfig {
	return s.configs[:len(s.configs):len(s.configs)]
}

// Snapshot encodes the complete state as a snapshot.
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

// Restore replaces the state by a snapshot's. On an error, which means that the snapshot is corrupt, the state is left as it
// was.
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

// HasTimers reports whether the state machine has timers to wait for; configurations have none.
func (s *Store) HasTimers() bool { return false }
