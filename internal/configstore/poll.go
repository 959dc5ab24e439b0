package configstore

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Poll renews a carrier's tenure, with the newest desired state if the carrier hasn't got it. It waits a while for news.
func (master *Postmaster) Poll(ask *wire.ConfigPollRequest) (*wire.ConfigPollResponse, error) {
	place := master.env.Place
	if ask.Release {
		return master.release(ask), nil
	}
	master.adopted(ask)
	cutoff := place.Now() + master.env.Bounds.PollHold
	for {
		news := master.news.join()
		tell := &wire.ConfigPollResponse{Primaries: master.env.Book.Primaries(), Lease: int64(master.env.Bounds.Lease), LongPoll: int64(master.env.Bounds.PollHold)}
		var base, newest *wire.StoredConfig
		tell.Primary = master.Member.Read(func(epoch uint64, _ monotonic.Micros) {
			tell.Epoch, tell.Version = epoch, master.store.Serial()
			master.seen(tell.Version)
			if kept := master.store.Newest(); kept != nil && kept.Version != ask.CurrentVersion {
				newest, base = kept, master.store.Find(ask.CurrentVersion)
			}
			// Noted under the same look that read the serial: an apply that comes later waits for this tenure.
			master.grant(ask)
		})
		if !tell.Primary {
			master.news.leave(news)
			return master.hearsay(ask, tell.Primaries), nil
		}
		remaining := cutoff - place.Now()
		if tell.Version != ask.CurrentVersion || ask.First || remaining <= 0 {
			master.news.leave(news)
			master.content(ask, base, newest, tell)
			return tell, nil
		}
		news.Wait(remaining)
		master.news.leave(news)
	}
}

// hearsay is the answer of a postmaster that isn't the primary. A carrier that has nothing yet and may serve on while out of touch is
// given what this copy holds: it's better served by that than by nothing until there's a primary again.
func (master *Postmaster) hearsay(ask *wire.ConfigPollRequest, primaries []*wire.Primary) *wire.ConfigPollResponse {
	tell := &wire.ConfigPollResponse{Primaries: primaries}
	if ask.CurrentVersion > 0 || !master.env.Bounds.ServeOn {
		return tell
	}
	master.Member.ReadStale(func() {
		if newest := master.store.Newest(); newest != nil {
			tell.Version = newest.Version
			master.packing.fill(tell, newest, ask.AcceptsCompressed)
		}
	})
	return tell
}

// content puts the newest state into an answer: what it changes where that is known and wanted, otherwise the whole. The states don't
// change, so no lock is needed for them.
func (master *Postmaster) content(ask *wire.ConfigPollRequest, base, newest *wire.StoredConfig, tell *wire.ConfigPollResponse) {
	if newest == nil {
		return
	}
	if !ask.Full {
		tell.Difference = master.versions.Difference(base, newest, ask.Digest)
	}
	if tell.Difference == nil {
		master.packing.fill(tell, newest, ask.AcceptsCompressed)
	}
}
