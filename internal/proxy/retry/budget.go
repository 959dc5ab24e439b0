package retry

import (
	"sync"

	"snowflow/internal/monotonic"
)

// budgetWindow is the period for which retries are bounded.
const budgetWindow = 10 * monotonic.Second

// Budget bounds the retries to each service by a token bucket. It is safe for concurrent use.
//
// Invariant, for each service and each period of budgetWindow: retries <= ratio x first attempts in that period + capacity.
// A sliding count over the last budgetWindow would not ensure that: first attempts that are about to leave the window would
// still pay for a burst of retries, and that burst would also fall into a later period without those first attempts.
type Budget struct {
	clock monotonic.Clock
	// allowanceShare returns this proxy's share of a mesh-wide allowance, 0 while the share is unknown.
	allowanceShare func(allowance uint32) float64
	// unlimited lifts the bound. Only tests of the simulator's invariants set it.
	unlimited bool

	mu      sync.Mutex // guards buckets and what they hold
	buckets map[string]*tokenBucket
}

// tokenBucket is the budget of one service. Invariant: 0 <= tokens <= capacity, unless the budget is unlimited.
type tokenBucket struct {
	tokens      float64
	lastRetryAt monotonic.Micros // when the last token was withdrawn
}

// NewBudget returns a budget without buckets. A service's bucket is created when it is first used, and filled at the first
// withdrawal. allowanceShare returns this proxy's share of a mesh-wide allowance, 0 while the share is unknown.
func NewBudget(clock monotonic.Clock, allowanceShare func(allowance uint32) float64) *Budget {
	return &Budget{clock: clock, buckets: map[string]*tokenBucket{}, allowanceShare: allowanceShare}
}

// SetUnlimited lifts the bound on retries, so that a test can show that a violation is detected. No program calls it.
func (b *Budget) SetUnlimited(enabled bool) { b.unlimited = enabled }

// bucket returns a service's bucket. The caller holds the lock.
func (b *Budget) bucket(service string) *tokenBucket {
	bucket := b.buckets[service]
	if bucket == nil {
		bucket = &tokenBucket{lastRetryAt: -budgetWindow}
		b.buckets[service] = bucket
	}
	return bucket
}

// capacity returns the number of tokens a bucket may hold. A share below 1 would never allow a retry, so it is raised to 1. If there
// are more proxies than the allowance, the mesh-wide bound is therefore the number of proxies.
func (b *Budget) capacity(allowance uint32) float64 {
	share := b.allowanceShare(allowance)
	if share > 0 {
		share = max(share, 1)
	}
	return share
}

// Deposit records a first attempt that reached the service. It adds ratio tokens.
func (b *Budget) Deposit(service string, ratio float64, allowance uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(service, ratio, allowance)
}

// Refund returns the token of a retry that certainly never reached the service.
func (b *Budget) Refund(service string, allowance uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(service, 1, allowance)
}

// add adds tokens to a bucket, up to its capacity. The caller holds the lock.
func (b *Budget) add(service string, tokens float64, allowance uint32) {
	bucket := b.bucket(service)
	bucket.tokens = min(bucket.tokens+tokens, b.capacity(allowance))
}

// TryWithdraw withdraws the token for one retry and reports whether there was one.
func (b *Budget) TryWithdraw(service string, allowance uint32) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(service)
	capacity, now := b.capacity(allowance), b.clock.Now()
	bucket.tokens = min(bucket.tokens, capacity)
	if now-bucket.lastRetryAt >= budgetWindow {
		bucket.tokens = capacity // no period of budgetWindow contains both the last retry and this one
	}
	if bucket.tokens < 1 && !b.unlimited {
		return false
	}
	bucket.tokens--
	bucket.lastRetryAt = now
	return true
}

// Clear empties every bucket. It is called after the clock has jumped, when it is unknown how much of a period has passed.
func (b *Budget) Clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, bucket := range b.buckets {
		bucket.tokens, bucket.lastRetryAt = 0, b.clock.Now()
	}
}

// Balance returns the current number of tokens of a service.
func (b *Budget) Balance(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket(service).tokens
}
