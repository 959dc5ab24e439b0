package configclient

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"snowflow/internal/config"
	"snowflow/internal/discovery"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const (
	// minRetryDelay is the minimum delay before a failed poll is retried. A random jitter of up to the same length is added.
	minRetryDelay = 100 * monotonic.Millisecond
	// pingTimeout is how long a configuration store may take to respond to a ping, which is sent after a failed poll.
	pingTimeout = 500 * monotonic.Millisecond
	// transferTimeout is added to the time for which a poll stays open, to allow for the transfer of long content on a slow link.
	transferTimeout = 1500 * monotonic.Millisecond
	// minLongPoll is the minimum time for which the client lets a poll stay open, even if the primary's last response set a shorter one.
	minLongPoll = monotonic.Second
)

var errTooLong = errors.New("configclient: the content exceeds the size limit of configurations")

// Run polls until the process ends. The next poll after an adoption is sent at once, to report the adopted version.
func (c *Client) Run() {
	first := true
	for {
		if c.poll(first) {
			first = false
			continue
		}
		first = true
		c.host.Sleep(minRetryDelay + monotonic.Micros(c.host.Random()%uint64(minRetryDelay)))
		c.reportLeaseExpiry()
		c.reportKeyLeaseExpiry()
	}
}

// poll sends one poll and adopts the version in its response. first is set for the first poll of the process and the first after a
// failed one, to which the store responds without waiting for a newer version. It returns false if no primary responded or the
// response is unusable.
func (c *Client) poll(first bool) bool {
	current := c.confirmedVersion()
	target := c.pollTarget(current)
	if target == "" || first && current > 0 && !c.ping(target) {
		c.resolver.Refresh()
		return false
	}
	timeout := c.pollTimeout()
	requestedAt := c.host.Now()
	response := c.callPending(target, c.pollRequest(current, first), timeout)
	if response == nil {
		c.resolver.Refresh()
		return false
	}
	c.resolver.ObservePrimaries(response.Primaries)
	if err := decompress(response); err != nil {
		c.host.Report(eventlog.ConfigRejected, eventlog.Attributes{"serial": response.Version, "error": err.Error()})
		return false
	}
	if !response.Primary {
		c.adoptUnconfirmed(response)
		c.resolver.Refresh()
		return false
	}
	return c.adopt(response, requestedAt)
}

// confirmedVersion returns the adopted version, zero if there is none or it is unconfirmed. Zero makes the primary send its version.
func (c *Client) confirmedVersion() uint64 {
	if c.unconfirmedSince > 0 {
		return 0
	}
	version, _ := c.Version()
	return version
}

// adoptUnconfirmed adopts the version of a configuration store that isn't the primary, without a lease. It requires ServeStale, that
// no version of a primary has been adopted, and that the version is newer than the adopted one.
func (c *Client) adoptUnconfirmed(response *wire.ConfigPollResponse) {
	version, _ := c.Version()
	if c.options.ServeStale && c.confirmedVersion() == 0 && response.Version > version {
		c.adopt(response, 0)
	}
}

// pollRequest returns a poll. current is the version from which the response may be a difference; zero requests the full content.
func (c *Client) pollRequest(current uint64, first bool) *wire.ConfigPollRequest {
	request := &wire.ConfigPollRequest{
		Proxy:             c.options.Proxy,
		Incarnation:       c.options.Incarnation,
		CurrentVersion:    current,
		First:             first,
		Full:              c.requestFull,
		AcceptsCompressed: true,
	}
	if c.resources != nil && current > 0 {
		request.Digest = c.resources.Digest()
	}
	return request
}

// pollTimeout returns the timeout of a poll: the time for which the primary may keep it open plus transferTimeout.
func (c *Client) pollTimeout() monotonic.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.longPoll, minLongPoll) + transferTimeout
}

// pollTarget returns the configuration store to poll, empty if none is known: usually the primary. If ServeStale is set and no version
// of a primary has been adopted, every second poll goes to one of all configuration stores in turn instead.
func (c *Client) pollTarget(current uint64) string {
	primary := c.resolver.PrimaryName(discovery.ConfigStoreGroup)
	if current > 0 || !c.options.ServeStale {
		return primary
	}
	c.pollsWithoutVersion++
	if primary != "" && c.pollsWithoutVersion%2 == 1 {
		return primary
	}
	if members := c.resolver.Members(discovery.ConfigStoreGroup); len(members) > 0 {
		return members[c.pollsWithoutVersion/2%len(members)]
	}
	return primary
}

// ping reports whether a configuration store responds. The client sends it before the first poll after a failed one: without it, a
// partitioned proxy would wait for a store that is still unreachable until the timeout of a poll, which allows for the transfer of
// long content.
func (c *Client) ping(target string) bool {
	response := &wire.DiscoverResponse{}
	if c.resolver.Call(target, wire.Kind_discover, &wire.DiscoverRequest{}, response, pingTimeout) != nil {
		return false
	}
	c.resolver.ObservePrimaries(response.Primaries)
	return true
}

// decompress decompresses the content of a response. It fails if the content is longer than configuration stores accept.
func decompress(response *wire.ConfigPollResponse) error {
	if len(response.Compressed) == 0 {
		return nil
	}
	reader := flate.NewReader(bytes.NewReader(response.Compressed))
	content, err := io.ReadAll(io.LimitReader(reader, config.MaxContentSize+1))
	if err == nil && len(content) > config.MaxContentSize {
		err = errTooLong
	}
	response.Content, response.Compressed = content, nil
	return err
}
