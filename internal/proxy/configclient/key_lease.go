package configclient

import "snowflow/internal/monotonic"

// keyLease is the proxy's lease on the tenants' keys of its adopted version. A primary that responds to a poll had not acknowledged a
// newer version before the poll was sent, so a key is relied on for at most length after its revocation.
type keyLease struct {
	// length is how long the keys remain valid after a confirmation. Zero: forever, without a confirmation.
	length monotonic.Micros
	// confirmedAt is when the latest poll was sent whose response from a primary confirmed the adopted version as the newest. It is
	// meaningful only if confirmed is set.
	confirmedAt monotonic.Micros
	confirmed   bool
}

// confirm records that a primary responded to a poll that was sent at requestedAt. Responses may arrive in any order.
func (l *keyLease) confirm(requestedAt monotonic.Micros) {
	if !l.confirmed || l.confirmedAt < requestedAt {
		l.confirmed, l.confirmedAt = true, requestedAt
	}
}

// remaining returns how much longer the keys may be relied on, zero if no longer. It must not be used if length is zero.
func (l *keyLease) remaining(now monotonic.Micros) monotonic.Micros {
	if !l.confirmed {
		return 0
	}
	return max(0, l.confirmedAt+l.length-now)
}
