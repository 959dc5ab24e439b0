package retry

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Backoff returns the pause before a retry, in microseconds: the policy's backoff plus a random part of up to the same length. The random
// number must be uniformly distributed over all uint64.
func Backoff(policy *wire.Retry, random uint64) monotonic.Micros {
	base := monotonic.Micros(policy.GetBackoffMicros())
	return base + monotonic.Micros(random%uint64(base+1))
}
