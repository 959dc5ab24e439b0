package configstore

import (
	"errors"

	"snowflow/internal/monotonic"
)

// Bounds are the spans that a postmaster goes by; what is left zero is as Defaults has it.
type Bounds struct {
	// Lease is how long a carrier may serve by what it last heard, counted from before its poll.
	Lease monotonic.Micros
	// Slack is what may be left of an unheard carrier's lease when a desired state is acknowledged.
	Slack monotonic.Micros
	// PollHold is how long a poll is held open for news.
	PollHold monotonic.Micros
	// Wait is how long after its commit a state is acknowledged at the latest where carriers serve on. Carriers that were
	// heard within the last Lease are waited for until then.
	Wait monotonic.Micros
	// ServeOn: carriers serve on while out of touch, so their leases' ends aren't waited for. The carriers' must be set too.
	ServeOn bool
}

// Defaults are the bounds that hold for what isn't set.
var Defaults = Bounds{Lease: Tenure, Slack: Slack, PollHold: monotonic.Second, Wait: 1200 * monotonic.Millisecond}

func (bounds Bounds) filled() Bounds {
	for _, one := range []struct{ set, otherwise *monotonic.Micros }{{&bounds.Lease, &Defaults.Lease}, {&bounds.Slack, &Defaults.Slack},
		{&bounds.PollHold, &Defaults.PollHold}, {&bounds.Wait, &Defaults.Wait}} {
		if *one.set == 0 {
			*one.set = *one.otherwise
		}
	}
	return bounds
}

// check tells what doesn't go together: a lease must outlast a held poll and the next one's way, or carriers in touch lose it.
func (bounds Bounds) check() error {
	if bounds.Slack < 0 || bounds.PollHold < 0 || bounds.Wait < 0 || bounds.Slack >= bounds.Lease {
		return errors.New("postmaster: no bound may be below zero, and the slack must be less than the lease")
	}
	if bounds.Lease < bounds.PollHold+monotonic.Second {
		return errors.New("postmaster: the lease must outlast the poll's hold by a second at least")
	}
	return nil
}

// patience is how long an apply waits to be in force everywhere before it's answered otherwise.
func (bounds Bounds) patience() monotonic.Micros {
	if bounds.ServeOn {
		return bounds.Wait
	}
	return bounds.Lease + 9*monotonic.Second
}

// unknown is how long a new primary doesn't know who serves: until the leases that others gave are nearly over.
func (bounds Bounds) unknown() monotonic.Micros { return bounds.Lease - bounds.Slack }

// slack is what may be left of the lease of a carrier that isn't waited for.
func (bounds Bounds) slack() monotonic.Micros {
	if bounds.ServeOn {
		return 0
	}
	return bounds.Slack
}
