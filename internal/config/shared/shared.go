// Package shared is a map by text whose versions share what didn't change.
package shared

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

const (
	// full is how many entries a shard has on average when a map is made, and crowded when it is divided anew.
	full    = 16
	crowded = 4 * full
	// most bounds the shards, whose list is copied with each version.
	most = 4096
)

// Map is one version. Invariants: it and its shards never change once made; the number of shards is a power of two; a key is in
// the shard that its hash names. Nil is an empty one.
type Map[Value any] struct {
	shards []map[string]Value
	size   int
}

// Of makes a map of entries.
func Of[Value any](entries map[string]Value) *Map[Value] {
	count := 1
	for count < most && count*full < len(entries) {
		count *= 2
	}
	made := &Map[Value]{shards: make([]map[string]Value, count), size: len(entries)}
	for key, value := range entries {
		index := made.index(key)
		if made.shards[index] == nil {
			made.shards[index] = map[string]Value{}
		}
		made.shards[index][key] = value
	}
	return made
}

func (shared *Map[Value]) index(key string) uint64 {
	if len(shared.shards) == 1 {
		return 0
	}
	return xxhash.Sum64String(key) & uint64(len(shared.shards)-1)
}

// Len is the number of entries.
func (shared *Map[Value]) Len() int {
	if shared == nil {
		return 0
	}
	return shared.size
}

// Get finds an entry.
func (shared *Map[Value]) Get(key string) (value Value, found bool) {
	if shared == nil {
		return value, false
	}
	value, found = shared.shards[shared.index(key)][key]
	return value, found
}

// All gives every entry, in no order.
func (shared *Map[Value]) All(yield func(key string, value Value) bool) {
	if shared == nil {
		return
	}
	for _, shard := range shared.shards {
		for key, value := range shard {
			if !yield(key, value) {
				return
			}
		}
	}
}

// With is the version in which some entries are set and some removed. Shards that neither touches are the same.
func (shared *Map[Value]) With(set map[string]Value, removed []string) *Map[Value] {
	if shared == nil {
		return Of(set)
	}
	next := &Map[Value]{shards: append([]map[string]Value(nil), shared.shards...), size: shared.size}
	own := map[uint64]bool{}
	shard := func(key string) map[string]Value {
		index := next.index(key)
		if !own[index] {
			own[index] = true
			if next.shards[index] = maps.Clone(next.shards[index]); next.shards[index] == nil {
				next.shards[index] = map[string]Value{}
			}
		}
		return next.shards[index]
	}
	for _, key := range removed {
		if _, there := next.Get(key); there {
			delete(shard(key), key)
			next.size--
		}
	}
	for key, value := range set {
		if _, there := next.Get(key); !there {
			next.size++
		}
		shard(key)[key] = value
	}
	if next.size > crowded*len(next.shards) && len(next.shards) < most {
		return Of(maps.Collect(next.All))
	}
	return next
}
