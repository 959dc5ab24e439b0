// Package retry keeps the budget for further tries. It's a bucket for each service: each first try that reached the
// service puts a share of a token in, a further try takes a whole one out, and the bucket holds no more than this
// carrier's part of one small allowance for the whole mesh.
package retry

import (
	"sync"

	"snowflow/internal/monotonic"
)

// window is the time in which further tries are bounded.
const window = 10 * monotonic.Second

// Purse is the budget for all services.
//
// Invariant, per service and for every window of 10 s, past or to come: further tries <= ratio x first tries in that same
// window + depth. A count over the last 10 s alone would not do: first tries that are about to leave the window
// would pay for a burst of further ones that stays in it.
type Purse struct {
	clock monotonic.Clock
	lock  sync.Mutex
	funds map[string]*fund
	share func(allowance uint32) float64
	// unlimited takes the bound away; only rehearsals of the checkers set it.
	unlimited bool
}

// Unlimited takes the bound away, to show that a checker sees what comes of it. No program sets it.
func (purse *Purse) Unlimited(broken bool) { purse.unlimited = broken }

type fund struct {
	tokens float64
	last   monotonic.Micros // of the last further try
}

// New makes a purse; share tells this carrier's part of an allowance, zero while unknown.
func New(clock monotonic.Clock, share func(allowance uint32) float64) *Purse {
	return &Purse{clock: clock, funds: map[string]*fund{}, share: share}
}

func (purse *Purse) fund(service string) *fund {
	present := purse.funds[service]
	if present == nil {
		present = &fund{last: -window}
		purse.funds[service] = present
	}
	return present
}

// depth is what a bucket may hold. A part below one would never allow a single try, so it's rounded up to one: where
// carriers outnumber the allowance, their number is the bound.
func (purse *Purse) depth(allowance uint32) float64 {
	part := purse.share(allowance)
	if part > 0 {
		part = max(part, 1)
	}
	return part
}

// First notes a first try that reached the service.
func (purse *Purse) First(service string, ratio float64, allowance uint32) {
	purse.lock.Lock()
	defer purse.lock.Unlock()
	present := purse.fund(service)
	present.tokens = min(present.tokens+ratio, purse.depth(allowance))
}

// Spend takes one further try out of the budget, if there's one left.
func (purse *Purse) Spend(service string, allowance uint32) bool {
	purse.lock.Lock()
	defer purse.lock.Unlock()
	present := purse.fund(service)
	depth, now := purse.depth(allowance), purse.clock.Now()
	present.tokens = min(present.tokens, depth)
	if now-present.last >= window {
		present.tokens = depth // no window holds both an earlier further try and this one
	}
	if present.tokens < 1 && !purse.unlimited {
		return false
	}
	present.tokens--
	present.last = now
	return true
}

// Forfeit empties every bucket, for want of knowing how much of a window has passed.
func (purse *Purse) Forfeit() {
	purse.lock.Lock()
	defer purse.lock.Unlock()
	for _, present := range purse.funds {
		present.tokens, present.last = 0, purse.clock.Now()
	}
}

// Refund puts a further try back that certainly never reached the service.
func (purse *Purse) Refund(service string, allowance uint32) {
	purse.lock.Lock()
	defer purse.lock.Unlock()
	present := purse.fund(service)
	present.tokens = min(present.tokens+1, purse.depth(allowance))
}

// Held is what a service's bucket holds now.
func (purse *Purse) Held(service string) float64 {
	purse.lock.Lock()
	defer purse.lock.Unlock()
	return purse.fund(service).tokens
}
