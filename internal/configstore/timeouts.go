package configstore

import (
	"errors"

	"snowflow/internal/monotonic"
)

const (
	// DefaultLease is how long a proxy may serve after a poll, counted from before it sent the poll.
	DefaultLease = 6 * monotonic.Second
	// DefaultLeaseSlack is how much of the lease of a proxy out of contact may be left when an apply is acknowledged. It's less
	// than the 2 s that are documented, so that there is some margin.
	DefaultLeaseSlack = 1500 * monotonic.Millisecond
)

const (
	// leaseMargin is the least by which a lease must outlast a long poll: time for the response and the next request.
	leaseMargin = monotonic.Second
	// acknowledgeMargin is how much longer than a lease an apply waits for proxies, so that the wait can outlast a failover and
	// the unknownLeasePeriod after it.
	acknowledgeMargin = 9 * monotonic.Second
)

var (
	errTimeoutRange = errors.New("configstore: no timeout may be negative, and the lease slack must be less than the lease")
	errShortLease   = errors.New("configstore: the lease must exceed the long poll by at least one second")
)

// Timeouts are the durations that a Server uses. Zero fields take their values from DefaultTimeouts.
type Timeouts struct {
	// Lease is how long a proxy may serve after a poll, counted from before it sent the poll.
	Lease monotonic.Micros
	// LeaseSlack is how much of the lease of a proxy out of contact may be left when an apply is acknowledged. With ServeStale it
	// counts only for the leases that an earlier primary granted.
	LeaseSlack monotonic.Micros
	// LongPoll is how long a poll stays open while there is no newer version.
	LongPoll monotonic.Micros
	// AdoptionTimeout is, with ServeStale, the longest time from the commit of a version until its apply is acknowledged. Until
	// then the apply waits for the proxies that polled within the last Lease.
	AdoptionTimeout monotonic.Micros
	// ServeStale lets proxies serve without a lease while they are out of contact, so that applies needn't wait for leases to
	// end. The proxies must be configured alike (configclient.Options.ServeStale).
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

// validate returns an error if the durations don't fit together. A lease must outlast a long poll and the request after it,
// or proxies that are in contact would lose it.
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

// unknownLeasePeriod is how long a new primary must assume that leases it doesn't know of have more than LeaseSlack left.
func (t Timeouts) unknownLeasePeriod() monotonic.Micros { return t.Lease - t.LeaseSlack }

// effectiveSlack is how much may be left of the lease of a proxy that an apply doesn't wait for.
func (t Timeouts) effectiveSlack() monotonic.Micros {
	if t.ServeStale {
		return 0
	}
	return t.LeaseSlack
}
