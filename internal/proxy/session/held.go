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
type held struct {
	source, serial uint64
	set            *resource.Set
	sure           bool
	unchecked      bool // for rehearsals of the checkers alone
}

// nothing is what is held before the first answer.
var nothing = held{set: resource.Empty}

// check names the content, or is zero where it isn't sure.
func (present *held) check() uint64 {
	if !present.sure {
		return 0
	}
	return present.set.Sum().Short()
}

// doubt has the whole asked for. The serial is none of any sorter's, so that it isn't answered with nothing.
func (present *held) doubt() { present.sure, present.serial = false, 0 }

// past tells whether an answer leads to what is held, or to what was held before: it came twice, or late. A whole of the version that's
// held is taken: the sorter found that what is held isn't that version.
func (present *held) past(tell *wire.RegistryPollResponse) bool {
	if tell.DirectorySource != present.source {
		return false
	}
	return tell.DirectoryVersion < present.serial || tell.DirectoryIsDelta && tell.DirectoryVersion == present.serial
}

// The ways in which changes are refused. Nothing of them is applied then.
var (
	errBase   = errors.New("roll: the changes are from another base")
	errDigest = errors.New("roll: the result isn't what the changes say")
)

// next is the directory that an answer leads to. Only changes can be refused.
func (present *held) next(tell *wire.RegistryPollResponse) (held, error) {
	if tell.DirectoryIsDelta {
		return present.changed(tell)
	}
	fresh := whole(tell.Sessions)
	// A sorter of an earlier build gives no digest, and one of a later build may read sessions otherwise.
	fresh.sure = bytes.Equal(tell.DirectoryDigest, fresh.set.Digest())
	fresh.unchecked = present.unchecked
	fresh.source, fresh.serial = tell.DirectorySource, tell.DirectoryVersion
	return fresh, nil
}

func whole(sessions []*wire.Session) (fresh held) {
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

func (present *held) changed(tell *wire.RegistryPollResponse) (next held, err error) {
	next = *present
	if !present.unchecked && (!present.sure || tell.DirectoryBaseSource != present.source || tell.DirectoryBaseVersion != present.serial) {
		return next, errBase
	}
	size := present.set.Len()
	for _, name := range tell.DirectoryRemoved {
		if present.set.Get(name) != nil {
			size--
		} else if !present.unchecked {
			return next, fmt.Errorf("%w: %s is to go and isn't there", errDigest, name)
		}
	}
	put := make([]*resource.Resource, 0, len(tell.Sessions))
	for _, session := range tell.Sessions {
		one, err := resource.New(session.Proxy, session)
		if err != nil {
			return next, fmt.Errorf("%w: %w", errDigest, err)
		}
		if present.set.Get(session.Proxy) == nil {
			size++
		}
		put = append(put, one)
	}
	set, err := present.set.With(put, tell.DirectoryRemoved, size)
	if err != nil {
		return next, fmt.Errorf("%w: %w", errDigest, err)
	}
	if !present.unchecked && !bytes.Equal(tell.DirectoryDigest, set.Digest()) {
		return next, errDigest
	}
	next.source, next.serial, next.set = tell.DirectorySource, tell.DirectoryVersion, set
	return next, nil
}
