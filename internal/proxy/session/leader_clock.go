package session

import (
	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
)

// clockDriftDivisor is the reciprocal of the largest clock drift allowed for: this process's clock may run faster than the
// leader's by 1/clockDriftDivisor. The bound excludes that part of the time since the last observation, because a bound ahead of
// the leader's clock would pass a fence that is set later.
const clockDriftDivisor = 1000

// LeaderClock returns a lower bound of the registry leader's clock: a timestamp that it has certainly reached. It is the zero
// timestamp, which is before every fence, if no time is known or while this process's clock can't be trusted.
func (c *Client) LeaderClock() *wire.LeaderTimestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderClock == nil || !c.clockWatch.Steady() {
		return &wire.LeaderTimestamp{}
	}
	clock := proto.CloneOf(c.leaderClock)
	since := c.host.Now() - c.leaderClockAt
	clock.Time += int64(since - since/clockDriftDivisor)
	return clock
}

// ObserveLeaderClock raises the bound to a time that the leader's clock has reached according to a response. Nil and times below
// the bound have no effect.
func (c *Client) ObserveLeaderClock(observed *wire.LeaderTimestamp) {
	if observed == nil {
		return
	}
	known := c.LeaderClock()
	if observed.Epoch < known.Epoch || observed.Epoch == known.Epoch && observed.Time <= known.Time {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderClock, c.leaderClockAt = proto.CloneOf(observed), c.host.Now()
}

// ForgetLeaderClock drops the bound until the next response of the leader. It is called after a jump of this process's
// clock, when the time since the last observation is unknown.
func (c *Client) ForgetLeaderClock() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderClock = nil
}
