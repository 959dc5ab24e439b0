// Package purse keeps the budget for further tries: a share of this carrier's own first tries in the last ten seconds,
// plus its part of one small allowance for the whole mesh.
package purse

import (
	"sync"

	"snowflow/internal/postmark"
)

const (
	window  = 10 * postmark.Second
	bucket  = 100 * postmark.Millisecond
	buckets = int64(window/bucket) + 1
)

// Purse is the budget for all services.
// Invariant, per service and for any window that ends now: further tries <= ratio x first tries + allowance part.
// First tries are counted in buckets, and only those that lie whole in the window, so the count errs low.
type Purse struct {
	clock postmark.Clock
	lock  sync.Mutex
	funds map[string]*fund
	share func(allowance uint32) float64
}

type fund struct {
	firsts  map[int64]uint64
	total   uint64
	oldest  int64
	further []postmark.Micros
	First   uint64
	Further uint64
	Refused uint64
}

// New makes a purse; share tells this carrier's part of an allowance, zero while unknown.
func New(clock postmark.Clock, share func(allowance uint32) float64) *Purse {
	return &Purse{clock: clock, funds: map[string]*fund{}, share: share}
}

func (purse *Purse) fund(service string) *fund {
	present := purse.funds[service]
	if present == nil {
		present = &fund{firsts: map[int64]uint64{}}
		purse.funds[service] = present
	}
	now := purse.clock.Now()
	current := int64(now / bucket)
	for ; present.oldest <= current-buckets+1; present.oldest++ {
		if len(present.firsts) == 0 {
			present.oldest = current - buckets + 2
			break
		}
		present.total -= present.firsts[present.oldest]
		delete(present.firsts, present.oldest)
	}
	cut := 0
	for cut < len(present.further) && now-present.further[cut] >= window {
		cut++
	}
	present.further = present.further[cut:]
	return present
}

// First notes a first try.
func (purse *Purse) First(service string) {
	purse.lock.Lock()
	defer purse.lock.Unlock()
	present := purse.fund(service)
	present.firsts[int64(purse.clock.Now()/bucket)]++
	present.total++
	present.First++
}

// Spend takes one further try out of the budget, if there's one left.
func (purse *Purse) Spend(service string, ratio float64, allowance uint32) bool {
	purse.lock.Lock()
	defer purse.lock.Unlock()
	present := purse.fund(service)
	if float64(len(present.further)+1) > ratio*float64(present.total)+purse.share(allowance) {
		present.Refused++
		return false
	}
	present.further = append(present.further, purse.clock.Now())
	present.Further++
	return true
}

// Totals gives first tries, further tries and refused ones since the start.
func (purse *Purse) Totals(service string) (first, further, refused uint64) {
	purse.lock.Lock()
	defer purse.lock.Unlock()
	present := purse.fund(service)
	return present.First, present.Further, present.Refused
}
