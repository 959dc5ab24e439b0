package session

import (
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// PollNow starts the next poll at once, to announce a change of this proxy's session to the registry.
func (c *Client) PollNow() { c.pollNow.Fire() }

// Run polls the registry until the process ends.
func (c *Client) Run() {
	for {
		started := c.host.Now()
		c.Poll()
		if remaining := c.pollDelay() - (c.host.Now() - started); remaining > 0 {
			c.pollNow.Wait(remaining)
		}
	}
}

// pollDelay returns the time from the start of the last poll to the start of the next one. Fast polls have a random jitter of up to
// a quarter of the interval, so that proxies that lost the same server don't all poll the next one at once.
func (c *Client) pollDelay() monotonic.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lastPollAnswered || c.sourceIncomplete {
		return fastPollInterval + monotonic.Micros(c.host.Random()%uint64(fastPollInterval/4))
	}
	return PollInterval
}

// Poll sends one heartbeat to the registry's leader, or to another server if the leader does not respond, and applies the
// response. Only the leader's response contains breaker records.
func (c *Client) Poll() {
	response := c.pollFirstReachable()
	if response.GetPrimary() {
		c.ApplyBreakers(response.Breakers, true)
	} else {
		c.ApplyBreakers(nil, false)
	}
	if response == nil {
		c.resolver.Refresh()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastPollAnswered = response != nil
	if response.GetPrimary() {
		c.breakersSource, c.breakersVersion = response.BreakersSource, response.BreakersVersion
	}
}

// pollFirstReachable polls the servers, the leader first, until one responds, and returns its response, nil if none did. If the
// response names another leader, that leader is polled too, and its response is returned instead if there is one.
func (c *Client) pollFirstReachable() *wire.RegistryPollResponse {
	leader := c.resolver.PrimaryName(registryGroup)
	names := c.resolver.Members(registryGroup)
	if at := slices.Index(names, leader); at > 0 {
		copy(names[1:at+1], names[:at])
		names[0] = leader
	}
	for _, name := range names {
		response := c.pollAndApply(name)
		if response == nil {
			continue
		}
		next := c.resolver.PrimaryName(registryGroup)
		if response.Primary || next == name || next == leader {
			return response
		}
		if fromLeader, err := c.pollServer(next); err == nil {
			_ = c.apply(fromLeader) // after a rejected delta the next poll returns the complete directory
			return fromLeader
		}
		return response
	}
	return nil
}

// pollAndApply polls one server and applies its response. If the delta in the response is rejected, it polls the server again for
// the complete directory. It returns nil if a poll fails.
func (c *Client) pollAndApply(name string) *wire.RegistryPollResponse {
	response, err := c.pollServer(name)
	if err != nil {
		return nil
	}
	if c.apply(response) == nil {
		return response
	}
	response, err = c.pollServer(name)
	if err != nil {
		return nil
	}
	_ = c.apply(response) // a complete directory is never rejected
	return response
}

// pollServer sends one poll to one server.
func (c *Client) pollServer(name string) (*wire.RegistryPollResponse, error) {
	announcement := c.beginAnnouncement()
	session := c.currentSession()
	c.mu.Lock()
	c.heartbeat++
	session.Heartbeat = c.heartbeat
	request := &wire.RegistryPollRequest{
		Session:           session,
		DirectorySource:   c.snapshot.source,
		DirectoryVersion:  c.snapshot.version,
		DirectoryChecksum: c.snapshot.checksum(),
		DirectoryComplete: c.directoryComplete,
		BreakersSource:    c.breakersSource,
		BreakersVersion:   c.breakersVersion,
	}
	c.mu.Unlock()
	request.Activity = c.Activity()
	response := &wire.RegistryPollResponse{}
	if err := c.resolver.Call(name, wire.Kind_registry_poll, request, response, pollTimeout); err != nil {
		return nil, err
	}
	c.endAnnouncement(announcement)
	return response, nil
}

// apply applies a response to a poll. It returns an error if the directory delta in it was rejected; the rest of the response is
// applied nevertheless.
func (c *Client) apply(response *wire.RegistryPollResponse) error {
	c.resolver.ObservePrimaries(response.Primaries)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.host.Now()
	c.polledAt = now
	if response.Proxies >= c.liveProxies || now-c.liveProxiesAt >= liveCountWindow {
		c.liveProxies, c.liveProxiesAt = response.Proxies, now
	}
	if response.Primary && (c.leaderClock == nil || response.Epoch >= c.leaderClock.Epoch) {
		c.leaderClock, c.leaderClockAt = &wire.LeaderTimestamp{Epoch: response.Epoch, Time: response.LeaderClock}, now
	}
	return c.applyDirectory(response)
}

// applyDirectory applies the directory in a response, unless it is older or less complete than the current one. mu must be held.
func (c *Client) applyDirectory(response *wire.RegistryPollResponse) error {
	c.sourceIncomplete = response.DirectoryAge > 0 && monotonic.Micros(response.DirectoryAge) < completeDirectoryAge
	otherSource := response.DirectorySource != c.snapshot.source
	if !otherSource && !c.sourceIncomplete {
		c.directoryComplete = true
	}
	lessComplete := otherSource && c.sourceIncomplete && c.directoryComplete
	if response.DirectoryUnchanged || lessComplete || c.snapshot.isStale(response) {
		return nil
	}
	next, err := c.snapshot.next(response)
	if err != nil {
		c.updates.Rejected++
		c.snapshot.invalidate()
		c.host.Report(eventlog.DirectoryUpdateRejected, eventlog.Attributes{
			"serial": response.DirectoryVersion,
			"have":   c.snapshot.version,
			"error":  err.Error(),
		})
		return err
	}
	c.directoryComplete = !c.sourceIncomplete
	c.snapshot = next
	c.directory = buildDirectory(next.set)
	if response.DirectoryIsDelta {
		c.updates.Deltas++
	} else {
		c.updates.Snapshots++
	}
	return nil
}
