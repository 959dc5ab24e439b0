package configstore

import (
	"errors"

	"snowflow/internal/apierror"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// ErrUnacknowledged: the desired state may have been accepted. Asking again with the same request id is harmless.
var ErrUnacknowledged = errors.New("postmaster: outcome unknown, ask again with the same request id")

// Apply checks a desired state, has it kept in two copies, and waits until it's in force everywhere.
func (master *Postmaster) Apply(ask *wire.ConfigApplyRequest) (*wire.ConfigApplyResponse, error) {
	ask, known, err := master.whole(ask)
	if err != nil {
		return nil, err
	}
	if !known {
		return &wire.ConfigApplyResponse{Outcome: versions.BaseUnknown}, nil
	}
	state, faults := master.env.Read(ask.Content)
	if len(faults) > 0 {
		tell := &wire.ConfigApplyResponse{Outcome: versions.Invalid}
		for _, fault := range faults {
			tell.Errors = append(tell.Errors, fault.String())
		}
		master.env.Place.Report(eventlog.DesiredRefused, map[string]any{"faults": tell.Errors})
		return tell, nil
	}
	master.versions.Know(ask.Content, state)
	tell, err := master.submit(ask)
	if errors.Is(err, replication.ErrUnknown) {
		return nil, ErrUnacknowledged
	}
	if err != nil {
		return nil, err
	}
	if tell.Outcome != versions.Accepted {
		return tell, nil
	}
	master.seen(tell.Version)
	master.tellKept()
	if ask.Version > 0 && tell.Version != ask.Version {
		return master.inForce(tell) // a higher one stands
	}
	master.env.Place.Report(eventlog.DesiredAccepted, map[string]any{"serial": tell.Version, "digest": tell.Digest})
	return master.inForce(tell)
}

// inForce acknowledges an accepted state once it's in force everywhere, or, where carriers serve on, once that was waited for.
func (master *Postmaster) inForce(tell *wire.ConfigApplyResponse) (*wire.ConfigApplyResponse, error) {
	tell.AdoptedEverywhere = master.spread(tell.Version)
	if !tell.AdoptedEverywhere && !master.env.Bounds.ServeOn {
		return nil, ErrUnacknowledged
	}
	return tell, nil
}

// seen notes a serial that was accepted.
func (master *Postmaster) seen(serial uint64) {
	master.lock.Lock()
	defer master.lock.Unlock()
	if serial > master.newest {
		master.newest, master.newestAt = serial, master.env.Place.Now()
	}
}

// waitFrom is the moment from which an apply of a serial waits to be in force everywhere. Where carriers serve on, that is the
// commit of the newest, as far as this process knows, so that asking again doesn't wait again.
func (master *Postmaster) waitFrom(serial uint64) monotonic.Micros {
	master.lock.Lock()
	defer master.lock.Unlock()
	now := master.env.Place.Now()
	if serial > master.committed {
		master.committed, master.committedAt = serial, now
	}
	if master.env.Bounds.ServeOn {
		return master.committedAt
	}
	return now
}

// spread waits until a serial is in force at every carrier that may serve. While this process isn't answering it
// can't tell; when it answers again, settled has put ackFrom behind any tenure that another primary gave meanwhile.
func (master *Postmaster) spread(serial uint64) bool {
	place := master.env.Place
	started, cutoff := place.Now(), master.waitFrom(serial)+master.env.Bounds.patience()
	master.news.wake()
	for {
		wait := 100 * monotonic.Millisecond
		word := master.words.join()
		if master.Member.Serving() {
			names, behind := master.behind(serial)
			if len(names) == 0 && master.Member.Serving() {
				master.words.leave(word)
				place.Report(eventlog.DesiredSpread, map[string]any{"serial": serial, "micros": int64(place.Now() - started)})
				return true
			}
			wait = min(max(behind, monotonic.Millisecond), 250*monotonic.Millisecond)
		}
		remaining := cutoff - place.Now()
		if remaining > 0 {
			word.Wait(min(wait, remaining))
		}
		master.words.leave(word)
		if remaining <= 0 {
			return false
		}
	}
}

// ReadBack gives one accepted state, the newest for serial zero, or the list of all without their contents.
func (master *Postmaster) ReadBack(ask *wire.ConfigReadRequest) (*wire.ConfigReadResponse, error) {
	tell := &wire.ConfigReadResponse{}
	var base *wire.StoredConfig
	done := master.Member.Read(func(uint64, monotonic.Micros) {
		if ask.List {
			tell.Found = true
			for _, kept := range master.store.All() {
				tell.Versions = append(tell.Versions, &wire.StoredConfig{Version: kept.Version, Digest: kept.Digest, Request: kept.Request})
			}
			return
		}
		serial := ask.Version
		if serial == 0 {
			serial = master.store.Serial()
		}
		if kept := master.store.Find(serial); kept != nil {
			tell.Found, tell.Versions = true, []*wire.StoredConfig{kept}
			base = master.store.WithDigest(ask.BaseDigest)
		}
	})
	if !done {
		return nil, apierror.Refused.New("not the primary")
	}
	if ask.Deltas && len(tell.Versions) == 1 && !ask.List {
		tell.Versions[0] = shortened(tell.Versions[0], base)
	}
	return tell, nil
}
