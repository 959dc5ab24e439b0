// Package shutdown lets work be given up at one moment: when a planned stop's grace is over, whatever is still under way gets
// its answer at once, and a true one.
package shutdown

import (
	"sync"

	"go.uber.org/atomic"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
)

// Post keeps the errands under way.
// Invariant: an errand is in open from its begin until it's done or given up; once over is set, none is begun.
type Post struct {
	place host.Host
	lock  sync.Mutex
	open  map[*Errand]struct{}
	over  bool
}

// New makes a post.
func New(place host.Host) *Post { return &Post{place: place, open: map[*Errand]struct{}{}} }

// The states of an errand. From fresh it becomes either started or given up, never both: what was given up fresh has not been
// done and won't be.
const (
	fresh uint32 = iota
	started
	givenUp
)

// Errand is one piece of work.
type Errand struct {
	state  atomic.Uint32
	done   atomic.Bool
	wakeup host.Signal
}

// Start is asked right before what can't be taken back. False means that the errand was given up, and must not be done.
func (errand *Errand) Start() bool {
	return errand.state.CompareAndSwap(fresh, started) || errand.state.Load() == started
}

// Outcome is how an errand ended.
type Outcome int

// The outcomes. Done: its work returned. Unstarted: given up, and it won't be done. Started: given up; it may be done.
const (
	Done Outcome = iota
	Unstarted
	Started
)

// Run does work in a task of its own and waits until it's done or given up. What work leaves behind may only be looked at
// when it's done.
func (post *Post) Run(work func(errand *Errand)) Outcome {
	errand := &Errand{wakeup: post.place.NewSignal()}
	post.lock.Lock()
	if post.over {
		post.lock.Unlock()
		return Unstarted
	}
	post.open[errand] = struct{}{}
	post.lock.Unlock()
	post.place.Go(func() {
		work(errand)
		errand.done.Store(true)
		errand.wakeup.Fire()
	})
	for !errand.wakeup.Wait(monotonic.Forever) {
	}
	post.lock.Lock()
	delete(post.open, errand)
	post.lock.Unlock()
	if errand.done.Load() {
		return Done
	}
	if errand.state.Load() == givenUp {
		return Unstarted
	}
	return Started
}

// GiveUp ends every errand under way, and takes no more.
func (post *Post) GiveUp() {
	post.lock.Lock()
	defer post.lock.Unlock()
	post.over = true
	for errand := range post.open {
		errand.state.CompareAndSwap(fresh, givenUp)
		errand.wakeup.Fire()
	}
}
