package configstore

import (
	"errors"

	"snowflow/internal/monotonic"
)

const (
	// DefaultLease is how long a proxy may serve after a poll, counted from before it sent the poll.
	DefaultLease = 6 * monotonic.Second
	// DefaultLeaseSlack is how much of the lease of an unreachable proxy may be left when an apply is acknowledged. It leaves some
	// margin below the 2 s that are documented.
	DefaultLeaseSlack = 1500 * monotonic.Millisecond
)

const (
	// leaseMargin is the minimum by which a lease must exceed a long poll, to leave time for the response and the next request.
	leaseMargin = monotonic.Second
	// acknowledgeMargin is how much longer than a lease an apply waits for proxies, so that the wait covers a failover and the
	// unknownLeasePeriod after it.
	acknowledgeMargin = 9 * monotonic.Second
)

var (
	errTimeoutRange = errors.New("configstore: no timeout may be negative, and the lease slack must be less than the lease")
	errShortLease   = errors.New("configstore: the lease must exceed the long poll by at least one second")
)

// Timeouts are the durations that a Server uses. Zero fields default to those of DefaultTimeouts.
type Timeouts struct {
	// Lease is how long a proxy may serve after a poll, counted from before it sent the poll.
	Lease monotonic.Micros
	// LeaseSlack is how much of the lease of an unreachable proxy may be left when an apply is acknowledged. With ServeStale it
	// applies only to leases that an earlier primary granted.
	LeaseSlack monotonic.Micros
	// LongPoll is how long a poll waits for a newer version before it's answered without one.
	LongPoll monotonic.Micros
	// AdoptionTimeout is, with ServeStale, the maximum time from the commit of a version until its apply is acknowledged. Until
	// then the apply waits for the proxies that polled within the last Lease.
	AdoptionTimeout monotonic.Micros
	// ServeStale lets proxies serve without a lease while they can't reach a primary, so that applies needn't wait for leases to
	// expire. The proxies must have the same setting (configclient.Options.ServeStale).
	ServeStale bool
}

// DefaultTimeouts are the durations for the fields of Timeouts that are zero.
var DefaultTimeouts = Timeouts{
	Lease:           DefaultLease,
	LeaseSlack:      DefaultLeaseSlack,
	LongPoll:        monotonic.Second,
	AdoptionTimeout: 1200 * monotonic.Millisecond,
}

// withDefaults returns the timeouts with zero fields replaced by those of DefaultTimeouts.
func (t Timeouts) withDefaults() Timeouts {
	for _, field := range []struct {
		value        *monotonic.Micros
		defaultValue monotonic.Micros
	}{
		{&t.Lease, DefaultTimeouts.Lease},
		{&t.LeaseSlack, DefaultTimeouts.LeaseSlack},
		{&t.LongPoll, DefaultTimeouts.LongPoll},
		{&t.AdoptionTimeout, DefaultTimeouts.AdoptionTimeout},
	} {
		if *field.value == 0 {
			*field.value = field.defaultValue
		}
	}
	return t
}

// validate returns an error if the durations are inconsistent. A lease must exceed a long poll and the request after it, or proxies
// that poll continuously would lose it.
func (t Timeouts) validate() error {
	if t.LeaseSlack < 0 || t.LongPoll < 0 || t.AdoptionTimeout < 0 || t.LeaseSlack >= t.Lease {
		return errTimeoutRange
	}
	if t.Lease < t.LongPoll+leaseMargin {
		return errShortLease
	}
	return nil
}

// acknowledgeTimeout is how long an apply waits for the proxies to adopt a version.
func (t Timeouts) acknowledgeTimeout() monotonic.Micros {
	if t.ServeStale {
		return t.AdoptionTimeout
	}
	return t.Lease + acknowledgeMargin
}

// unknownLeasePeriod is how long a new primary must assume that there are leases with more than LeaseSlack left that it doesn't know of.
func (t Timeouts) unknownLeasePeriod() monotonic.Micros { return t.Lease - t.LeaseSlack }

// effectiveSlack is the remaining lease time up to which an apply doesn't wait for a proxy.
func (t Timeouts) effectiveSlack() monotonic.Micros {
	if t.ServeStale {
		return 0
	}
	return t.LeaseSlack
}
