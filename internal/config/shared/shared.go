// Package shared is a map by text whose versions share what didn't change.
package shared

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

const (
	// full is how many entries a shard has on average when a map is made, and crowded when it is divided anew.
	targetShardSize = 16
	maxShardSize    = 4 * targetShardSize
	// most bounds the shards, whose list is copied with each version.
	maxShards = 4096
)

// Map is one version. Invariants: it and its shards never change once made; the number of shards is a power of two; a key is in
// the shard that its hash names. Nil is an empty one.
type Map[Value any] struct {
	shards []map[string]Value
	size   int
}

// New makes a map of entries.
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

func (m *Map[Value]) index(key string) uint64 {
	if len(m.shards) == 1 {
		return 0
	}
	return xxhash.Sum64String(key) & uint64(len(m.shards)-1)
}

// Len is the number of entries.
func (m *Map[Value]) Len() int {
	if m == nil {
		return 0
	}
	return m.size
}

// Get finds an entry.
func (m *Map[Value]) Get(key string) (value Value, found bool) {
	if m == nil {
		return value, false
	}
	value, found = m.shards[m.index(key)][key]
	return value, found
}

// All gives every entry, in no order.
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

// With is the version in which some entries are set and some removed. Shards that neither touches are the same.
func (m *Map[Value]) With(set map[string]Value, removed []string) *Map[Value] {
	if m == nil {
		return New(set)
	}
	next := &Map[Value]{shards: append([]map[string]Value(nil), m.shards...), size: m.size}
	copied := map[uint64]bool{}
	shard := func(key string) map[string]Value {
		index := next.index(key)
		if !copied[index] {
			copied[index] = true
			if next.shards[index] = maps.Clone(next.shards[index]); next.shards[index] == nil {
				next.shards[index] = map[string]Value{}
			}
		}
		return next.shards[index]
	}
	for _, key := range removed {
		if _, found := next.Get(key); found {
			delete(shard(key), key)
			next.size--
		}
	}
	for key, value := range set {
		if _, found := next.Get(key); !found {
			next.size++
		}
		shard(key)[key] = value
	}
	if next.size > maxShardSize*len(next.shards) && len(next.shards) < maxShards {
		return New(maps.Collect(next.All))
	}
	return next
}
