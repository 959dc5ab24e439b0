package api

import (
	"errors"
	"fmt"
	"math"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/configstore"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

var (
	// ErrNotTaken: no postmaster has taken the content, and none will.
	ErrNotTaken = errors.New("not taken: no primary postmaster is within this one's reach; ask another")
	// ErrUnknown: the content may have been taken, or may still be. Applying it again, unchanged, is harmless.
	ErrUnknown = errors.New("whether it was accepted is not known; apply it again with the same request id")
)

// Store is the postmasters as a door for operators sees them, whatever dialect the door speaks.
type Store interface {
	// Apply gives the primary's answer, or ErrNotTaken or ErrUnknown, within patience. A content that names its version, or has
	// a request id, is taken once however often it's sent; one that has neither is given an id for this call.
	Apply(patience monotonic.Micros, ask *wire.ConfigApplyRequest) (*wire.ConfigApplyResponse, error)
	// Newest gives the newest state, nothing before the first, within patience.
	Newest(patience monotonic.Micros) (*wire.StoredConfig, error)
}

// forwarding is a store that any postmaster's process has: it passes everything on to the primary.
type forwarding struct {
	place host.Host
	book  *discovery.Book
	// recent is the state that last went to or came from a primary. It's no more than a base for differences: what is answered is always
	// what a primary tells of now.
	recent recent
}

// NewStore makes a store that passes everything on to the primary.
func NewStore(place host.Host, book *discovery.Book) Store {
	return &forwarding{place: place, book: book}
}

// pause passes the time until it makes sense to ask again. Meanwhile somebody is asked who leads; a silent one isn't waited for.
func (store *forwarding) pause(cutoff monotonic.Micros) {
	store.place.Go(store.book.Ask)
	store.place.Sleep(max(0, min(100*monotonic.Millisecond, cutoff-store.place.Now())))
}

// primary asks the primary postmaster, again after a failover. Only asks that may be repeated go this way.
func (store *forwarding) primary(kind wire.Kind, ask, tell proto.Message, patience monotonic.Micros) error {
	cutoff := store.place.Now() + patience
	var err error = apierror.Unreachable.New("no primary postmaster is known")
	for store.place.Now() < cutoff {
		if leader := store.book.Leader(configstore.Group); leader != "" {
			if err = store.book.Call(leader, kind, ask, tell, cutoff-store.place.Now()); err == nil {
				return nil
			}
		}
		store.pause(cutoff)
	}
	return err
}

// reachPatience is how long a door looks for a primary before it turns an apply down: time for a failover.
const reachPatience = 4 * monotonic.Second

// reaches tells whether a process that answers as primary does so to this one. The state it's asked for isn't there: only
// whether it would look counts.
func (store *forwarding) reaches(patience monotonic.Micros) bool {
	cutoff := store.place.Now() + patience
	for {
		leader := store.book.Leader(configstore.Group)
		limit := max(monotonic.Millisecond, min(500*monotonic.Millisecond, cutoff-store.place.Now()))
		if leader != "" && store.book.Call(leader, wire.Kind_config_read, &wire.ConfigReadRequest{Version: math.MaxUint64}, &wire.ConfigReadResponse{}, limit) == nil {
			return true
		}
		if store.place.Now() >= cutoff {
			return false
		}
		store.pause(cutoff)
	}
}

func (store *forwarding) Apply(patience monotonic.Micros, ask *wire.ConfigApplyRequest) (*wire.ConfigApplyResponse, error) {
	place := store.place
	cutoff := place.Now() + patience
	if ask.Version == 0 && ask.Request == "" {
		ask = proto.CloneOf(ask)
		ask.Request = fmt.Sprintf("%016x%016x", place.Random(), place.Random())
	}
	// Until a primary was reached nothing is sent, so this much is certain.
	if !store.reaches(min(reachPatience, patience)) {
		return nil, ErrNotTaken
	}
	sent, whole := false, false
	var err error = apierror.Unreachable.New("no time was left")
	for place.Now() < cutoff {
		if leader := store.book.Leader(configstore.Group); leader != "" {
			tell, short := &wire.ConfigApplyResponse{}, store.short(leader, ask, whole)
			// A primary that falls silent is left time for another to take over.
			remaining := cutoff - place.Now()
			if err = store.book.Call(leader, wire.Kind_config_apply, short, tell, max(remaining/2, min(remaining, monotonic.Second))); err == nil {
				if tell.Outcome == versions.BaseUnknown && !whole {
					whole = true
					continue
				}
				if tell.Outcome == versions.Accepted {
					store.recent.keep(config.Digest(ask.Content), ask.Content)
				}
				return tell, nil
			}
			sent = sent || !apierror.IsUnreachable(err)
		}
		store.pause(cutoff)
	}
	if !sent {
		return nil, fmt.Errorf("%w: %v", ErrNotTaken, err)
	}
	return nil, fmt.Errorf("%w: %v", ErrUnknown, err)
}

func (store *forwarding) Newest(patience monotonic.Micros) (*wire.StoredConfig, error) {
	have, base := store.recent.get()
	ask, cutoff := &wire.ConfigReadRequest{BaseDigest: have, Deltas: true}, store.place.Now()+patience
	for {
		tell := &wire.ConfigReadResponse{}
		if err := store.primary(wire.Kind_config_read, ask, tell, cutoff-store.place.Now()); err != nil {
			return nil, err
		}
		if !tell.Found {
			return nil, nil
		}
		if kept := store.whole(tell.Versions[0], have, base); kept != nil {
			return kept, nil
		}
		if !ask.Deltas {
			return nil, errNotAsTold
		}
		ask = &wire.ConfigReadRequest{} // it isn't what its digest says: it's asked for whole
	}
}
