package session

import (
	"bytes"
	"errors"
	"fmt"

	"snowflow/internal/resource"
	"snowflow/internal/transport/wire"
)

// The reasons for which a delta is rejected. Nothing of a rejected delta is applied.
var (
	errWrongBase      = errors.New("session: the delta was made from another version of the directory")
	errDigestMismatch = errors.New("session: the delta does not lead to the announced directory")
)

// snapshot is one version of the set of sessions. It is immutable, except that invalidate resets verified and version.
type snapshot struct {
	source, version uint64 // server incarnation, and its version of the directory
	set             *resource.Set
	verified        bool // set has the digest that source sent for version; otherwise no delta is requested or applied
	skipChecks      bool // see Client.SkipDigestChecks
}

// emptySnapshot is the snapshot of a client before the first response.
var emptySnapshot = snapshot{set: resource.Empty}

// checksum returns the checksum of the content for a poll. It is zero, which requests the complete directory, if the snapshot is not
// verified.
func (s *snapshot) checksum() uint64 {
	if !s.verified {
		return 0
	}
	return s.set.Sum().Short()
}

// invalidate makes the next poll request the complete directory. No server publishes version zero, so none responds that the
// directory is unchanged.
func (s *snapshot) invalidate() { s.verified, s.version = false, 0 }

// isStale reports whether a response leads to this snapshot's version or an earlier one, because it was delivered twice or late. A
// complete directory of this version is not stale: the server sends it if the checksum in the poll didn't match the version.
func (s *snapshot) isStale(response *wire.RegistryPollResponse) bool {
	if response.DirectorySource != s.source {
		return false
	}
	return response.DirectoryVersion < s.version || response.DirectoryIsDelta && response.DirectoryVersion == s.version
}

// next returns the snapshot that a response leads to. It fails only if a delta is rejected.
func (s *snapshot) next(response *wire.RegistryPollResponse) (snapshot, error) {
	if response.DirectoryIsDelta {
		return s.applyDelta(response)
	}
	full := fullSnapshot(response.Sessions)
	// A server of an earlier release sends no digest, and a server of a later release may encode sessions differently.
	full.verified = bytes.Equal(response.DirectoryDigest, full.set.Digest())
	full.skipChecks = s.skipChecks
	full.source, full.version = response.DirectorySource, response.DirectoryVersion
	return full, nil
}

func fullSnapshot(sessions []*wire.Session) snapshot {
	put := make([]*resource.Resource, 0, len(sessions))
	names := map[string]bool{}
	for _, session := range sessions {
		entry, err := resource.New(session.Proxy, session)
		if err != nil || names[session.Proxy] {
			continue // the digest won't match
		}
		names[session.Proxy] = true
		put = append(put, entry)
	}
	set, _ := resource.Empty.With(put, nil, len(put)) // fails only for a duplicate key
	return snapshot{set: set}
}

// applyDelta returns the snapshot that a delta leads to.
func (s *snapshot) applyDelta(response *wire.RegistryPollResponse) (snapshot, error) {
	sameBase := response.DirectoryBaseSource == s.source && response.DirectoryBaseVersion == s.version
	if !s.skipChecks && (!s.verified || !sameBase) {
		return *s, errWrongBase
	}
	put, size, err := s.deltaContent(response)
	if err != nil {
		return *s, err
	}
	set, err := s.set.With(put, response.DirectoryRemoved, size)
	if err != nil {
		return *s, fmt.Errorf("%w: %w", errDigestMismatch, err)
	}
	if !s.skipChecks && !bytes.Equal(response.DirectoryDigest, set.Digest()) {
		return *s, errDigestMismatch
	}
	next := *s
	next.source, next.version, next.set = response.DirectorySource, response.DirectoryVersion, set
	return next, nil
}

// deltaContent returns the sessions that a delta adds or replaces, and the number of sessions in the result.
func (s *snapshot) deltaContent(response *wire.RegistryPollResponse) (put []*resource.Resource, size int, err error) {
	size = s.set.Len()
	for _, name := range response.DirectoryRemoved {
		if s.set.Get(name) != nil {
			size--
		} else if !s.skipChecks {
			return nil, 0, fmt.Errorf("%w: it removes %s, which is not in the directory", errDigestMismatch, name)
		}
	}
	put = make([]*resource.Resource, 0, len(response.Sessions))
	for _, session := range response.Sessions {
		entry, err := resource.New(session.Proxy, session)
		if err != nil {
			return nil, 0, fmt.Errorf("%w: %w", errDigestMismatch, err)
		}
		if s.set.Get(session.Proxy) == nil {
			size++
		}
		put = append(put, entry)
	}
	return put, size, nil
}
