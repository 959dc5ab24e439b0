// Package configclient keeps the adopted desired state and the tenure to serve by it.
package configclient

import (
	"bytes"
	"compress/flate"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"sync"

	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/discovery"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/host/clockwatch"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const storeGroup = "postmaster"

// Options is what a desk is made of.
type Options struct {
	Host        host.Host
	Resolver    *discovery.Resolver
	Proxy       string
	Incarnation uint64
	ClockWatch  *clockwatch.Watcher
	// Parse reads accepted contents, franking.Accepted if left out.
	Parse config.Parser
	// ServeStale: a view is served by for as long as none newer is heard of, tenure or not.
	ServeStale bool
}

// Client follows the postmasters.
// Invariants: a primary's serial never falls; until counts from before the poll that gave the tenure; a view is only served
// by before until, unless ServeStale is set, and never once released; one that only a copy told of isn't while a primary is looked for.
type Client struct {
	options  Options
	host     host.Host
	resolver *discovery.Resolver

	mu            sync.Mutex
	snapshot      *config.Snapshot
	leaseExpiry   monotonic.Micros
	adoptedAt     monotonic.Micros
	lapseReported bool
	waiters       []host.Signal
	// hold is how long the postmasters hold a poll open, as they last told.
	longPoll monotonic.Micros
	// released is set once it serves no more and takes no tenure.
	released bool
	// set is what the view was made of, nothing if that is no set of resources. Only the task that follows sets it and whole.
	resources *changes.Set
	// heard is when what's held was taken from a postmaster that isn't the primary; zero once a primary gave something. Only the task that
	// follows sets it.
	unconfirmedSince monotonic.Micros
	// whole is set from a difference that was refused until the next adoption: none is asked for meanwhile.
	requestFull bool
	stats       Stats
	// untenured lets it serve without a live tenure; only rehearsals of the checkers set it.
	ignoreLease bool
	emptyPolls  int // how often it was asked with nothing adopted; only the following task uses it
}

// Stats counts how versions were taken up.
type Stats struct {
	Differences uint64 `json:"differences"`
	FullStates  uint64 `json:"wholes"`
	Rejected    uint64 `json:"refused"`   // differences that were refused
	Resources   uint64 `json:"resources"` // that differed, of all adoptions but the first
}

// Stats tells how versions were taken up in this life.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// IgnoreLease lets the desk serve without a live tenure, to show that a checker sees what comes of it. No program sets it.
func (c *Client) IgnoreLease(ignore bool) { c.ignoreLease = ignore }

// New makes a desk.
func New(options Options) *Client {
	if options.Parse == nil {
		options.Parse = config.ParseAccepted
	}
	return &Client{options: options, host: options.Host, resolver: options.Resolver}
}

// Current is the view to serve by; live tells whether it may be: the tenure still stands, or none is needed.
func (c *Client) Current() (snapshot *config.Snapshot, live bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot, c.snapshot != nil && (c.ignoreLease || c.options.ServeStale && !c.released && !c.unconfirmed() || c.host.Now() < c.leaseExpiry && !c.options.ClockWatch.WentBack())
}

// Version is the adopted serial and how long ago it was adopted.
func (c *Client) Version() (version uint64, age monotonic.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == nil {
		return 0, 0
	}
	return c.snapshot.Version, c.host.Now() - c.adoptedAt
}

// unconfirmedTimeout is how long a primary is looked for before a version that only some copy told of is served by.
const unconfirmedTimeout = 1500 * monotonic.Millisecond

// doubted tells whether what's held is a copy's word, which may be long out of date, while a primary may still be found.
func (c *Client) unconfirmed() bool {
	return c.unconfirmedSince > 0 && c.host.Now()-c.unconfirmedSince < unconfirmedTimeout
}

// Adopted is the adopted serial, how long ago it was adopted, and the digest of its resources, by which two carriers can be seen to serve by
// the same; that is empty where there are none.
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

// WaitForVersion waits, at most patience, until the desk has adopted at least this serial.
func (c *Client) WaitForVersion(version uint64, timeout monotonic.Micros) bool {
	deadline := c.host.Now() + timeout
	for {
		signal := c.host.NewSignal()
		c.mu.Lock()
		if c.snapshot != nil && c.snapshot.Version >= version {
			c.mu.Unlock()
			return true
		}
		c.waiters = append(c.waiters, signal)
		c.mu.Unlock()
		remaining := deadline - c.host.Now()
		if remaining <= 0 {
			return false
		}
		signal.Wait(remaining)
	}
}

// Run polls for ever. Each adoption is told to the postmaster by the next poll, at once.
func (c *Client) Run() {
	first := true
	for {
		if !c.poll(first) {
			first = true
			c.host.Sleep(100*monotonic.Millisecond + monotonic.Micros(c.host.Random()%uint64(100*monotonic.Millisecond)))
			c.reportLapse()
			continue
		}
		first = false
	}
}

func (c *Client) poll(first bool) bool {
	version, _ := c.Version()
	have := version
	if c.unconfirmedSince > 0 {
		have = 0
	}
	name := c.pollTarget(have)
	if name == "" {
		c.resolver.Refresh()
		return false
	}
	if first && have > 0 && !c.ping(name) {
		c.resolver.Refresh()
		return false
	}
	c.mu.Lock()
	timeout := max(c.longPoll, monotonic.Second) + transferTimeout
	c.mu.Unlock()
	requestedAt := c.host.Now()
	response := &wire.ConfigPollResponse{}
	request := &wire.ConfigPollRequest{Proxy: c.options.Proxy, Incarnation: c.options.Incarnation, CurrentVersion: have, First: first, Full: c.requestFull, AcceptsCompressed: true}
	if c.resources != nil && have > 0 {
		request.Digest = c.resources.Digest()
	}
	err := c.resolver.Call(name, wire.Kind_config_poll, request, response, timeout)
	if err != nil {
		c.resolver.Refresh()
		return false
	}
	c.resolver.ObservePrimaries(response.Primaries)
	if err := decompress(response); err != nil {
		c.host.Report(eventlog.ConfigRejected, map[string]any{"serial": response.Version, "error": err.Error()})
		return false
	}
	if !response.Primary {
		if have == 0 && c.options.ServeStale && response.Version > version {
			c.adopt(response, 0)
		}
		c.resolver.Refresh()
		return false
	}
	return c.adopt(response, requestedAt+monotonic.Micros(response.Lease))
}

// pingTimeout is how long a postmaster that wasn't reached may take to answer that it's there.
const pingTimeout = 500 * monotonic.Millisecond

// knock asks a postmaster that wasn't reached, or didn't lead, whether it's there, before it's polled again. A poll is waited for as long as
// a large content may take; who is cut off would come back that much later.
func (c *Client) ping(name string) bool {
	response := &wire.DiscoverResponse{}
	if c.resolver.Call(name, wire.Kind_discover, &wire.DiscoverRequest{}, response, pingTimeout) != nil {
		return false
	}
	c.resolver.ObservePrimaries(response.Primaries)
	return true
}

// transferTimeout is what an answer may take beyond its hold: a large content on a narrow link.
const transferTimeout = 1500 * monotonic.Millisecond

// unpack restores a content that came packed. No content is longer than what a postmaster takes.
func decompress(response *wire.ConfigPollResponse) error {
	if len(response.Compressed) == 0 {
		return nil
	}
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(response.Compressed)), config.MaxContentSize+1))
	if err == nil && len(content) > config.MaxContentSize {
		err = errors.New("longer than any content that is taken")
	}
	response.Content, response.Compressed = content, nil
	return err
}

// pollTarget is whom to ask: the primary, or in turn any while this carrier has nothing and may serve on by what it hears.
func (c *Client) pollTarget(version uint64) string {
	leader := c.resolver.Leader(storeGroup)
	if version > 0 || !c.options.ServeStale {
		return leader
	}
	c.emptyPolls++
	if leader != "" && c.emptyPolls%2 == 1 {
		return leader
	}
	if others := c.resolver.Members(storeGroup); len(others) > 0 {
		return others[c.emptyPolls/2%len(others)]
	}
	return leader
}

// adoption is a version that was read and isn't in force yet.
type candidate struct {
	snapshot     *config.Snapshot
	resources    *changes.Set
	changedCount int
	count        func(stats *Stats)
}

// next makes the next version of a difference; the version in force isn't touched.
func (c *Client) applyDifference(response *wire.ConfigPollResponse) (*candidate, error) {
	if c.resources == nil {
		return nil, changes.ErrBaseMismatch
	}
	step, err := changes.Apply(c.resources, response.Difference)
	if err != nil {
		return nil, err
	}
	if step.Version != response.Version {
		return nil, fmt.Errorf("%w: it leads to %d", changes.ErrDigestMismatch, step.Version)
	}
	snapshot, err := c.snapshot.With(step.Change, step.Version, step.ContentDigest)
	if err != nil {
		return nil, err
	}
	return &candidate{snapshot: snapshot, resources: step.Set, changedCount: step.ResourcesChanged, count: func(stats *Stats) { stats.Differences++ }}, nil
}

// anew makes the next version of a whole content. What doesn't differ from the version in force keeps its objects all the same.
func (c *Client) applyFull(state *wire.DesiredState, response *wire.ConfigPollResponse) *candidate {
	next := &candidate{count: func(stats *Stats) { stats.FullStates++ }}
	digest := config.Digest(response.Content)
	next.resources, _ = changes.NewSet(state) // one that is no set is taken as it is, and differences aren't asked for
	if next.resources != nil && c.resources != nil {
		difference := changes.Diff(c.resources, next.resources)
		next.changedCount = len(difference.Added) + len(difference.Changed) + len(difference.Removed)
		next.snapshot, _ = c.snapshot.With(changes.SnapshotChange(c.resources, difference), response.Version, digest)
	}
	if next.snapshot == nil {
		next.snapshot = config.Compile(state, response.Version, digest)
	}
	return next
}

func (c *Client) adopt(response *wire.ConfigPollResponse, leaseExpiry monotonic.Micros) bool {
	var next *candidate
	version, _ := c.Version()
	if response.Primary && c.unconfirmedSince > 0 {
		version = 0 // a copy may have told of a version that was never acknowledged
	}
	if response.Version < version {
		return false // never back to an older one
	}
	if response.Version > version && len(response.Difference) > 0 {
		applied, err := c.applyDifference(response)
		if err != nil {
			c.requestFull = true
			c.mu.Lock()
			c.stats.Rejected++
			c.mu.Unlock()
			c.host.Report(eventlog.DeltaRejected, map[string]any{"serial": response.Version, "have": version, "bytes": len(response.Difference), "error": err.Error()})
			return true // the next poll, at once, asks for the whole; nothing is renewed until then
		}
		next = applied
	} else if response.Version > version {
		state, fieldErrors := c.options.Parse(response.Content)
		if len(fieldErrors) > 0 {
			c.host.Report(eventlog.ConfigRejected, map[string]any{"serial": response.Version, "error": fieldErrors[0].String(), "faults": len(fieldErrors)})
			return false
		}
		next = c.applyFull(state, response)
	}
	c.mu.Lock()
	c.longPoll = monotonic.Micros(response.LongPoll)
	if next != nil {
		c.snapshot, c.adoptedAt, c.resources, c.requestFull = next.snapshot, c.host.Now(), next.resources, false
		if response.Primary {
			c.unconfirmedSince = 0
		} else if c.unconfirmedSince == 0 {
			c.unconfirmedSince = c.host.Now()
		}
		next.count(&c.stats)
		c.stats.Resources += uint64(next.changedCount)
	}
	if c.snapshot != nil && !c.released {
		c.leaseExpiry = max(c.leaseExpiry, leaseExpiry)
		c.lapseReported = false
	}
	waiters := c.waiters
	if next != nil {
		c.waiters = nil
	}
	c.mu.Unlock()
	if next != nil {
		for _, waiter := range waiters {
			waiter.Fire()
		}
		c.host.Report(eventlog.ConfigAdopted, map[string]any{"serial": next.snapshot.Version, "difference": len(response.Difference) > 0, "bytes": max(len(response.Difference), len(response.Content)), "resources": next.changedCount})
	}
	return true
}

// Release ends the tenure for good and tells the primary, so that nobody waits for its end. Where that can't be told the
// tenure runs out there.
func (c *Client) Release(timeout monotonic.Micros) {
	c.mu.Lock()
	c.released, c.leaseExpiry = true, 0
	c.mu.Unlock()
	if name := c.resolver.Leader(storeGroup); name != "" {
		_ = c.resolver.Call(name, wire.Kind_config_poll, &wire.ConfigPollRequest{Proxy: c.options.Proxy, Incarnation: c.options.Incarnation, Release: true}, &wire.ConfigPollResponse{}, timeout)
	}
}

func (c *Client) reportLapse() {
	c.mu.Lock()
	expired := c.snapshot != nil && !c.options.ServeStale && c.host.Now() >= c.leaseExpiry && !c.lapseReported
	c.lapseReported = c.lapseReported || expired
	c.mu.Unlock()
	if expired {
		c.host.Report(eventlog.ConfigLeaseExpired, map[string]any{})
	}
}
