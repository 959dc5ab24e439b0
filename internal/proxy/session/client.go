package session

import (
	"sync"

	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/host/clockwatch"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/directory"
	"snowflow/internal/resource"
	"snowflow/internal/transport/wire"
)

// registryGroup is the name of the registry's servers in discovery. It is sent on the wire, and keeps the registry's former name.
const registryGroup = "sorter"

const (
	// PollInterval is the time from the start of one poll to the start of the next.
	PollInterval = monotonic.Second
	// fastPollInterval replaces PollInterval while no server responds, or while the directory of the responding server may be
	// incomplete.
	fastPollInterval = 200 * monotonic.Millisecond
	// neverPolledAge is the initial age of a client's last successful poll. It exceeds every timeout.
	neverPolledAge = monotonic.Minute
	// pollTimeout is the timeout of a poll of one server.
	pollTimeout = 600 * monotonic.Millisecond
	// sessionTimeout is the time without a successful poll after which this proxy's session may have expired.
	sessionTimeout = 3 * monotonic.Second
	// liveCountWindow is how long the largest reported number of live proxies is used. It equals the window in which the
	// retry budget counts retries.
	liveCountWindow = 10 * monotonic.Second
	// completeDirectoryAge is the age from which a server's directory is complete: by then each proxy has polled the server,
	// or its session has expired.
	completeDirectoryAge = directory.SessionTimeout
)

// Client maintains this proxy's session with the registry and holds the directory that the registry returns.
// It is safe for concurrent use, except that Run and Poll must be called from a single goroutine.
type Client struct {
	host           host.Host
	resolver       *discovery.Resolver
	currentSession func() *wire.Session
	clockWatch     *clockwatch.Watcher
	// Activity returns the calls that this proxy made since the previous poll. It must be set before Run.
	Activity func() []*wire.Activity
	// ApplyBreakers receives the breaker records that changed since the leader's previous response. After a poll that did not
	// reach the leader it is called with reached false and no records. It must be set before Run.
	ApplyBreakers func(records []*wire.BreakerRecord, reached bool)

	pollNow host.Signal
	batcher batcher

	// mu guards the fields below. It is not held during calls to the registry.
	mu                sync.Mutex
	directory         *Directory // built from snapshot; the two differ only while mu is held
	snapshot          snapshot
	directoryComplete bool // a complete directory has been received
	updates           UpdateCounts
	heartbeat         uint64 // sequence number of the last poll
	announced         announcements
	// liveProxies is the largest number of live proxies reported within liveCountWindow. Servers report different numbers
	// shortly after a change, and a quota share must not grow because one of them knows fewer proxies.
	liveProxies   uint32
	liveProxiesAt monotonic.Micros
	startedAt     monotonic.Micros
	// leaderClock is the latest time that the leader's clock is known to have reached, observed at leaderClockAt on this
	// process's clock. Nil if none is known.
	leaderClock      *wire.LeaderTimestamp
	leaderClockAt    monotonic.Micros
	polledAt         monotonic.Micros // when the last response to a poll arrived
	lastPollAnswered bool             // a server responded to the last poll
	// breakersSource and breakersVersion are the leader's identifiers of the breaker records received last.
	breakersSource, breakersVersion uint64
	sourceIncomplete                bool // the server that responded last may not know every proxy yet
}

// New returns a client, which polls once Run is called. currentSession returns this proxy's session at the time of the call,
// and is called once per poll; clockWatch reports whether this process's clock can be trusted.
func New(h host.Host, resolver *discovery.Resolver, currentSession func() *wire.Session, clockWatch *clockwatch.Watcher) *Client {
	c := &Client{
		host:           h,
		resolver:       resolver,
		currentSession: currentSession,
		clockWatch:     clockWatch,
		pollNow:        h.NewSignal(),
		directory:      buildDirectory(resource.Empty),
		snapshot:       emptySnapshot,
		polledAt:       -neverPolledAge,
		startedAt:      h.Now(),
	}
	c.batcher.client = c
	return c
}

// Registered reports whether the registry is known to still have this proxy's session.
func (c *Client) Registered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.host.Now()-c.polledAt < sessionTimeout
}

// HasDirectory reports whether a registry server has ever returned a directory to this process.
func (c *Client) HasDirectory() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot.source != 0
}

// QuotaShare returns this proxy's equal share of a mesh-wide allowance. It is zero until the number of live proxies is
// known, after liveCountWindow without contact to the registry, and for liveCountWindow after the start, because usage by the
// previous incarnation of this proxy may still count.
func (c *Client) QuotaShare(allowance uint32) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.host.Now()
	if c.liveProxies == 0 || now-c.polledAt >= liveCountWindow || now-c.startedAt < liveCountWindow {
		return 0
	}
	return float64(allowance) / float64(c.liveProxies)
}
