// Package session keeps this carrier's membership: its session with a sorter, and the directory it's shown in return.
package session

import (
	"sort"
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/discovery"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/host/clockwatch"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/directory"
	"snowflow/internal/resource"
	"snowflow/internal/transport/wire"
)

const registryGroup = "sorter"

// PollInterval is the cadence of polls: the session's beat, the directory's and the guards' cached read in one.
const PollInterval = monotonic.Second

// liveCountWindow is the window in which further tries are counted.
const liveCountWindow = 10 * monotonic.Second

// completeDirectoryAge is the age from which a sorter's directory is taken as whole: every carrier has polled, or its session has ended.
const completeDirectoryAge = directory.SessionTimeout

// Candidate is one backend that may be chosen.
type Candidate struct {
	Proxy       string
	Incarnation uint64
	Address     string
	Domain      string
	Service     string
	Instance    string
	Slots       uint32 // how many requests its backend runs at once; zero while unknown
	Warming     bool   // its backend said that it's slower yet
}

func (c *Candidate) less(other *Candidate) bool {
	if c.Instance != other.Instance {
		return c.Instance < other.Instance
	}
	return c.Proxy < other.Proxy
}

// Directory is one view of who is there. Invariant: it doesn't change once made; candidates are sorted by instance, and by carrier
// where an instance is at two.
type Directory struct {
	Candidates map[string][]Candidate
	// Proxies counts live carriers by domain.
	ProxiesByDomain map[string]int
	Live            int
	// Addresses finds a live carrier, leaving or not, by name.
	Addresses map[string]string
}

// Client follows the sorters.
type Client struct {
	host           host.Host
	resolver       *discovery.Resolver
	currentSession func() *wire.Session
	clockWatch     *clockwatch.Watcher
	// Activity gives what this carrier called since the last poll.
	Activity func() []*wire.Activity
	// Breakers takes the guards' records from the primary, those that changed since it last took some, or nothing when it couldn't be reached.
	ApplyBreakers func(records []*wire.BreakerRecord, reached bool)

	pollNow host.Signal
	batcher batcher

	mu            sync.Mutex
	directory     *Directory
	snapshot      snapshot
	complete      bool // the directory is, or was once, that of a grown-up source
	updates       UpdateCounts
	heartbeat     uint64
	live          uint32 // the most carriers told of within liveCountWindow, so that parts don't grow while views differ
	liveSetAt     monotonic.Micros
	startedAt     monotonic.Micros
	leaderClock   *wire.LeaderTimestamp
	leaderClockAt monotonic.Micros
	polledAt      monotonic.Micros
	reached       bool // the last poll reached a sorter
	// of the guards' records that were last taken
	breakersSource, breakersVersion uint64
	sourceIncomplete                bool // which had only just begun to be told
}

// New makes a roll; session gives this carrier's session as it is now.
func New(h host.Host, resolver *discovery.Resolver, session func() *wire.Session, clock *clockwatch.Watcher) *Client {
	c := &Client{host: h, resolver: resolver, currentSession: session, clockWatch: clock, pollNow: h.NewSignal(), directory: buildDirectory(resource.Empty), snapshot: emptySnapshot,
		polledAt: -monotonic.Minute, startedAt: h.Now()}
	c.batcher.client = c
	return c
}

// PollNow has the session told at once, because it changed.
func (c *Client) PollNow() { c.pollNow.Fire() }

// Run polls for ever.
func (c *Client) Run() {
	for {
		started := c.host.Now()
		c.Poll()
		if remaining := c.pollDelay() - (c.host.Now() - started); remaining > 0 {
			c.pollNow.Wait(remaining)
		}
	}
}

// fastPollInterval is the cadence of polls while nobody was reached, or a sorter that has only just started is being told who is there.
const fastPollInterval = 200 * monotonic.Millisecond

// pause is how long after the start of a poll the next one starts.
func (c *Client) pollDelay() monotonic.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reached || c.sourceIncomplete {
		return fastPollInterval + monotonic.Micros(c.host.Random()%uint64(fastPollInterval/4))
	}
	return PollInterval
}

// Poll asks the primary sorter, or another one when that fails.
func (c *Client) Poll() {
	leader := c.resolver.Leader(registryGroup)
	names := c.resolver.Members(registryGroup)
	sort.SliceStable(names, func(one, other int) bool { return names[one] == leader && names[other] != leader })
	reached := false
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.reached = reached
	}()
	for _, name := range names {
		response, sentAt, err := c.pollRegistry(name)
		if err != nil {
			continue
		}
		if c.apply(response, sentAt) != nil {
			// What changed doesn't fit what is held, which is doubtful now, so the whole is asked for.
			full, fullSentAt, err := c.pollRegistry(name)
			if err != nil {
				continue
			}
			_ = c.apply(full, fullSentAt) // a whole is never refused
			response = full
		}
		reached = true
		if !response.Primary && name != c.resolver.Leader(registryGroup) && c.resolver.Leader(registryGroup) != leader {
			// The answer named another primary: ask that one in the same round.
			if secondResponse, secondSentAt, err := c.pollRegistry(c.resolver.Leader(registryGroup)); err == nil {
				_ = c.apply(secondResponse, secondSentAt) // one that doesn't fit is told whole with the next poll
				response = secondResponse
			}
		}
		if response.Primary {
			c.ApplyBreakers(response.Breakers, true)
			c.mu.Lock()
			c.breakersSource, c.breakersVersion = response.BreakersSource, response.BreakersVersion
			c.mu.Unlock()
			return
		}
		break
	}
	c.ApplyBreakers(nil, false)
	if !reached || len(names) == 0 {
		c.resolver.Refresh()
	}
}

func (c *Client) pollRegistry(name string) (*wire.RegistryPollResponse, monotonic.Micros, error) {
	session := c.currentSession()
	c.mu.Lock()
	c.heartbeat++
	session.Heartbeat = c.heartbeat
	request := &wire.RegistryPollRequest{Session: session, DirectorySource: c.snapshot.source, DirectoryVersion: c.snapshot.version, DirectoryChecksum: c.snapshot.checksum(), DirectoryComplete: c.complete,
		BreakersSource: c.breakersSource, BreakersVersion: c.breakersVersion}
	c.mu.Unlock()
	request.Activity = c.Activity()
	sentAt := c.host.Now()
	response := &wire.RegistryPollResponse{}
	return response, sentAt, c.resolver.Call(name, wire.Kind_registry_poll, request, response, 600*monotonic.Millisecond)
}

// take takes an answer in. An error is told if the directory's changes in it were refused; the rest of it is taken all the same.
func (c *Client) apply(response *wire.RegistryPollResponse, sentAt monotonic.Micros) error {
	c.resolver.ObservePrimaries(response.Primaries)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.host.Now()
	c.polledAt = now
	if response.Proxies >= c.live || now-c.liveSetAt >= liveCountWindow {
		c.live, c.liveSetAt = response.Proxies, now
	}
	if response.Primary {
		if c.leaderClock == nil || response.Epoch >= c.leaderClock.Epoch {
			c.leaderClock, c.leaderClockAt = &wire.LeaderTimestamp{Epoch: response.Epoch, Time: response.LeaderClock}, now
		}
	}
	// A sorter that has only just begun to be told may not know all; who is known stays known until it does.
	incomplete := response.DirectoryAge > 0 && monotonic.Micros(response.DirectoryAge) < completeDirectoryAge
	c.sourceIncomplete = incomplete
	other := response.DirectorySource != c.snapshot.source
	if !other && !incomplete {
		c.complete = true
	}
	if response.DirectoryUnchanged || other && incomplete && c.complete || c.snapshot.isStale(response) {
		return nil
	}
	next, err := c.snapshot.next(response)
	if err != nil {
		c.updates.Rejected++
		c.snapshot.invalidate()
		c.host.Report(eventlog.DirectoryUpdateRejected, map[string]any{"serial": response.DirectoryVersion, "have": c.snapshot.version, "error": err.Error()})
		return err
	}
	c.complete = !incomplete
	c.snapshot = next
	c.directory = buildDirectory(next.set)
	if response.DirectoryIsDelta {
		c.updates.Deltas++
	} else {
		c.updates.Snapshots++
	}
	return nil
}

// UpdateCounts is how the directory came, in numbers of answers.
type UpdateCounts struct {
	Deltas    uint64 `json:"changes"`
	Snapshots uint64 `json:"wholes"`
	Rejected  uint64 `json:"refused"`
}

// UpdateCounts tells how the directory came.
func (c *Client) UpdateCounts() UpdateCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.updates
}

// SkipDigestChecks has changes applied onto whatever is held and whatever comes of it, for showing that checkers see it.
func (c *Client) SkipDigestChecks(unchecked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot.skipChecks = unchecked
}

// NewDirectory is the directory that has these sessions.
func NewDirectory(sessions []*wire.Session) *Directory {
	full := fullSnapshot(sessions)
	return buildDirectory(full.set)
}

// Version names the directory that's held: the life of the sorter that told it, and that life's serial.
func (c *Client) Version() (source, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot.source, c.snapshot.version
}

func buildDirectory(set *resource.Set) *Directory {
	directory := &Directory{Candidates: map[string][]Candidate{}, ProxiesByDomain: map[string]int{}, Addresses: map[string]string{}}
	for _, one := range set.All() {
		session := one.Message.(*wire.Session)
		directory.Addresses[session.Proxy] = session.Address
		if session.Leaving {
			continue
		}
		directory.ProxiesByDomain[session.Domain]++
		directory.Live++
		for _, backend := range session.Backends {
			if backend.Condition != "alive" && backend.Condition != "working" {
				continue
			}
			directory.Candidates[backend.Service] = append(directory.Candidates[backend.Service], Candidate{Proxy: session.Proxy,
				Incarnation: session.Incarnation, Address: session.Address, Domain: session.Domain, Service: backend.Service, Instance: backend.Instance,
				Slots: backend.Slots, Warming: backend.SlowStart > 0})
		}
	}
	for _, candidates := range directory.Candidates {
		sort.Slice(candidates, func(one, other int) bool { return candidates[one].less(&candidates[other]) })
	}
	return directory
}

// Directory is the newest view of who is there.
func (c *Client) Directory() *Directory {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory
}

// ObserveLeaderClock takes a moment of holder time that has passed, as an answer of the holder tells it.
func (c *Client) ObserveLeaderClock(observed *wire.LeaderTimestamp) {
	if observed == nil {
		return
	}
	present := c.LeaderClock()
	if observed.Epoch < present.Epoch || observed.Epoch == present.Epoch && observed.Time <= present.Time {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderClock, c.leaderClockAt = proto.Clone(observed).(*wire.LeaderTimestamp), c.host.Now()
}

// Registered tells whether this carrier's session stands, as far as it can know.
func (c *Client) Registered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.host.Now()-c.polledAt < 3*monotonic.Second
}

// HasDirectory tells whether a sorter has ever shown this carrier who is there.
func (c *Client) HasDirectory() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot.source != 0
}

// QuotaShare is this carrier's part of an allowance for the whole mesh: nothing before it was told how many share it, nor
// while an earlier life's part may still count.
func (c *Client) QuotaShare(allowance uint32) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.live == 0 || c.host.Now()-c.polledAt >= liveCountWindow || c.host.Now()-c.startedAt < liveCountWindow {
		return 0
	}
	return float64(allowance) / float64(c.live)
}

// drift is the part of the time since the holder's moment was told that isn't counted: this clock may run faster than
// the holder's, and a moment that has not come yet would pass a fence.
const clockDriftDivisor = 1000

// ForgetLeaderClock forgets the holder's moment: how much has passed since it was told isn't known.
func (c *Client) ForgetLeaderClock() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderClock = nil
}

// LeaderClock is a moment of holder time that has certainly passed.
func (c *Client) LeaderClock() *wire.LeaderTimestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderClock == nil || !c.clockWatch.Steady() {
		return &wire.LeaderTimestamp{} // behind every fence
	}
	clock := proto.Clone(c.leaderClock).(*wire.LeaderTimestamp)
	since := c.host.Now() - c.leaderClockAt
	clock.Time += int64(since - since/clockDriftDivisor)
	return clock
}

const (
	// leaderCheckDelay is how long an ask waits at a primary before others are asked who leads: well above what an answer takes.
	leaderCheckDelay = 100 * monotonic.Millisecond
	// leaderCheckInterval is how often it's seen then whether another one leads.
	leaderCheckInterval = 50 * monotonic.Millisecond
)

// callWhileLeading asks a primary until patience ends, or another is known to lead: one that is gone says nothing.
func (c *Client) callWhileLeading(name string, kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error {
	var lock sync.Mutex
	var err error
	ended, over, reply := c.host.NewSignal(), false, response.ProtoReflect().New().Interface()
	deadline := c.host.Now() + timeout
	c.host.Go(func() {
		failed := c.resolver.Call(name, kind, request, reply, timeout)
		lock.Lock()
		err, over = failed, true
		lock.Unlock()
		ended.Fire()
	})
	for delay := leaderCheckDelay; ; delay = leaderCheckInterval {
		ended.Wait(min(delay, max(deadline-c.host.Now(), 0)+monotonic.Millisecond))
		lock.Lock()
		done, failed := over, err
		lock.Unlock()
		switch {
		case done && failed == nil:
			proto.Merge(response, reply)
			return nil
		case done:
			return failed
		case name != c.resolver.Leader(registryGroup):
			return apierror.Lost.New("%s doesn't lead any more", name)
		}
		c.host.Go(c.resolver.Refresh)
	}
}

// CallPrimary asks the primary sorter, again after a failover, until patience ends. Only asks that may be repeated
// go this way. An error that is not lost tells that no primary took the ask.
func (c *Client) CallPrimary(kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error {
	if _, found := batchedKinds[kind]; found {
		return c.batcher.call(kind, request, response, timeout)
	}
	deadline := c.host.Now() + timeout
	lastErr, mayBeTaken := error(nil), false
	for delay := firstRetryDelay; ; delay = nextRetryDelay {
		remaining := deadline - c.host.Now()
		if remaining <= 0 {
			switch {
			case mayBeTaken && !apierror.IsLost(lastErr):
				return apierror.Lost.New("no answer of a primary sorter in time")
			case lastErr == nil:
				return apierror.Unreachable.New("no primary sorter is known") // made here alone: an error carries its stack, which costs
			}
			return lastErr
		}
		name := c.resolver.Leader(registryGroup)
		if name != "" {
			if lastErr = c.callWhileLeading(name, kind, request, response, min(remaining, messageTimeout)); lastErr == nil {
				return nil
			}
			mayBeTaken = mayBeTaken || apierror.IsLost(lastErr)
			if name != c.resolver.Leader(registryGroup) {
				continue
			}
		}
		c.host.Go(c.resolver.Refresh) // whom it asks may be gone too, and isn't waited for
		c.host.Sleep(min(delay, max(deadline-c.host.Now(), 0)))
	}
}
