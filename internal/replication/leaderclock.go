package replication

import (
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/transport/wire"
)

const (
	// clockSyncInterval is how long a primary may run without a confirmation of the leader clock by its backups. It is less than
	// maxClockLead, the lead that a backup accepts without objection.
	clockSyncInterval = 700 * monotonic.Millisecond
	// maxClockLead is how far the leader clock may be ahead of a backup's estimate, because clocks differ in rate and messages
	// take time.
	maxClockLead = monotonic.Second
	// clockDriftDivisor allows a backup's clock to be slow by one hundredth.
	clockDriftDivisor = 100
)

// primaryClock is the leader clock at the primary. The zero value reads the same as the local clock.
type primaryClock struct {
	// base is the leader clock when the local clock read baseAt.
	base, baseAt monotonic.Micros
	// confirmedAt is the local time at which every backup had last accepted the leader clock.
	confirmedAt monotonic.Micros
}

// at returns the leader clock at a local time.
func (c primaryClock) at(now monotonic.Micros) monotonic.Micros {
	return c.base + now - c.baseAt
}

// confirmed returns a time that the leader clock has certainly reached: at most clockSyncInterval after the leader clock that
// every backup last confirmed.
func (c primaryClock) confirmed(now monotonic.Micros) monotonic.Micros {
	return min(c.at(now), c.at(c.confirmedAt)+clockSyncInterval)
}

// clockBound is a backup's bound on the leader clock.
//
// Invariant: when it is set, estimate is not above the leader clock just accepted. From then on the backup adds the time elapsed on
// its own clock, with an allowance for drift.
type clockBound struct {
	// at is the local time at which estimate was set.
	at, estimate monotonic.Micros
}

// now returns the backup's estimate of the leader clock at a local time.
func (c clockBound) now(now monotonic.Micros) monotonic.Micros {
	elapsed := max(now-c.at, 0)
	return c.estimate + elapsed + elapsed/clockDriftDivisor
}

// limit returns the highest leader clock that the backup accepts. An estimate exists, because a primary installs its state at the
// backup before it sends entries.
func (c clockBound) limit(now monotonic.Micros) monotonic.Micros {
	return c.now(now) + maxClockLead
}

// accept updates the estimate with a leader clock that the backup has accepted.
func (c *clockBound) accept(now, clock monotonic.Micros) {
	c.at, c.estimate = now, min(clock, c.now(now))
}

// confirmClock asks the backups to confirm the leader clock if that is due or if the local clock went backwards: the local clock
// may have jumped, and its reading alone must not let a timer of the state machine expire. It returns the state with the clock that
// the backups agree on. If a backup doesn't answer or rejects the request for another reason, the state is returned unchanged: the
// next batch will reveal the problem, and a backup rejects a clock that it can't confirm.
func (m *Member) confirmClock(state leadership) leadership {
	since := m.host.Now() - state.clock.confirmedAt
	if since >= 0 && since < clockSyncInterval || m.config.UnverifiedClock {
		return state
	}
	request := &wire.ReplicateRequest{From: m.self(), Epoch: state.epoch}
	m.replicaExecutor.Run(func() {
		request.PreviousEpoch, request.PreviousSequence = m.replica.epoch, m.replica.sequence
		request.LeaderClock = int64(max(m.replica.leaderClock, state.clock.at(m.host.Now())))
	})
	proposed := monotonic.Micros(request.LeaderClock)
	agreed, confirmed := m.requestClock(state.backups, request)
	if !confirmed {
		return state
	}
	if agreed < proposed {
		m.replicaExecutor.Run(func() { agreed = max(m.replica.leaderClock, agreed) })
		m.host.Report(eventlog.LeaderClockBounded, eventlog.Attributes{"group": m.config.Group, "micros": int64(proposed - agreed)})
	}
	state.clock = primaryClock{base: agreed, baseAt: m.host.Now(), confirmedAt: m.host.Now()}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leadership.epoch == state.epoch {
		m.leadership.clock = state.clock
	}
	return state
}

// requestClock sends a request without entries to every backup. It returns the minimum of the request's leader clock and
// the limits of the backups that reject it as too far ahead. confirmed is false if a backup doesn't answer or rejects the request
// for another reason.
func (m *Member) requestClock(backups []*wire.MemberID, request *wire.ReplicateRequest) (agreed monotonic.Micros, confirmed bool) {
	responses := gather(m, consensus.MemberNames(backups), m.config.CallTimeout, func(name string) (*wire.ReplicateResponse, error) {
		backup := backups[slices.IndexFunc(backups, func(backup *wire.MemberID) bool { return backup.Name == name })]
		response := &wire.ReplicateResponse{}
		return response, m.call(name, wire.Kind_replicate, addressedTo(backup, request), response)
	}, nil)
	agreed = monotonic.Micros(request.LeaderClock)
	for _, backup := range backups {
		response := responses[backup.Name]
		if response == nil || !response.Stored && response.Reason != reasonClockAhead {
			return 0, false
		}
		if !response.Stored {
			agreed = min(agreed, monotonic.Micros(response.LeaderClock))
		}
	}
	return agreed, true
}
