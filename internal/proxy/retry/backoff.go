package retry

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Backoff is the pause before a retry, in microseconds: the policy's own and up to as much again, by a random number that is
// uniform over all uint64.
func Backoff(policy *wire.Retry, random uint64) monotonic.Micros {
	base := monotonic.Micros(policy.GetBackoffMicros())
	return base + monotonic.Micros(random%uint64(base+1))
}
