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
	// minRetryDelay is the least time before a failed poll is repeated. A random time of up to the same length is added.
	minRetryDelay = 100 * monotonic.Millisecond
	// pingTimeout is how long a configuration store that wasn't reached may take to answer a ping.
	pingTimeout = 500 * monotonic.Millisecond
	// transferTimeout is what the response to a poll may take beyond the time the poll stays open: a long content on a slow link.
	transferTimeout = 1500 * monotonic.Millisecond
	// minLongPoll is the least time that the client allows a poll to stay open, whatever the primary's last response set.
	minLongPoll = monotonic.Second
)

var errTooLong = errors.New("configclient: the content exceeds the limit of configurations")

// Run polls until the process ends. Each adoption is reported by the next poll, which is sent at once.
func (c *Client) Run() {
	first := true
	for {
		if c.poll(first) {
			first = false
			continue
		}
		first = true
		c.host.Sleep(minRetryDelay + monotonic.Micros(c.host.Random()%uint64(minRetryDelay)))
		c.reportLapse()
		c.reportKeyLapse()
	}
}

// poll sends one poll and adopts the version in its response. First is set for the first poll after a failed one, whose response
// doesn't wait for a newer version. It returns false if no primary has responded or the response can't be used.
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

// confirmedVersion returns the adopted version, zero if there is none or it is unconfirmed: the primary then sends its own version.
func (c *Client) confirmedVersion() uint64 {
	if c.unconfirmedSince > 0 {
		return 0
	}
	version, _ := c.Version()
	return version
}

// adoptUnconfirmed adopts the version of a configuration store that isn't the primary, without a lease. It does so only with
// ServeStale, if the version is newer than the adopted one and no version of a primary has been adopted.
func (c *Client) adoptUnconfirmed(response *wire.ConfigPollResponse) {
	version, _ := c.Version()
	if c.options.ServeStale && c.confirmedVersion() == 0 && response.Version > version {
		c.adopt(response, 0)
	}
}

// pollRequest returns a poll that names the version to which the response is to be a difference, zero to get the full content.
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

// pollTimeout returns the timeout of a poll: the time for which the primary may leave it open, and the time of the transfer.
func (c *Client) pollTimeout() monotonic.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.longPoll, minLongPoll) + transferTimeout
}

// pollTarget returns the configuration store to poll, empty if none is known. That is the primary. While the proxy has no version
// of a primary and may serve stale, every second poll goes to the next of all configuration stores instead.
func (c *Client) pollTarget(current uint64) string {
	leader := c.resolver.PrimaryName(discovery.ConfigStoreGroup)
	if current > 0 || !c.options.ServeStale {
		return leader
	}
	c.emptyPolls++
	if leader != "" && c.emptyPolls%2 == 1 {
		return leader
	}
	if members := c.resolver.Members(discovery.ConfigStoreGroup); len(members) > 0 {
		return members[c.emptyPolls/2%len(members)]
	}
	return leader
}

// ping reports whether a configuration store responds. It's sent before the first poll after a failed one, because the timeout of a
// poll allows for the transfer of a long content: without the ping, a proxy that was partitioned would wait that long for a store
// that is still unreachable.
func (c *Client) ping(target string) bool {
	response := &wire.DiscoverResponse{}
	if c.resolver.Call(target, wire.Kind_discover, &wire.DiscoverRequest{}, response, pingTimeout) != nil {
		return false
	}
	c.resolver.ObservePrimaries(response.Primaries)
	return true
}

// decompress replaces a compressed content by the plain one. No content is longer than the configuration stores accept.
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
