package session

import (
	"slices"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
)

// announcements counts the polls, each of which announces this proxy's session to the registry, so that callers can wait until a
// change of the session is announced. Client.mu guards it.
type announcements struct {
	started  uint64        // number of the last poll, assigned before its session was read
	answered uint64        // highest number of a poll that a server responded to
	waiters  []host.Signal // fired on each response
}

// AwaitAnnounced polls the registry and waits until it has received the present state of this proxy's session, or until the timeout.
// It reports whether the registry has received it.
func (c *Client) AwaitAnnounced(timeout monotonic.Micros) bool {
	answered := c.host.NewSignal()
	last := c.addWaiter(answered)
	defer c.removeWaiter(answered)
	c.PollNow()
	deadline := c.host.Now() + timeout
	for !c.announcedAfter(last) {
		remaining := deadline - c.host.Now()
		if remaining <= 0 {
			return false
		}
		answered.Wait(remaining)
	}
	return true
}

// addWaiter adds a signal that is fired on each response. It returns the number of the last poll so far, whose session may be out of
// date.
func (c *Client) addWaiter(answered host.Signal) (last uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced.waiters = append(c.announced.waiters, answered)
	return c.announced.started
}

func (c *Client) removeWaiter(answered host.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced.waiters = slices.DeleteFunc(c.announced.waiters, func(other host.Signal) bool { return other == answered })
}

// announcedAfter reports whether a server responded to a later poll than the given one.
func (c *Client) announcedAfter(number uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.announced.answered > number
}

// beginAnnouncement returns the number of a new poll. It is called before the session is read.
func (c *Client) beginAnnouncement() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced.started++
	return c.announced.started
}

// endAnnouncement records the response to a poll and fires the waiters.
func (c *Client) endAnnouncement(number uint64) {
	c.mu.Lock()
	c.announced.answered = max(c.announced.answered, number)
	waiters := slices.Clone(c.announced.waiters)
	c.mu.Unlock()
	for _, waiter := range waiters {
		waiter.Fire()
	}
}
