package replay

import (
	"bytes"
	"slices"
	"sync"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
)

const (
	// defaultTTL is how long a response is stored: as long as the registry stores a claim by default.
	defaultTTL = 120 * monotonic.Second
	// maxBytes bounds the bodies in a store, and maxResponseBytes the body of one response in it.
	maxBytes         = 16 << 20
	maxResponseBytes = maxBytes / 16
)

// Store holds responses by the scopes of their idempotency keys. It is safe for concurrent use.
//
// Invariants: totalBytes is the sum of the sizes of the stored bodies and at most maxBytes; order lists the scopes in entries, the
// oldest first.
type Store struct {
	// TTL is how long responses are stored. It must not be changed after the first call of Put.
	TTL   monotonic.Micros
	clock monotonic.Clock

	mu         sync.Mutex // guards the fields below
	entries    map[string]*entry
	order      []string
	totalBytes int
}

type entry struct {
	digest   []byte // of the request
	response *request.Response
	storedAt monotonic.Micros
}

// New returns an empty store with the default TTL of two minutes.
func New(clock monotonic.Clock) *Store {
	return &Store{TTL: defaultTTL, clock: clock, entries: map[string]*entry{}}
}

// Put stores the response to the request with a scope and digest, unless it is too large. A stored response isn't replaced until it
// expires.
func (s *Store) Put(scope string, digest []byte, response *request.Response) {
	if len(response.Body) > maxResponseBytes {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing := s.entries[scope]; existing != nil {
		if !s.isExpired(existing) {
			return
		}
		// The key's claim has expired and the key was used again: the stored response is that of the run before.
		s.remove(scope)
	}
	s.entries[scope] = &entry{digest: digest, response: response, storedAt: s.clock.Now()}
	s.order = append(s.order, scope)
	s.totalBytes += len(response.Body)
	s.evict()
}

// Lookup returns the stored response to the request with a scope and digest, or nil if there is none.
func (s *Store) Lookup(scope string, digest []byte) *request.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := s.entries[scope]
	if existing == nil || !bytes.Equal(existing.digest, digest) || s.isExpired(existing) {
		return nil
	}
	return existing.response
}

func (s *Store) isExpired(e *entry) bool { return s.clock.Now()-e.storedAt >= s.TTL }

// evict removes the oldest responses while they have expired or the store is too large. The caller holds mu.
func (s *Store) evict() {
	for len(s.order) > 0 {
		oldest := s.order[0]
		if s.totalBytes <= maxBytes && !s.isExpired(s.entries[oldest]) {
			return
		}
		s.totalBytes -= len(s.entries[oldest].response.Body)
		delete(s.entries, oldest)
		s.order = s.order[1:]
	}
}

// remove removes the response of one scope. The caller holds mu.
func (s *Store) remove(scope string) {
	s.totalBytes -= len(s.entries[scope].response.Body)
	delete(s.entries, scope)
	s.order = slices.DeleteFunc(s.order, func(other string) bool { return other == scope })
}
