package roll

import (
	"sync"

	"snowflow/internal/office"
	"snowflow/internal/postmark"
)

const (
	// firstPause and scoutPause are how long after a first, and a further, ask that failed the next one goes out.
	firstPause, scoutPause = 50 * postmark.Millisecond, 100 * postmark.Millisecond
	// fairPatience is how long an ask must have waited in vain to say something of the primary.
	fairPatience = 300 * postmark.Millisecond
)

// scout lets one ask at a time find out whether the primary answers again, once it doesn't. Without it each waiting request of each
// carrier asks by itself, and a primary that has just taken over is kept busy turning them down instead of getting its copies into step.
// Invariants: asked names the leader that the one ask on its way went to, while failing; waiting holds who is to be woken at the end of it.
type scout struct {
	lock    sync.Mutex
	failing bool
	asked   string
	after   postmark.Micros // no further ask goes out before
	pause   postmark.Micros
	waiting map[office.Signal]bool
}

// turn tells whether an ask may go to a leader now; if not it's to wait for the signal, wait at the most. alone tells that it's the
// one that finds out.
func (scout *scout) turn(now postmark.Micros, leader string, signal office.Signal) (goes, alone bool, wait postmark.Micros) {
	scout.lock.Lock()
	defer scout.lock.Unlock()
	delete(scout.waiting, signal)
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
	if scout.waiting == nil {
		scout.waiting = map[office.Signal]bool{}
	}
	if signal != nil {
		scout.waiting[signal] = true
	}
	return false, false, min(wait, scoutPause)
}

// back notes how an ask ended that waited for patience at the most.
func (scout *scout) back(now postmark.Micros, leader string, answered, alone bool, waited postmark.Micros, refused bool) {
	scout.lock.Lock()
	defer scout.lock.Unlock()
	if answered {
		scout.failing, scout.asked, scout.pause = false, "", 0
		for signal := range scout.waiting {
			signal.Fire()
		}
		clear(scout.waiting)
		return
	}
	if !scout.failing && (refused || waited >= fairPatience) {
		scout.failing, scout.asked, scout.pause, scout.after = true, "", scoutPause, now+firstPause
	}
	if alone && scout.asked == leader {
		scout.asked, scout.after = "", now+scout.pause
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
	delete(scout.waiting, signal)
}
