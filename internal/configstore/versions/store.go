// Package versions is the postmasters' replicated state: the desired states accepted, by serial.
package versions

import (
	"math"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/config"
	"snowflow/internal/configstore/delta"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// The outcomes of an apply.
const (
	Accepted = "accepted"
	Conflict = "conflict"
	Invalid  = "invalid"
	// BaseUnknown: the content came as a difference from one that isn't kept here; nothing changed. It's to be sent whole.
	BaseUnknown = "base_unknown"
)

// Store is the machine.
// Invariants: serials rise along states, with gaps where versions were named; a state never changes; the newest stays, and
// older ones are removed only oldest first, once there are more than history; requests hold the states' own; a number stands for one
// content for as long as it's remembered, whether that was ever in force or not.
type Store struct {
	// UseDeltas tells whether views may hold states as differences, true if left out. It has no part in what the state is.
	UseDeltas func() bool

	// AllowVersionReuse confirms whatever content comes under a number that was taken. Only rehearsals of the checkers set it.
	AllowVersionReuse bool

	history  int
	states   []*wire.StoredConfig
	requests map[string]*wire.StoredConfig
	claimed  claimedVersions
}

// New makes an empty store that keeps at most so many states, all for zero. Which requests it remembers goes by that, so it
// must be the same at every copy.
func New(history int) *Store {
	return &Store{history: history, requests: map[string]*wire.StoredConfig{}, claimed: newClaimedVersions()}
}

// Apply carries out a command. A request that was accepted before gets its first answer again.
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

// take carries out an apply, whose content may have come as a difference.
func (s *Store) applyRequest(request *wire.ConfigApplyRequest) *wire.ConfigApplyResponse {
	content, known := s.ExpandContent(request)
	if !known {
		return &wire.ConfigApplyResponse{Outcome: BaseUnknown, Version: s.LatestVersion()}
	}
	return s.accept(&wire.ConfigApplyRequest{Content: content, ExpectedVersion: request.ExpectedVersion, Request: request.Request, AnyVersion: request.AnyVersion, Version: request.Version})
}

// ExpandContent gives the content that an apply is about, if the base that it's told by is kept here.
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

// FindDigest gives the newest kept state with a digest, or nothing.
func (s *Store) FindDigest(digest string) *wire.StoredConfig {
	for _, stored := range slices.Backward(s.states) {
		if stored.Digest == digest {
			return stored
		}
	}
	return nil
}

func (s *Store) accept(request *wire.ConfigApplyRequest) *wire.ConfigApplyResponse {
	digest := config.Digest(request.Content)
	if request.Version > 0 {
		return s.acceptVersion(request, digest)
	}
	if earlier := s.requests[request.Request]; request.Request != "" && earlier != nil {
		if earlier.Digest == digest {
			return &wire.ConfigApplyResponse{Outcome: Accepted, Version: earlier.Version, Digest: digest}
		}
		return &wire.ConfigApplyResponse{Outcome: Conflict, Version: s.LatestVersion(), Errors: []string{"request id was used with another content"}}
	}
	if !request.AnyVersion && request.ExpectedVersion != s.LatestVersion() {
		return &wire.ConfigApplyResponse{Outcome: Conflict, Version: s.LatestVersion()}
	}
	if s.LatestVersion() == math.MaxUint64 {
		return &wire.ConfigApplyResponse{Outcome: Conflict, Version: s.LatestVersion(), Errors: []string{"no serial is left"}}
	}
	stored := &wire.StoredConfig{Version: s.LatestVersion() + 1, Content: request.Content, Digest: digest, Request: request.Request}
	s.append(stored)
	return &wire.ConfigApplyResponse{Outcome: Accepted, Version: stored.Version, Digest: digest}
}

// raise takes a content that names its version if that is above the newest serial. The same content under a number that was taken, and
// any under a lower number that never was, is acknowledged and changes nothing, so that contents may come again and in any order.
// Another content under a number that was taken is refused: two operators are never both told yes. The request id plays no part.
func (s *Store) acceptVersion(request *wire.ConfigApplyRequest, digest string) *wire.ConfigApplyResponse {
	if !s.claimed.claim(request.Version, digest) && !s.AllowVersionReuse {
		return &wire.ConfigApplyResponse{Outcome: Conflict, Version: s.LatestVersion(), Errors: []string{"the version stands for another content"}}
	}
	if request.Version > s.LatestVersion() {
		s.append(&wire.StoredConfig{Version: request.Version, Content: request.Content, Digest: digest, Request: request.Request})
	}
	latest := s.Latest()
	return &wire.ConfigApplyResponse{Outcome: Accepted, Version: latest.Version, Digest: latest.Digest}
}

func (s *Store) append(stored *wire.StoredConfig) {
	s.claimed.claim(stored.Version, stored.Digest)
	s.states = append(s.states, stored)
	if stored.Request != "" {
		s.requests[stored.Request] = stored
	}
	if s.history == 0 || len(s.states) <= s.history {
		return
	}
	if oldest := s.states[0]; s.requests[oldest.Request] == oldest {
		delete(s.requests, oldest.Request)
	}
	// A new list: others may hold the present one, and the oldest's content is to be let go.
	s.states = slices.Clone(s.states[1:])
}

// Version is the newest serial, zero before the first.
func (s *Store) LatestVersion() uint64 {
	if len(s.states) == 0 {
		return 0
	}
	return s.states[len(s.states)-1].Version
}

// Latest is the newest state, or nothing.
func (s *Store) Latest() *wire.StoredConfig { return s.Find(s.LatestVersion()) }

// Find gives a state by serial, or nothing. States don't change, so it's not copied.
func (s *Store) Find(version uint64) *wire.StoredConfig {
	index := sort.Search(len(s.states), func(index int) bool { return s.states[index].Version >= version })
	if index == len(s.states) || s.states[index].Version != version {
		return nil
	}
	return s.states[index]
}

// All lists every state kept, oldest first. States don't change, and the list only grows behind its end.
func (s *Store) All() []*wire.StoredConfig {
	return s.states[:len(s.states):len(s.states)]
}

// Snapshot gives the whole state.
func (s *Store) Snapshot() []byte {
	snapshot := &wire.ConfigSnapshot{Versions: s.states, TakenVersions: s.claimed.list()}
	if s.UseDeltas == nil || s.UseDeltas() {
		snapshot.Versions = encodeDeltas(s.states)
	}
	content, err := proto.Marshal(snapshot)
	if err != nil {
		panic(err) // the state is made of messages that were decoded or built here
	}
	return content
}

// Restore replaces the state.
func (s *Store) Restore(content []byte) error {
	snapshot := &wire.ConfigSnapshot{}
	if err := proto.Unmarshal(content, snapshot); err != nil {
		return err
	}
	states, err := decodeDeltas(snapshot.Versions)
	if err != nil {
		return err
	}
	s.states, s.requests, s.claimed = nil, map[string]*wire.StoredConfig{}, newClaimedVersions()
	for _, one := range snapshot.TakenVersions {
		s.claimed.restore(one)
	}
	for _, stored := range states {
		s.append(stored)
	}
	return nil
}

// HasTimers tells that no wait runs in desired states.
func (s *Store) HasTimers() bool { return false }
