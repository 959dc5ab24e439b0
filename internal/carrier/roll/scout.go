package roll

import (
	"slices"
	"sync"

	"snowflow/internal/office"
	"snowflow/internal/postmark"
	"snowflow/internal/seal"
)

const (
	// firstPause and scoutPause are how long after a first, and a further, ask that failed the next one goes out.
	firstPause, scoutPause = 50 * postmark.Millisecond, 100 * postmark.Millisecond
	// slowAnswer is how long the one ask must have waited in vain to say that the primary takes asks, and is slow. A shorter one's
	// patience was its own.
	slowAnswer = 500 * postmark.Millisecond
)

// scout lets one ask at a time find out whether the primary answers again, once it doesn't. Without it each waiting request of each
// carrier asks by itself, and a primary that has just taken over is kept busy turning them down instead of getting its copies into step.
// Invariants: asked names the leader that the one ask on its way went to, while failing; waiting holds who is to be woken at the end of it.
type scout struct {
	lock    sync.Mutex
	failing bool
	asked   string
	after   postmark.Micros // no further ask goes out before
	waiting []office.Signal
}

// turn tells whether an ask may go to a leader now; if not it's to wait for the signal, wait at the most. alone tells that it's the
// one that finds out.
func (scout *scout) turn(now postmark.Micros, leader string, signal office.Signal) (goes, alone bool, wait postmark.Micros) {
	scout.lock.Lock()
	defer scout.lock.Unlock()
	scout.drop(signal)
	if !scout.failing {
		return true, false, 0
	}
	switch {
	case scout.asked == "" && now >= scout.after, scout.asked != "" && scout.asked != leader: // or somebody else leads now
		scout.asked = leader
		return true, true, 0
	case scout.asked == "":
		wait = scout.after - now
	default:
		wait = scoutPause
	}
	if signal != nil {
		scout.waiting = append(scout.waiting, signal)
	}
	return false, false, min(wait, scoutPause)
}

// back notes how an ask ended. Only a primary that turns asks down is left to one: one that takes them and is slow, as its disk
// may be, does best with all of them in one batch.
func (scout *scout) back(now postmark.Micros, leader string, err error, alone bool, waited postmark.Micros) {
	scout.lock.Lock()
	defer scout.lock.Unlock()
	switch {
	case seal.IsRefused(err):
		if !scout.failing {
			scout.failing, scout.asked, scout.after = true, "", now+firstPause
		}
		if alone && scout.asked == leader {
			scout.asked, scout.after = "", now+scoutPause
		}
	case err != nil && scout.failing && (seal.IsUnreachable(err) || waited < slowAnswer):
		if alone && scout.asked == leader {
			scout.asked, scout.after = "", now+scoutPause
		}
	case err == nil || alone:
		scout.failing, scout.asked = false, ""
		for _, signal := range scout.waiting {
			signal.Fire()
		}
		scout.waiting = nil
	}
}

// fails tells whether the primary doesn't answer.
func (scout *scout) fails() bool {
	scout.lock.Lock()
	defer scout.lock.Unlock()
	return scout.failing
}

// forget takes a signal back whose owner waits no more.
func (scout *scout) forget(signal office.Signal) {
	scout.lock.Lock()
	defer scout.lock.Unlock()
	scout.drop(signal)
}

func (scout *scout) drop(signal office.Signal) {
	scout.waiting = slices.DeleteFunc(scout.waiting, func(other office.Signal) bool { return other == signal })
}
