package configclient

import (
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// SupersededCheckInterval is how often AbandonSuperseded is to be called.
const SupersededCheckInterval = 200 * monotonic.Millisecond

// pendingPoll is a poll whose response hasn't come yet. Client.mu guards it.
type pendingPoll struct {
	target   string // empty if no poll is pending
	finished host.Signal
}

// callPending sends a poll and waits for its response, or until the poll is abandoned. The response is nil then, and after an error.
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

// pollResult is what a poll gives. Client.mu guards it.
type pollResult struct{ response *wire.ConfigPollResponse }

func (c *Client) setPending(pending pendingPoll) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = pending
}

// AbandonSuperseded ends a poll that waits for another process than the primary known by now: one that was cut off answers only after
// the poll's timeout, which allows for the transfer of a long content. It must be called regularly, and doesn't block.
func (c *Client) AbandonSuperseded() {
	leader := c.resolver.PrimaryName(discovery.ConfigStoreGroup)
	c.mu.Lock()
	pending := c.pending
	c.mu.Unlock()
	if pending.target != "" && leader != "" && leader != pending.target && c.hasVersion() {
		pending.finished.Fire()
	}
}

// hasVersion reports whether a version of a primary has been adopted. Before, polls go to other processes too.
func (c *Client) hasVersion() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot != nil && c.unconfirmedSince == 0
}
