package session

import (
	"slices"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
)

// announcements counts the polls, each of which announces this proxy's session, so that a change of the session can be waited for.
// Client.mu guards it.
type announcements struct {
	begun    uint64        // number of the last poll, counted before its session was composed
	answered uint64        // highest number of a poll that was answered
	waiters  []host.Signal // fired with each answer
}

// AwaitAnnounced polls the registry and returns once it knows this proxy's session as it is now, or after the timeout. It reports
// whether the registry does.
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

// addWaiter adds a signal that fires with each answer, and returns the number of the last poll so far: its session may be out of date.
func (c *Client) addWaiter(answered host.Signal) (last uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced.waiters = append(c.announced.waiters, answered)
	return c.announced.begun
}

func (c *Client) removeWaiter(answered host.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced.waiters = slices.DeleteFunc(c.announced.waiters, func(other host.Signal) bool { return other == answered })
}

// announcedAfter reports whether a poll after the given one was answered.
func (c *Client) announcedAfter(number uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.announced.answered > number
}

// beginAnnouncement returns the number of a poll whose session is about to be composed.
func (c *Client) beginAnnouncement() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced.begun++
	return c.announced.begun
}

// endAnnouncement records that a poll was answered.
func (c *Client) endAnnouncement(number uint64) {
	c.mu.Lock()
	c.announced.answered = max(c.announced.answered, number)
	waiters := slices.Clone(c.announced.waiters)
	c.mu.Unlock()
	for _, waiter := range waiters {
		waiter.Fire()
	}
}
