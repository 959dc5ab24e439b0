package configclient

import (
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// SupersededCheckInterval is the interval at which AbandonSuperseded should be called.
const SupersededCheckInterval = 200 * monotonic.Millisecond

// pendingPoll is a poll that waits for its response. Client.mu guards it.
type pendingPoll struct {
	target   string // empty if no poll is pending
	finished host.Signal
}

// callPending sends a poll and waits until it is answered or abandoned. It returns nil if the poll was abandoned or failed.
func (c *Client) callPending(target string, request *wire.ConfigPollRequest, timeout monotonic.Micros) *wire.ConfigPollResponse {
	finished := c.host.NewSignal()
	c.setPending(pendingPoll{target: target, finished: finished})
	defer c.setPending(pendingPoll{})
	received := &pollResult{}
	c.host.Go(func() {
		response := &wire.ConfigPollResponse{}
		err := c.resolver.Call(target, wire.Kind_config_poll, request, response, timeout)
		if err == nil {
			c.mu.Lock()
			received.response = response
			c.mu.Unlock()
		}
		finished.Fire()
	})
	finished.Wait(timeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	return received.response
}

// pollResult holds the response to a poll, nil if there is none. Client.mu guards it.
type pollResult struct{ response *wire.ConfigPollResponse }

func (c *Client) setPending(pending pendingPoll) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = pending
}

// AbandonSuperseded ends the pending poll if it was sent to a store other than the currently known primary. Otherwise the client
// would wait for a store that is cut off until the poll's timeout, which allows for the transfer of long content. It must be called
// regularly and doesn't block.
func (c *Client) AbandonSuperseded() {
	primary := c.resolver.PrimaryName(discovery.ConfigStoreGroup)
	c.mu.Lock()
	pending := c.pending
	c.mu.Unlock()
	if pending.target != "" && primary != "" && primary != pending.target && c.hasConfirmedVersion() {
		pending.finished.Fire()
	}
}

// hasConfirmedVersion reports whether a version of a primary has been adopted. Until then, polls go to other stores too.
func (c *Client) hasConfirmedVersion() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot != nil && c.unconfirmedSince == 0
}
