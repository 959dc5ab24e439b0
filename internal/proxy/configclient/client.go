package configclient

import (
	"encoding/hex"
	"sync"

	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/host/clockwatch"
	"snowflow/internal/monotonic"
)

// unconfirmedTimeout is how long the client looks for a primary before the proxy serves from an unconfirmed version.
const unconfirmedTimeout = 1500 * monotonic.Millisecond

// Options are the dependencies and settings of a Client.
type Options struct {
	Host     host.Host
	Resolver *discovery.Resolver
	// Proxy is the proxy's name, and Incarnation a number that differs for each of its processes.
	Proxy       string
	Incarnation uint64
	// ClockWatch reports whether the clock may have been set back, in which case the end of a lease is unknown.
	ClockWatch *clockwatch.Watcher
	// Parse parses the content of accepted configurations. Nil means config.ParseAccepted.
	Parse config.Parser
	// ServeStale lets the proxy serve without a lease until it receives a newer version. The configuration stores must
	// be configured alike (configstore.Timeouts.ServeStale).
	ServeStale bool
	// KeyLease is how long tenants' keys remain valid after a primary last confirmed the adopted version as the newest, counted from
	// before that poll was sent. Zero: as long as the version itself.
	KeyLease monotonic.Micros
}

// Client keeps the configuration up to date by polling the configuration stores. All methods but Run are safe for concurrent use.
//
// Invariant: once a version of a primary has been adopted, the adopted version never decreases.
type Client struct {
	options  Options
	host     host.Host
	resolver *discovery.Resolver
	// ignoreLease lets the proxy serve without a lease. Only tests set it, before Run.
	ignoreLease bool
	// pollsWithoutVersion counts the polls without a confirmed version if ServeStale is set. Only Run uses it.
	pollsWithoutVersion int
	// requestFull is set from the rejection of a difference until the next adoption. Only Run uses it.
	requestFull bool

	// mu guards the fields below. Only Run writes snapshot, resources and unconfirmedSince, so it reads them without mu.
	mu sync.Mutex
	// snapshot is the adopted version, nil before the first, and adoptedAt when it was adopted.
	snapshot  *config.Snapshot
	adoptedAt monotonic.Micros
	// resources is the set of resources that snapshot was compiled from, nil if the configuration isn't a set of resources.
	resources *changes.Set
	// unconfirmedSince is when the first version of a store that isn't the primary was adopted, zero if the adopted version is a
	// primary's.
	unconfirmedSince monotonic.Micros
	// leaseExpiry is the end of the lease, counted from before the poll that granted it.
	leaseExpiry monotonic.Micros
	// tenantKeyLease is the lease on the tenants' keys of the adopted version.
	tenantKeyLease keyLease
	// expiryReported is set once the expiry of the current lease has been reported.
	expiryReported bool
	// keyExpiryReported is set once the expiry of the current lease on tenants' keys has been reported.
	keyExpiryReported bool
	// released is set once the proxy has stopped serving for good; it then accepts no more leases.
	released bool
	// longPoll is how long the primary keeps a poll open, according to its last response.
	longPoll monotonic.Micros
	// pending is the poll that waits for a response.
	pending pendingPoll
	// waiters are fired on the next adoption.
	waiters []host.Signal
	stats   Stats
}

// Stats counts the versions that this process adopted or rejected. The JSON keys keep their former names.
type Stats struct {
	// Differences and FullStates count the adopted versions by how they arrived.
	Differences uint64 `json:"differences"`
	FullStates  uint64 `json:"wholes"`
	// Rejected counts the differences that didn't apply.
	Rejected uint64 `json:"refused"`
	// Resources is the total number of changed resources in all adoptions but the first.
	Resources uint64 `json:"resources"`
}

// New returns a client, which polls once Run is called.
func New(options Options) *Client {
	if options.Parse == nil {
		options.Parse = config.ParseAccepted
	}
	return &Client{options: options, host: options.Host, resolver: options.Resolver, tenantKeyLease: keyLease{length: options.KeyLease}}
}

// IgnoreLease lets the proxy serve without a lease. Tests use it as a deliberate fault that their checks must detect; no program
// calls it.
func (c *Client) IgnoreLease(ignore bool) { c.ignoreLease = ignore }

// Current returns the adopted snapshot, nil before the first, and whether the proxy may serve from it.
func (c *Client) Current() (snapshot *config.Snapshot, live bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot, c.snapshot != nil && c.mayServe()
}

// mayServe reports whether a lease or ServeStale allows the proxy to serve. mu must be held.
func (c *Client) mayServe() bool {
	if c.ignoreLease {
		return true
	}
	if c.options.ServeStale && !c.released && !c.awaitsPrimary() {
		return true
	}
	return c.host.Now() < c.leaseExpiry && !c.options.ClockWatch.WentBack()
}

// awaitsPrimary reports whether the adopted version is unconfirmed and unconfirmedTimeout has not passed yet. mu must be held.
func (c *Client) awaitsPrimary() bool {
	return c.unconfirmedSince > 0 && c.host.Now()-c.unconfirmedSince < unconfirmedTimeout
}

// KeyLease returns how much longer the tenants' keys of the adopted version may be relied on, zero if no longer. limited is false if
// they need no lease.
func (c *Client) KeyLease() (remaining monotonic.Micros, limited bool) {
	if c.options.KeyLease == 0 {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released || c.options.ClockWatch.WentBack() {
		return 0, true
	}
	return c.tenantKeyLease.remaining(c.host.Now()), true
}

// InContact reports whether a primary recently confirmed the adopted version as the newest, so that a key that isn't in it belongs to
// no tenant.
func (c *Client) InContact() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tenantKeyLease.confirmed && c.host.Now() < c.leaseExpiry && !c.options.ClockWatch.WentBack()
}

// Version returns the adopted version and the time since its adoption. Both are zero before the first.
func (c *Client) Version() (version uint64, age monotonic.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == nil {
		return 0, 0
	}
	return c.snapshot.Version, c.host.Now() - c.adoptedAt
}

// Adopted returns the adopted version, the time since its adoption and the hexadecimal digest of its resources, which shows whether
// two proxies serve the same configuration. The digest is empty if the configuration isn't a set of resources.
func (c *Client) Adopted() (version uint64, age monotonic.Micros, digest string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == nil {
		return 0, 0, ""
	}
	if c.resources != nil {
		digest = hex.EncodeToString(c.resources.Digest())
	}
	return c.snapshot.Version, c.host.Now() - c.adoptedAt, digest
}

// Stats returns the counts of this process.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// WaitForVersion waits until this version or a newer one is adopted, and reports whether that happened before the timeout.
func (c *Client) WaitForVersion(version uint64, timeout monotonic.Micros) bool {
	deadline := c.host.Now() + timeout
	for {
		signal := c.host.NewSignal()
		if c.adoptedOrSubscribe(version, signal) {
			return true
		}
		remaining := deadline - c.host.Now()
		if remaining <= 0 {
			return false
		}
		signal.Wait(remaining)
	}
}

// adoptedOrSubscribe reports whether this version or a newer one is adopted. If not, it subscribes the signal to the next adoption.
func (c *Client) adoptedOrSubscribe(version uint64, signal host.Signal) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != nil && c.snapshot.Version >= version {
		return true
	}
	c.waiters = append(c.waiters, signal)
	return false
}
