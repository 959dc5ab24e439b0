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
	life      = 120 * monotonic.Second
	mostBytes = 16 << 20
)

// Shelf holds answers. Invariants: held is the sum of the kept bodies' sizes and at most mostBytes; order lists the
// kept scopes, oldest first.
type Shelf struct {
	// Life is how long answers are kept. It's set before the first one comes.
	Life  monotonic.Micros
	clock monotonic.Clock
	lock  sync.Mutex
	kept  map[string]*parcel
	order []string
	held  int
}

type parcel struct {
	digest []byte
	answer *request.Answer
	at     monotonic.Micros
}

// New makes a shelf.
func New(clock monotonic.Clock) *Shelf {
	return &Shelf{Life: life, clock: clock, kept: map[string]*parcel{}}
}

// Put keeps an answer.
func (shelf *Shelf) Put(scope string, digest []byte, answer *request.Answer) {
	shelf.lock.Lock()
	defer shelf.lock.Unlock()
	if len(answer.Body) > mostBytes/16 {
		return
	}
	if earlier := shelf.kept[scope]; earlier != nil {
		if shelf.clock.Now()-earlier.at < shelf.Life {
			return
		}
		// A key that has outlived its claim ran anew: the answer kept for it is of the run before.
		shelf.held -= len(earlier.answer.Body)
		shelf.order = slices.DeleteFunc(shelf.order, func(kept string) bool { return kept == scope })
	}
	shelf.kept[scope] = &parcel{digest: digest, answer: answer, at: shelf.clock.Now()}
	shelf.order = append(shelf.order, scope)
	shelf.held += len(answer.Body)
	for len(shelf.order) > 0 {
		oldest := shelf.kept[shelf.order[0]]
		if shelf.held <= mostBytes && shelf.clock.Now()-oldest.at < shelf.Life {
			break
		}
		shelf.held -= len(oldest.answer.Body)
		delete(shelf.kept, shelf.order[0])
		shelf.order = shelf.order[1:]
	}
}

// Find gives the answer kept for a scope and digest, or nothing.
func (shelf *Shelf) Find(scope string, digest []byte) *request.Answer {
	shelf.lock.Lock()
	defer shelf.lock.Unlock()
	kept := shelf.kept[scope]
	if kept == nil || !bytes.Equal(kept.digest, digest) || shelf.clock.Now()-kept.at >= shelf.Life {
		return nil
	}
	return kept.answer
}
