// Package replay keeps backends' complete answers to run-once requests for a while, for callers that ask again.
package replay

import (
	"bytes"
	"slices"
	"sync"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
)

const (
	// life is how long an answer is kept unless the shelf has another: as long as its claim.
	defaultTTL = 120 * monotonic.Second
	maxBytes   = 16 << 20
)

// Store holds answers. Invariants: held is the sum of the kept bodies' sizes and at most maxBytes; order lists the
// kept scopes, oldest first.
type Store struct {
	// TTL is how long answers are kept. It's set before the first one comes.
	TTL        monotonic.Micros
	clock      monotonic.Clock
	mu         sync.Mutex
	entries    map[string]*entry
	order      []string
	totalBytes int
}

type entry struct {
	digest   []byte
	response *request.Response
	storedAt monotonic.Micros
}

// New makes a shelf.
func New(clock monotonic.Clock) *Store {
	return &Store{TTL: defaultTTL, clock: clock, entries: map[string]*entry{}}
}

// Put keeps an answer.
func (s *Store) Put(scope string, digest []byte, response *request.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(response.Body) > maxBytes/16 {
		return
	}
	if earlier := s.entries[scope]; earlier != nil {
		if s.clock.Now()-earlier.storedAt < s.TTL {
			return
		}
		// A key that has outlived its claim ran anew: the answer kept for it is of the run before.
		s.totalBytes -= len(earlier.response.Body)
		s.order = slices.DeleteFunc(s.order, func(stored string) bool { return stored == scope })
	}
	s.entries[scope] = &entry{digest: digest, response: response, storedAt: s.clock.Now()}
	s.order = append(s.order, scope)
	s.totalBytes += len(response.Body)
	for len(s.order) > 0 {
		oldest := s.entries[s.order[0]]
		if s.totalBytes <= maxBytes && s.clock.Now()-oldest.storedAt < s.TTL {
			break
		}
		s.totalBytes -= len(oldest.response.Body)
		delete(s.entries, s.order[0])
		s.order = s.order[1:]
	}
}

// Lookup gives the answer kept for a scope and digest, or nothing.
func (s *Store) Lookup(scope string, digest []byte) *request.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	recorded := s.entries[scope]
	if recorded == nil || !bytes.Equal(recorded.digest, digest) || s.clock.Now()-recorded.storedAt >= s.TTL {
		return nil
	}
	return recorded.response
}
