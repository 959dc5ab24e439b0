package session

import (
	"bytes"
	"errors"
	"fmt"

	"snowflow/internal/resource"
	"snowflow/internal/transport/wire"
)

// held is the directory as it's held. Invariants: it doesn't change once made; with sure, the set is what the sorter's life source showed
// as its version serial; without, no change of it is asked for or taken.
type snapshot struct {
	source, version uint64
	set             *resource.Set
	verified        bool
	skipChecks      bool // for rehearsals of the checkers alone
}

// nothing is what is held before the first answer.
var emptySnapshot = snapshot{set: resource.Empty}

// check names the content, or is zero where it isn't sure.
func (s *snapshot) checksum() uint64 {
	if !s.verified {
		return 0
	}
	return s.set.Sum().Short()
}

// doubt has the whole asked for. The serial is none of any sorter's, so that it isn't answered with nothing.
func (s *snapshot) invalidate() { s.verified, s.version = false, 0 }

// past tells whether an answer leads to what is held, or to what was held before: it came twice, or late. A whole of the version that's
// held is taken: the sorter found that what is held isn't that version.
func (s *snapshot) isStale(response *wire.RegistryPollResponse) bool {
	if response.DirectorySource != s.source {
		return false
	}
	return response.DirectoryVersion < s.version || response.DirectoryIsDelta && response.DirectoryVersion == s.version
}

// The ways in which changes are refused. Nothing of them is applied then.
var (
	errWrongBase      = errors.New("roll: the changes are from another base")
	errDigestMismatch = errors.New("roll: the result isn't what the changes say")
)

// next is the directory that an answer leads to. Only changes can be refused.
func (s *snapshot) next(response *wire.RegistryPollResponse) (snapshot, error) {
	if response.DirectoryIsDelta {
		return s.applyDelta(response)
	}
	fresh := fullSnapshot(response.Sessions)
	// A sorter of an earlier build gives no digest, and one of a later build may read sessions otherwise.
	fresh.verified = bytes.Equal(response.DirectoryDigest, fresh.set.Digest())
	fresh.skipChecks = s.skipChecks
	fresh.source, fresh.version = response.DirectorySource, response.DirectoryVersion
	return fresh, nil
}

func fullSnapshot(sessions []*wire.Session) (fresh snapshot) {
	put := make([]*resource.Resource, 0, len(sessions))
	names := map[string]bool{}
	for _, session := range sessions {
		one, err := resource.New(session.Proxy, session)
		if err != nil || names[session.Proxy] {
			continue // the digest shows it
		}
		names[session.Proxy] = true
		put = append(put, one)
	}
	fresh.set, _ = resource.Empty.With(put, nil, len(put)) // each is there once
	return fresh
}

func (s *snapshot) applyDelta(response *wire.RegistryPollResponse) (next snapshot, err error) {
	next = *s
	if !s.skipChecks && (!s.verified || response.DirectoryBaseSource != s.source || response.DirectoryBaseVersion != s.version) {
		return next, errWrongBase
	}
	size := s.set.Len()
	for _, name := range response.DirectoryRemoved {
		if s.set.Get(name) != nil {
			size--
		} else if !s.skipChecks {
			return next, fmt.Errorf("%w: %s is to go and isn't there", errDigestMismatch, name)
		}
	}
	put := make([]*resource.Resource, 0, len(response.Sessions))
	for _, session := range response.Sessions {
		one, err := resource.New(session.Proxy, session)
		if err != nil {
			return next, fmt.Errorf("%w: %w", errDigestMismatch, err)
		}
		if s.set.Get(session.Proxy) == nil {
			size++
		}
		put = append(put, one)
	}
	set, err := s.set.With(put, response.DirectoryRemoved, size)
	if err != nil {
		return next, fmt.Errorf("%w: %w", errDigestMismatch, err)
	}
	if !s.skipChecks && !bytes.Equal(response.DirectoryDigest, set.Digest()) {
		return next, errDigestMismatch
	}
	next.source, next.version, next.set = response.DirectorySource, response.DirectoryVersion, set
	return next, nil
}
