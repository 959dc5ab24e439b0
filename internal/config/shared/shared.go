// Package shared implements a persistent map with string keys: setting or removing entries creates a new version, which shares
// unchanged entries with the previous one. The cost of a change is proportional to the shards it affects, not to the size of the map.
package shared

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// targetShardSize is the intended average number of entries per shard of a new map.
	targetShardSize = 16
	// maxShardSize is the average number of entries per shard above which a map is rebuilt with more shards.
	maxShardSize = 4 * targetShardSize
	// maxShards bounds the number of shards, because the list of shards is copied for each version.
	maxShards = 4096
)

// Map is one version of the map. It's immutable, and safe for concurrent use if its values are. A nil Map is empty.
//
// Invariants: the number of shards is a power of two; a key's hash determines its shard; a shard never changes once it's in a map.
type Map[Value any] struct {
	shards []map[string]Value
	size   int
}

// New returns a map with the given entries.
func New[Value any](entries map[string]Value) *Map[Value] {
	count := 1
	for count < maxShards && count*targetShardSize < len(entries) {
		count *= 2
	}
	m := &Map[Value]{shards: make([]map[string]Value, count), size: len(entries)}
	for key, value := range entries {
		index := m.index(key)
		if m.shards[index] == nil {
			m.shards[index] = map[string]Value{}
		}
		m.shards[index][key] = value
	}
	return m
}

// index returns the index of a key's shard.
func (m *Map[Value]) index(key string) uint64 {
	if len(m.shards) == 1 {
		return 0
	}
	return xxhash.Sum64String(key) & uint64(len(m.shards)-1)
}

// Len returns the number of entries.
func (m *Map[Value]) Len() int {
	if m == nil {
		return 0
	}
	return m.size
}

// Get returns the value of a key, and whether the key is in the map.
func (m *Map[Value]) Get(key string) (value Value, found bool) {
	if m == nil {
		return value, false
	}
	value, found = m.shards[m.index(key)][key]
	return value, found
}

// All iterates over all entries in unspecified order.
func (m *Map[Value]) All(yield func(key string, value Value) bool) {
	if m == nil {
		return
	}
	for _, shard := range m.shards {
		for key, value := range shard {
			if !yield(key, value) {
				return
			}
		}
	}
}

// With returns the version in which some entries are set and others removed. A key in both arguments is set.
func (m *Map[Value]) With(set map[string]Value, removed []string) *Map[Value] {
	if m == nil {
		return New(set)
	}
	e := &edit[Value]{next: &Map[Value]{shards: slices.Clone(m.shards), size: m.size}, copied: map[uint64]bool{}}
	for _, key := range removed {
		e.remove(key)
	}
	for key, value := range set {
		e.set(key, value)
	}
	if e.next.size > maxShardSize*len(e.next.shards) && len(e.next.shards) < maxShards {
		return New(maps.Collect(e.next.All))
	}
	return e.next
}

// edit modifies a new version. Its shards are shared with the previous version until they are written to.
type edit[Value any] struct {
	next *Map[Value]
	// copied holds the indexes of the shards that belong only to the new version.
	copied map[uint64]bool
}

// shard returns the shard of a key for writing, and copies it first if it's shared.
func (e *edit[Value]) shard(key string) map[string]Value {
	index := e.next.index(key)
	if !e.copied[index] {
		e.copied[index] = true
		e.next.shards[index] = maps.Clone(e.next.shards[index])
		if e.next.shards[index] == nil {
			e.next.shards[index] = map[string]Value{}
		}
	}
	return e.next.shards[index]
}

func (e *edit[Value]) remove(key string) {
	if _, found := e.next.Get(key); found {
		delete(e.shard(key), key)
		e.next.size--
	}
}

func (e *edit[Value]) set(key string, value Value) {
	if _, found := e.next.Get(key); !found {
		e.next.size++
	}
	e.shard(key)[key] = value
}
