package configclient

import (
	"fmt"

	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/discovery"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// candidate is a compiled version that isn't adopted yet.
type candidate struct {
	snapshot  *config.Snapshot
	resources *changes.Set
	// changed is the number of resources that differ from the adopted version, zero for the first version.
	changed int
}

// adopt adopts the version in a response if it's newer, and extends the lease. requestedAt is when the poll was sent. It returns false
// if the response is unusable: its version is older than the adopted one or can't be parsed.
func (c *Client) adopt(response *wire.ConfigPollResponse, requestedAt monotonic.Micros) bool {
	version, _ := c.Version()
	if response.Primary && c.unconfirmedSince > 0 {
		version = 0 // the unconfirmed version may never have been acknowledged, so a lower one may be the right one
	}
	if response.Version < version {
		return false
	}
	if response.Version == version {
		c.renewLease(response, requestedAt)
		return true
	}
	if len(response.Difference) == 0 {
		next := c.compileFull(response)
		if next == nil {
			return false
		}
		c.install(next, response, requestedAt)
		return true
	}
	next, err := c.applyDifference(response)
	if err != nil {
		// The next poll, which is sent at once, requests the full content. The lease isn't renewed until then.
		c.rejectDifference(response, version, err)
		return true
	}
	c.install(next, response, requestedAt)
	return true
}

// applyDifference returns the version that results from a difference. The adopted version isn't changed.
func (c *Client) applyDifference(response *wire.ConfigPollResponse) (*candidate, error) {
	if c.resources == nil {
		return nil, changes.ErrBaseMismatch
	}
	result, err := changes.Apply(c.resources, response.Difference)
	if err != nil {
		return nil, err
	}
	if result.Version != response.Version {
		return nil, fmt.Errorf("%w: it leads to version %d", changes.ErrDigestMismatch, result.Version)
	}
	snapshot, err := c.snapshot.With(result.Change, result.Version, result.ContentDigest)
	if err != nil {
		return nil, err
	}
	return &candidate{snapshot: snapshot, resources: result.Set, changed: result.ResourcesChanged}, nil
}

// rejectDifference reports a difference that doesn't apply and makes the next poll request the full content.
func (c *Client) rejectDifference(response *wire.ConfigPollResponse, version uint64, err error) {
	c.requestFull = true
	c.mu.Lock()
	c.stats.Rejected++
	c.mu.Unlock()
	c.host.Report(eventlog.DeltaRejected, eventlog.Attributes{
		"serial": response.Version,
		"have":   version,
		"bytes":  len(response.Difference),
		"error":  err.Error(),
	})
}

// compileFull compiles a version from its full content. It returns nil if that can't be parsed. Parts that are equal to those of the
// adopted version are shared with it, as for a difference. A configuration that isn't a set of resources shares nothing, and the
// version after it is requested in full.
func (c *Client) compileFull(response *wire.ConfigPollResponse) *candidate {
	state, fieldErrors := c.options.Parse(response.Content)
	if len(fieldErrors) > 0 {
		c.host.Report(eventlog.ConfigRejected, eventlog.Attributes{
			"serial": response.Version,
			"error":  fieldErrors[0].String(),
			"faults": len(fieldErrors),
		})
		return nil
	}
	next := &candidate{}
	digest := config.Digest(response.Content)
	next.resources, _ = changes.NewSet(state)
	if next.resources != nil && c.resources != nil {
		difference := changes.Diff(c.resources, next.resources)
		next.changed = difference.Len()
		next.snapshot, _ = c.snapshot.With(changes.SnapshotChange(c.resources, difference), response.Version, digest)
	}
	if next.snapshot == nil {
		next.snapshot = config.Compile(state, response.Version, digest)
	}
	return next
}

// install makes a candidate the adopted version, extends the lease, and wakes the tasks in WaitForVersion.
func (c *Client) install(next *candidate, response *wire.ConfigPollResponse, requestedAt monotonic.Micros) {
	isDifference := len(response.Difference) > 0
	c.requestFull = false
	c.mu.Lock()
	c.snapshot, c.adoptedAt, c.resources = next.snapshot, c.host.Now(), next.resources
	if response.Primary {
		c.unconfirmedSince = 0
	} else if c.unconfirmedSince == 0 {
		c.unconfirmedSince = c.host.Now()
	}
	if isDifference {
		c.stats.Differences++
	} else {
		c.stats.FullStates++
	}
	c.stats.Resources += uint64(next.changed)
	c.extendLease(response, requestedAt)
	waiters := c.waiters
	c.waiters = nil
	c.mu.Unlock()
	for _, waiter := range waiters {
		waiter.Fire()
	}
	c.host.Report(eventlog.ConfigAdopted, eventlog.Attributes{
		"serial":     next.snapshot.Version,
		"difference": isDifference,
		"bytes":      max(len(response.Difference), len(response.Content)),
		"resources":  next.changed,
	})
}

// renewLease extends the lease by a response without a newer version.
func (c *Client) renewLease(response *wire.ConfigPollResponse, requestedAt monotonic.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.extendLease(response, requestedAt)
}

// extendLease applies the lease and the long-poll time of a response. Only a primary grants a lease. mu must be held.
func (c *Client) extendLease(response *wire.ConfigPollResponse, requestedAt monotonic.Micros) {
	c.longPoll = monotonic.Micros(response.LongPoll)
	if response.Primary && c.snapshot != nil && !c.released {
		c.leaseExpiry = max(c.leaseExpiry, requestedAt+monotonic.Micros(response.Lease))
		c.tenantKeyLease.confirm(requestedAt)
		c.expiryReported, c.keyExpiryReported = false, false
	}
}

// Release ends the lease permanently and notifies the primary, so that apply calls don't wait for the lease to expire. If the primary
// isn't reached within the timeout, they wait until the lease has expired.
func (c *Client) Release(timeout monotonic.Micros) {
	c.mu.Lock()
	c.released, c.leaseExpiry = true, 0
	c.mu.Unlock()
	primary := c.resolver.PrimaryName(discovery.ConfigStoreGroup)
	if primary == "" {
		return
	}
	request := &wire.ConfigPollRequest{Proxy: c.options.Proxy, Incarnation: c.options.Incarnation, Release: true}
	_ = c.resolver.Call(primary, wire.Kind_config_poll, request, &wire.ConfigPollResponse{}, timeout)
}

// reportLeaseExpiry reports once that the lease has expired, if the proxy needs one to serve.
func (c *Client) reportLeaseExpiry() {
	c.mu.Lock()
	expired := c.snapshot != nil && !c.options.ServeStale && c.host.Now() >= c.leaseExpiry && !c.expiryReported
	c.expiryReported = c.expiryReported || expired
	c.mu.Unlock()
	if expired {
		c.host.Report(eventlog.ConfigLeaseExpired, eventlog.Attributes{})
	}
}

// reportKeyLeaseExpiry reports once that the lease on tenants' keys has expired, if the adopted version has tenants and their keys need
// a lease.
func (c *Client) reportKeyLeaseExpiry() {
	remaining, limited := c.KeyLease()
	c.mu.Lock()
	expired := limited && remaining <= 0 && c.tenantKeyLease.confirmed && c.snapshot.HasTenants() && !c.keyExpiryReported
	c.keyExpiryReported = c.keyExpiryReported || expired
	c.mu.Unlock()
	if expired {
		c.host.Report(eventlog.KeyLeaseExpired, eventlog.Attributes{})
	}
}
