package configclient

import "snowflow/internal/monotonic"

// keyLease is the proxy's lease on the tenants' keys of its adopted version. A primary that answers a poll had acknowledged nothing
// newer before the poll was sent, so that a key which is revoked later is relied on for length after its revocation at most.
type keyLease struct {
	// length is how long the keys are in force after a confirmation. Zero: for good, without a confirmation.
	length monotonic.Micros
	// confirmedAt is when the last poll was sent by which a primary confirmed the adopted version as the newest. It counts once
	// confirmed is set.
	confirmedAt monotonic.Micros
	confirmed   bool
}

// confirm takes the answer of a primary to a poll that was sent at a time. Answers may arrive in any order.
func (l *keyLease) confirm(requestedAt monotonic.Micros) {
	if !l.confirmed || l.confirmedAt < requestedAt {
		l.confirmed, l.confirmedAt = true, requestedAt
	}
}

// remaining returns how much longer the keys may be relied on, zero if no longer. It means nothing without a length.
func (l *keyLease) remaining(now monotonic.Micros) monotonic.Micros {
	if !l.confirmed {
		return 0
	}
	return max(0, l.confirmedAt+l.length-now)
}
