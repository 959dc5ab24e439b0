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
	// Deltas tells whether views may hold states as differences, true if left out. It has no part in what the state is.
	Deltas func() bool

	// AnyContent confirms whatever content comes under a number that was taken. Only rehearsals of the checkers set it.
	AnyContent bool

	history  int
	states   []*wire.StoredConfig
	requests map[string]*wire.StoredConfig
	taken    taken
}

// New makes an empty store that keeps at most so many states, all for zero. Which requests it remembers goes by that, so it
// must be the same at every copy.
func New(history int) *Store {
	return &Store{history: history, requests: map[string]*wire.StoredConfig{}, taken: newTaken()}
}

// Apply carries out a command. A request that was accepted before gets its first answer again.
func (store *Store) Apply(_ uint64, _ monotonic.Micros, content []byte) []byte {
	command := &wire.ConfigCommand{}
	tell := &wire.ConfigApplyResponse{Outcome: Invalid}
	if err := proto.Unmarshal(content, command); err == nil && command.Apply != nil {
		tell = store.take(command.Apply)
	}
	encoded, err := proto.Marshal(tell)
	if err != nil {
		return nil
	}
	return encoded
}

// take carries out an apply, whose content may have come as a difference.
func (store *Store) take(ask *wire.ConfigApplyRequest) *wire.ConfigApplyResponse {
	content, known := store.Content(ask)
	if !known {
		return &wire.ConfigApplyResponse{Outcome: BaseUnknown, Version: store.Serial()}
	}
	return store.accept(&wire.ConfigApplyRequest{Content: content, ExpectedVersion: ask.ExpectedVersion, Request: ask.Request, AnyVersion: ask.AnyVersion, Version: ask.Version})
}

// Content gives the content that an apply is about, if the base that it's told by is kept here.
func (store *Store) Content(ask *wire.ConfigApplyRequest) (content []byte, known bool) {
	if len(ask.Delta) == 0 {
		return ask.Content, true
	}
	var base []byte
	if ask.Base != "" {
		kept := store.WithDigest(ask.Base)
		if kept == nil {
			return nil, false
		}
		base = kept.Content
	}
	content, err := delta.Decode(base, ask.Delta, config.Longest)
	return content, err == nil
}

// WithDigest gives the newest kept state with a digest, or nothing.
func (store *Store) WithDigest(digest string) *wire.StoredConfig {
	for _, kept := range slices.Backward(store.states) {
		if kept.Digest == digest {
			return kept
		}
	}
	return nil
}

func (store *Store) accept(ask *wire.ConfigApplyRequest) *wire.ConfigApplyResponse {
	digest := config.Digest(ask.Content)
	if ask.Version > 0 {
		return store.raise(ask, digest)
	}
	if earlier := store.requests[ask.Request]; ask.Request != "" && earlier != nil {
		if earlier.Digest == digest {
			return &wire.ConfigApplyResponse{Outcome: Accepted, Version: earlier.Version, Digest: digest}
		}
		return &wire.ConfigApplyResponse{Outcome: Conflict, Version: store.Serial(), Errors: []string{"request id was used with another content"}}
	}
	if !ask.AnyVersion && ask.ExpectedVersion != store.Serial() {
		return &wire.ConfigApplyResponse{Outcome: Conflict, Version: store.Serial()}
	}
	if store.Serial() == math.MaxUint64 {
		return &wire.ConfigApplyResponse{Outcome: Conflict, Version: store.Serial(), Errors: []string{"no serial is left"}}
	}
	kept := &wire.StoredConfig{Version: store.Serial() + 1, Content: ask.Content, Digest: digest, Request: ask.Request}
	store.keep(kept)
	return &wire.ConfigApplyResponse{Outcome: Accepted, Version: kept.Version, Digest: digest}
}

// raise takes a content that names its version if that is above the newest serial. The same content under a number that was taken, and
// any under a lower number that never was, is acknowledged and changes nothing, so that contents may come again and in any order.
// Another content under a number that was taken is refused: two operators are never both told yes. The request id plays no part.
func (store *Store) raise(ask *wire.ConfigApplyRequest, digest string) *wire.ConfigApplyResponse {
	if !store.taken.claim(ask.Version, digest) && !store.AnyContent {
		return &wire.ConfigApplyResponse{Outcome: Conflict, Version: store.Serial(), Errors: []string{"the version stands for another content"}}
	}
	if ask.Version > store.Serial() {
		store.keep(&wire.StoredConfig{Version: ask.Version, Content: ask.Content, Digest: digest, Request: ask.Request})
	}
	newest := store.Newest()
	return &wire.ConfigApplyResponse{Outcome: Accepted, Version: newest.Version, Digest: newest.Digest}
}

func (store *Store) keep(kept *wire.StoredConfig) {
	store.taken.claim(kept.Version, kept.Digest)
	store.states = append(store.states, kept)
	if kept.Request != "" {
		store.requests[kept.Request] = kept
	}
	if store.history == 0 || len(store.states) <= store.history {
		return
	}
	if oldest := store.states[0]; store.requests[oldest.Request] == oldest {
		delete(store.requests, oldest.Request)
	}
	// A new list: others may hold the present one, and the oldest's content is to be let go.
	store.states = slices.Clone(store.states[1:])
}

// Version is the newest serial, zero before the first.
func (store *Store) Serial() uint64 {
	if len(store.states) == 0 {
		return 0
	}
	return store.states[len(store.states)-1].Version
}

// Newest is the newest state, or nothing.
func (store *Store) Newest() *wire.StoredConfig { return store.Find(store.Serial()) }

// Find gives a state by serial, or nothing. States don't change, so it's not copied.
func (store *Store) Find(serial uint64) *wire.StoredConfig {
	index := sort.Search(len(store.states), func(index int) bool { return store.states[index].Version >= serial })
	if index == len(store.states) || store.states[index].Version != serial {
		return nil
	}
	return store.states[index]
}

// All lists every state kept, oldest first. States don't change, and the list only grows behind its end.
func (store *Store) All() []*wire.StoredConfig {
	return store.states[:len(store.states):len(store.states)]
}

// Snapshot gives the whole state.
func (store *Store) Snapshot() []byte {
	view := &wire.ConfigSnapshot{Versions: store.states, TakenVersions: store.taken.list()}
	if store.Deltas == nil || store.Deltas() {
		view.Versions = packed(store.states)
	}
	content, err := proto.Marshal(view)
	if err != nil {
		panic(err) // the state is made of messages that were decoded or built here
	}
	return content
}

// Restore replaces the state.
func (store *Store) Restore(content []byte) error {
	view := &wire.ConfigSnapshot{}
	if err := proto.Unmarshal(content, view); err != nil {
		return err
	}
	states, err := unpacked(view.Versions)
	if err != nil {
		return err
	}
	store.states, store.requests, store.taken = nil, map[string]*wire.StoredConfig{}, newTaken()
	for _, one := range view.TakenVersions {
		store.taken.restore(one)
	}
	for _, kept := range states {
		store.keep(kept)
	}
	return nil
}

// HasTimers tells that no wait runs in desired states.
func (store *Store) HasTimers() bool { return false }
