// Package retry keeps the budget for further tries. It's a bucket for each service: each first try that reached the
// service puts a share of a token in, a further try takes a whole one out, and the bucket holds no more than this
// carrier's part of one small allowance for the whole mesh.
package retry

import (
	"sync"

	"snowflow/internal/monotonic"
)

// window is the time in which further tries are bounded.
const budgetWindow = 10 * monotonic.Second

// Budget is the budget for all services.
//
// Invariant, per service and for every window of 10 s, past or to come: further tries <= ratio x first tries in that same
// window + depth. A count over the last 10 s alone would not do: first tries that are about to leave the window
// would pay for a burst of further ones that stays in it.
type Budget struct {
	clock          monotonic.Clock
	mu             sync.Mutex
	buckets        map[string]*tokenBucket
	allowanceShare func(allowance uint32) float64
	// unlimited takes the bound away; only rehearsals of the checkers set it.
	unlimited bool
}

// SetUnlimited takes the bound away, to show that a checker sees what comes of it. No program sets it.
func (b *Budget) SetUnlimited(enabled bool) { b.unlimited = enabled }

type tokenBucket struct {
	tokens      float64
	lastRetryAt monotonic.Micros // of the last further try
}

// NewBudget makes a purse; share tells this carrier's part of an allowance, zero while unknown.
func NewBudget(c monotonic.Clock, allowanceShare func(allowance uint32) float64) *Budget {
	return &Budget{clock: c, buckets: map[string]*tokenBucket{}, allowanceShare: allowanceShare}
}

func (b *Budget) bucket(service string) *tokenBucket {
	bucket := b.buckets[service]
	if bucket == nil {
		bucket = &tokenBucket{lastRetryAt: -budgetWindow}
		b.buckets[service] = bucket
	}
	return bucket
}

// depth is what a bucket may hold. A part below one would never allow a single try, so it's rounded up to one: where
// carriers outnumber the allowance, their number is the bound.
func (b *Budget) capacity(allowance uint32) float64 {
	share := b.allowanceShare(allowance)
	if share > 0 {
		share = max(share, 1)
	}
	return share
}

// Deposit notes a first try that reached the service.
func (b *Budget) Deposit(service string, ratio float64, allowance uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(service)
	bucket.tokens = min(bucket.tokens+ratio, b.capacity(allowance))
}

// TryWithdraw takes one further try out of the budget, if there's one left.
func (b *Budget) TryWithdraw(service string, allowance uint32) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(service)
	capacity, now := b.capacity(allowance), b.clock.Now()
	bucket.tokens = min(bucket.tokens, capacity)
	if now-bucket.lastRetryAt >= budgetWindow {
		bucket.tokens = capacity // no window holds both an earlier further try and this one
	}
	if bucket.tokens < 1 && !b.unlimited {
		return false
	}
	bucket.tokens--
	bucket.lastRetryAt = now
	return true
}

// Clear empties every bucket, for want of knowing how much of a window has passed.
func (b *Budget) Clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, bucket := range b.buckets {
		bucket.tokens, bucket.lastRetryAt = 0, b.clock.Now()
	}
}

// Refund puts a further try back that certainly never reached the service.
func (b *Budget) Refund(service string, allowance uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(service)
	bucket.tokens = min(bucket.tokens+1, b.capacity(allowance))
}

// Balance is what a service's bucket holds now.
func (b *Budget) Balance(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket(service).tokens
}
