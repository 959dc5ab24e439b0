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

// unconfirmedTimeout is how long the client tries to find a primary before the proxy serves from an unconfirmed version.
const unconfirmedTimeout = 1500 * monotonic.Millisecond

// Options are the dependencies and settings of a Client.
type Options struct {
	Host     host.Host
	Resolver *discovery.Resolver
	// Proxy is the proxy's name, and Incarnation a number that differs for each of its processes.
	Proxy       string
	Incarnation uint64
	// ClockWatch reports whether the clock may have been set back, so that the end of a lease is unknown.
	ClockWatch *clockwatch.Watcher
	// Parse reads accepted contents, config.ParseAccepted if nil.
	Parse config.Parser
	// ServeStale lets the proxy serve without a lease until it receives a newer version. The configuration stores must
	// be configured alike (configstore.Timeouts.ServeStale).
	ServeStale bool
	// KeyLease is how long tenants' keys are in force after the last poll by which a primary confirmed the adopted version as the
	// newest, counted from before that poll was sent. Zero: as long as the version itself.
	KeyLease monotonic.Micros
}

// Client follows the configuration stores. All methods but Run are safe for concurrent use.
//
// Invariant: once a primary has given a version, the adopted version never falls.
type Client struct {
	options  Options
	host     host.Host
	resolver *discovery.Resolver
	// ignoreLease lets the proxy serve without a lease. It's set before Run, by tests alone.
	ignoreLease bool
	// emptyPolls counts the polls while nothing was adopted. Run alone uses it.
	emptyPolls int
	// requestFull is set when a difference is rejected, until the next adoption. Run alone uses it.
	requestFull bool

	// mu guards the fields below for all but Run, which alone writes snapshot, resources and unconfirmedSince and so reads them
	// without it.
	mu sync.Mutex
	// snapshot is the adopted version, nil before the first, and adoptedAt when it was adopted.
	snapshot  *config.Snapshot
	adoptedAt monotonic.Micros
	// resources are what snapshot was made of, nil if that isn't a set of resources.
	resources *changes.Set
	// unconfirmedSince is when the first version was taken from a store that isn't the primary, zero if the adopted one is a
	// primary's.
	unconfirmedSince monotonic.Micros
	// leaseExpiry is the end of the lease, counted from before the poll that granted it.
	leaseExpiry monotonic.Micros
	// keys is the lease on the adopted version's keys of tenants.
	keys keyLease
	// lapseReported is set once the expiry of the present lease has been reported.
	lapseReported bool
	// keyLapseReported is set once the expiry of the present lease on tenants' keys has been reported.
	keyLapseReported bool
	// released is set once the proxy has stopped serving for good and takes no more leases.
	released bool
	// longPoll is how long the primary leaves a poll open, by its last response.
	longPoll monotonic.Micros
	// pending is the poll that waits for its response.
	pending pendingPoll
	// waiters are fired at the next adoption.
	waiters []host.Signal
	stats   Stats
}

// Stats counts the versions that were adopted or rejected by this process. The JSON keys keep their former names.
type Stats struct {
	Differences uint64 `json:"differences"`
	FullStates  uint64 `json:"wholes"`
	// Rejected counts the differences that didn't apply.
	Rejected uint64 `json:"refused"`
	// Resources counts the resources that differed, over all adoptions but the first.
	Resources uint64 `json:"resources"`
}

// New returns a client. It does nothing before Run.
func New(options Options) *Client {
	if options.Parse == nil {
		options.Parse = config.ParseAccepted
	}
	return &Client{options: options, host: options.Host, resolver: options.Resolver, keys: keyLease{length: options.KeyLease}}
}

// IgnoreLease lets the proxy serve without a lease. It is a deliberate fault with which tests show that their checkers detect it; no
// program sets it.
func (c *Client) IgnoreLease(ignore bool) { c.ignoreLease = ignore }

// Current returns the adopted snapshot, nil before the first, and whether the proxy may serve from it.
func (c *Client) Current() (snapshot *config.Snapshot, live bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot, c.snapshot != nil && c.mayServe()
}

// mayServe reports whether a lease, or ServeStale, lets the proxy serve. It must be called with mu held.
func (c *Client) mayServe() bool {
	if c.ignoreLease {
		return true
	}
	if c.options.ServeStale && !c.released && !c.awaitsPrimary() {
		return true
	}
	return c.host.Now() < c.leaseExpiry && !c.options.ClockWatch.WentBack()
}

// awaitsPrimary reports whether the adopted version is unconfirmed while a primary may still be found. It must be called with mu
// held.
func (c *Client) awaitsPrimary() bool {
	return c.unconfirmedSince > 0 && c.host.Now()-c.unconfirmedSince < unconfirmedTimeout
}

// KeyLease returns how much longer the adopted version's keys of tenants may be relied on, zero if no longer. Limited is false if they
// need no lease.
func (c *Client) KeyLease() (remaining monotonic.Micros, limited bool) {
	if c.options.KeyLease == 0 {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released || c.options.ClockWatch.WentBack() {
		return 0, true
	}
	return c.keys.remaining(c.host.Now()), true
}

// InContact reports whether a primary has lately confirmed the adopted version, so that a key which isn't in it is of no tenant.
func (c *Client) InContact() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys.confirmed && c.host.Now() < c.leaseExpiry && !c.options.ClockWatch.WentBack()
}

// Version returns the adopted version and the time since its adoption, zeros before the first.
func (c *Client) Version() (version uint64, age monotonic.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == nil {
		return 0, 0
	}
	return c.snapshot.Version, c.host.Now() - c.adoptedAt
}

// Adopted returns the adopted version, the time since its adoption and the digest of its resources in hexadecimal, by which two
// proxies can be seen to serve the same configuration; it's empty if the configuration isn't a set of resources.
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

// WaitForVersion waits until at least this version is adopted, and reports whether that was so before a timeout.
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

// adoptedOrSubscribe reports whether a version is adopted, and subscribes a signal to the next adoption if it isn't.
func (c *Client) adoptedOrSubscribe(version uint64, signal host.Signal) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != nil && c.snapshot.Version >= version {
		return true
	}
	c.waiters = append(c.waiters, signal)
	return false
}
