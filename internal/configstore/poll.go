package configstore

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Poll renews a carrier's tenure, with the newest desired state if the carrier hasn't got it. It waits a while for news.
func (master *Postmaster) Poll(ask *wire.DesiredPollAsk) (*wire.DesiredPollTell, error) {
	place := master.env.Place
	if ask.Release {
		return master.release(ask), nil
	}
	master.adopted(ask)
	cutoff := place.Now() + master.env.Bounds.PollHold
	for {
		news := master.news.join()
		tell := &wire.DesiredPollTell{Primaries: master.env.Book.Primaries(), Tenure: int64(master.env.Bounds.Lease), Hold: int64(master.env.Bounds.PollHold)}
		var base, newest *wire.DesiredKept
		tell.Primary = master.Member.Read(func(epoch uint64, _ monotonic.Micros) {
			tell.Epoch, tell.Serial = epoch, master.store.Serial()
			master.seen(tell.Serial)
			if kept := master.store.Newest(); kept != nil && kept.Serial != ask.Have {
				newest, base = kept, master.store.Find(ask.Have)
			}
			// Noted under the same look that read the serial: an apply that comes later waits for this tenure.
			master.grant(ask)
		})
		if !tell.Primary {
			master.news.leave(news)
			return master.hearsay(ask, tell.Primaries), nil
		}
		remaining := cutoff - place.Now()
		if tell.Serial != ask.Have || ask.First || remaining <= 0 {
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
func (master *Postmaster) hearsay(ask *wire.DesiredPollAsk, primaries []*wire.Primary) *wire.DesiredPollTell {
	tell := &wire.DesiredPollTell{Primaries: primaries}
	if ask.Have > 0 || !master.env.Bounds.ServeOn {
		return tell
	}
	master.Member.Peek(func() {
		if newest := master.store.Newest(); newest != nil {
			tell.Serial = newest.Serial
			master.packing.fill(tell, newest, ask.Packs)
		}
	})
	return tell
}

// content puts the newest state into an answer: what it changes where that is known and wanted, otherwise the whole. The states don't
// change, so no lock is needed for them.
func (master *Postmaster) content(ask *wire.DesiredPollAsk, base, newest *wire.DesiredKept, tell *wire.DesiredPollTell) {
	if newest == nil {
		return
	}
	if !ask.Whole {
		tell.Difference = master.versions.Difference(base, newest, ask.Digest)
	}
	if tell.Difference == nil {
		master.packing.fill(tell, newest, ask.Packs)
	}
}
