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
	// fastPollInterval replaces PollInterval while no server answers, or while the answering server's directory may be
	// incomplete.
	fastPollInterval = 200 * monotonic.Millisecond
	// neverPolled is the age that the last answered poll of a new client has: beyond every timeout.
	neverPolled = monotonic.Minute
	// pollTimeout bounds one poll of one server.
	pollTimeout = 600 * monotonic.Millisecond
	// sessionTimeout is the time without an answered poll after which this proxy's session may have expired.
	sessionTimeout = 3 * monotonic.Second
	// liveCountWindow is the time for which the largest reported number of live proxies counts. It is the window in which
	// the retry budget counts retries.
	liveCountWindow = 10 * monotonic.Second
	// completeDirectoryAge is the age from which a server's directory is complete: by then every proxy has polled it, or
	// that proxy's session has expired.
	completeDirectoryAge = directory.SessionTimeout
)

// Client keeps this proxy's session with the registry and holds the directory that the registry returns.
// It is safe for concurrent use, except that Run and Poll belong to one goroutine.
type Client struct {
	host           host.Host
	resolver       *discovery.Resolver
	currentSession func() *wire.Session
	clockWatch     *clockwatch.Watcher
	// Activity returns the calls that this proxy made since the previous poll. It must be set before Run.
	Activity func() []*wire.Activity
	// ApplyBreakers receives the breaker records that changed since it last received any from the leader. It is called with
	// reached false and no records after each poll that did not reach the leader. It must be set before Run.
	ApplyBreakers func(records []*wire.BreakerRecord, reached bool)

	pollNow host.Signal
	batcher batcher

	// mu guards the fields below. It is not held during calls to the registry.
	mu        sync.Mutex
	directory *Directory // built from snapshot, which may be ahead of it only while mu is held
	snapshot  snapshot
	complete  bool // the directory is, or once was, that of a server whose directory was complete
	updates   UpdateCounts
	heartbeat uint64 // sequence number of the last poll
	announced announcements
	// live is the largest number of live proxies reported within liveCountWindow. Servers differ for a moment after a
	// change, and a quota share must not grow because of the one that knows fewer proxies.
	live      uint32
	liveSetAt monotonic.Micros
	startedAt monotonic.Micros
	// leaderClock is the newest time of the leader's clock that is known to have passed, observed at leaderClockAt on this
	// process's clock. Nil if none is known.
	leaderClock   *wire.LeaderTimestamp
	leaderClockAt monotonic.Micros
	polledAt      monotonic.Micros // when the last answer to a poll arrived
	reached       bool             // the last poll was answered
	// breakersSource and breakersVersion identify the breaker records last received, as the leader numbers them.
	breakersSource, breakersVersion uint64
	sourceIncomplete                bool // the server that answered last may not know every proxy yet
}

// New returns a client that is not yet polling. currentSession returns this proxy's session at the time of the call, and is
// called once for each poll; clockWatch reports whether this process's clock can be trusted.
func New(h host.Host, resolver *discovery.Resolver, currentSession func() *wire.Session, clockWatch *clockwatch.Watcher) *Client {
	c := &Client{
		host:           h,
		resolver:       resolver,
		currentSession: currentSession,
		clockWatch:     clockWatch,
		pollNow:        h.NewSignal(),
		directory:      buildDirectory(resource.Empty),
		snapshot:       emptySnapshot,
		polledAt:       -neverPolled,
		startedAt:      h.Now(),
	}
	c.batcher.client = c
	return c
}

// Registered reports whether the registry still has this proxy's session, as far as this proxy can know.
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
// known, after liveCountWindow without contact to the registry, and for liveCountWindow after the start, when what the
// previous incarnation of this proxy used may still count.
func (c *Client) QuotaShare(allowance uint32) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.host.Now()
	if c.live == 0 || now-c.polledAt >= liveCountWindow || now-c.startedAt < liveCountWindow {
		return 0
	}
	return float64(allowance) / float64(c.live)
}
