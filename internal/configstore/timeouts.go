package configstore

import (
	"errors"

	"snowflow/internal/monotonic"
)

// Timeouts are the spans that a postmaster goes by; what is left zero is as Defaults has it.
type Timeouts struct {
	// Lease is how long a carrier may serve by what it last heard, counted from before its poll.
	Lease monotonic.Micros
	// LeaseSlack is what may be left of an unheard carrier's lease when a desired state is acknowledged.
	LeaseSlack monotonic.Micros
	// LongPoll is how long a poll is held open for news.
	LongPoll monotonic.Micros
	// AdoptionTimeout is how long after its commit a state is acknowledged at the latest where carriers serve on. Carriers that were
	// heard within the last Lease are waited for until then.
	AdoptionTimeout monotonic.Micros
	// ServeStale: carriers serve on while out of touch, so their leases' ends aren't waited for. The carriers' must be set too.
	ServeStale bool
}

// DefaultTimeouts are the bounds that hold for what isn't set.
var DefaultTimeouts = Timeouts{Lease: DefaultLease, LeaseSlack: DefaultLeaseSlack, LongPoll: monotonic.Second, AdoptionTimeout: 1200 * monotonic.Millisecond}

func (t Timeouts) withDefaults() Timeouts {
	for _, field := range []struct{ set, otherwise *monotonic.Micros }{{&t.Lease, &DefaultTimeouts.Lease}, {&t.LeaseSlack, &DefaultTimeouts.LeaseSlack},
		{&t.LongPoll, &DefaultTimeouts.LongPoll}, {&t.AdoptionTimeout, &DefaultTimeouts.AdoptionTimeout}} {
		if *field.set == 0 {
			*field.set = *field.otherwise
		}
	}
	return t
}

// check tells what doesn't go together: a lease must outlast a held poll and the next one's way, or carriers in touch lose it.
func (t Timeouts) validate() error {
	if t.LeaseSlack < 0 || t.LongPoll < 0 || t.AdoptionTimeout < 0 || t.LeaseSlack >= t.Lease {
		return errors.New("postmaster: no bound may be below zero, and the slack must be less than the lease")
	}
	if t.Lease < t.LongPoll+monotonic.Second {
		return errors.New("postmaster: the lease must outlast the poll's hold by a second at least")
	}
	return nil
}

// patience is how long an apply waits to be in force everywhere before it's answered otherwise.
func (t Timeouts) acknowledgeTimeout() monotonic.Micros {
	if t.ServeStale {
		return t.AdoptionTimeout
	}
	return t.Lease + 9*monotonic.Second
}

// unknown is how long a new primary doesn't know who serves: until the leases that others gave are nearly over.
func (t Timeouts) unknownLeasePeriod() monotonic.Micros { return t.Lease - t.LeaseSlack }

// slack is what may be left of the lease of a carrier that isn't waited for.
func (t Timeouts) effectiveSlack() monotonic.Micros {
	if t.ServeStale {
		return 0
	}
	return t.LeaseSlack
}
