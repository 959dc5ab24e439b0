package replication

import (
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const (
	// tickInterval is how often an empty command (a tick) is committed while the state machine has timers.
	tickInterval = monotonic.Second
	// maxFailures is the number of consecutive failed heartbeats after which a backup is replaced.
	maxFailures = 3
)

// wakeCommits wakes the commit loop without a command.
func (m *Member) wakeCommits() { m.writes.Put(nil) }

// commitTimes holds when the commit loop last did each of its periodic tasks. Only that loop uses it.
type commitTimes struct {
	// tick is when an empty command was last committed, and batch when any batch was last sent to the backups.
	tick, batch monotonic.Micros
	// slowDiskAction is when this primary last acted on a slow disk, and addBackups when it last looked for more backups.
	slowDiskAction, addBackups monotonic.Micros
}

// runCommits is the commit loop, which runs until the process ends. At a primary it establishes backups, commits batches of
// commands, sends the backups heartbeats and replaces those that are lost. At other members it rejects commands.
func (m *Member) runCommits() {
	wait := m.config.ElectionInterval
	for {
		batch := slices.DeleteFunc(m.writes.TakeAll(wait), func(w *writeRequest) bool { return w == nil })
		wait = m.commitStep(batch)
	}
}

// commitStep does what is due, and returns the time until the next step is due at the latest.
func (m *Member) commitStep(batch []*writeRequest) (due monotonic.Micros) {
	now := m.host.Now()
	state := m.currentLeadership()
	if state.epoch == 0 || now >= state.leaseUntil {
		completeWrites(batch, ErrNotPrimary)
		return m.config.renewInterval()
	}
	if !state.serving {
		completeWrites(batch, ErrNotPrimary)
		m.establishBackups(nil)
		return m.config.ElectionInterval
	}
	// Half a renewal interval of tolerance, because three renewals may take slightly less than the tick interval.
	if len(batch) == 0 && now-m.commitTimes.tick >= tickInterval-m.config.renewInterval()/2 && m.hasTimers() {
		m.commitTimes.tick = now
		batch = []*writeRequest{{done: m.host.NewSignal()}}
	}
	if since := now - m.commitTimes.batch; len(batch) == 0 && since >= 0 && since < m.config.renewInterval() {
		m.replaceLeavingBackups()
		return m.config.renewInterval() - since // the backups need no heartbeat: they have received a batch within the interval
	}
	m.commitTimes.batch = now
	m.commit(state, batch)
	m.replaceLeavingBackups()
	m.addBackups()
	return m.config.renewInterval()
}

func (m *Member) hasTimers() bool {
	m.replica.mu.Lock()
	defer m.replica.mu.Unlock()
	return m.replica.stateMachine.HasTimers()
}

// commit replicates a batch of commands to every replica and applies it. An empty batch is a heartbeat. state is the
// leadership at the time the batch was taken, so that a change of leadership meanwhile doesn't affect what is written.
func (m *Member) commit(state leadership, batch []*writeRequest) {
	state = m.confirmClock(state)
	request := m.newReplicateRequest(state, batch)
	replication := m.replicate(state, request)
	localErr := m.appendLocal(state.epoch, request)
	replication.wait()
	if localErr != nil {
		// A backup may have entries that this replica lacks, so this member can't lead this epoch any longer.
		completeWrites(batch, ErrUnknown)
		m.transferLeadership(reasonLocalDiskFailed+localErr.Error(), "")
		return
	}
	if failed, err := replication.failures(); err != nil {
		m.handleFailedBackups(state, batch, failed, err)
		return
	}
	m.mu.Lock()
	m.leadership.failures = 0
	if m.leadership.epoch == state.epoch {
		m.leadership.clock.confirmedAt = m.host.Now()
	}
	m.mu.Unlock()
	m.completeBatch(batch, m.applyPending(), state.epoch)
	if len(batch) > 0 {
		m.handleSlowDisks(state.backups, replication.slowerThan(m.config.SlowSyncThreshold))
	}
}

// newReplicateRequest returns a request with a batch's entries, which follow the position of the local replica.
func (m *Member) newReplicateRequest(state leadership, batch []*writeRequest) *wire.ReplicateRequest {
	now := state.clock.at(m.host.Now())
	request := &wire.ReplicateRequest{From: m.self(), Epoch: state.epoch, LeaderClock: int64(now)}
	m.replicaExecutor.Run(func() {
		request.PreviousEpoch, request.PreviousSequence = m.replica.epoch, m.replica.sequence
		now = max(now, m.replica.leaderClock)
	})
	for index, w := range batch {
		request.Entries = append(request.Entries, &wire.Entry{
			Epoch: state.epoch, Sequence: request.PreviousSequence + uint64(index) + 1, LeaderClock: int64(now), Command: w.command,
		})
	}
	return request
}

// appendLocal appends a request's entries to the local journal. They are applied once the backups have stored them too.
func (m *Member) appendLocal(epoch uint64, request *wire.ReplicateRequest) (err error) {
	if len(request.Entries) == 0 {
		return nil
	}
	m.replicaExecutor.Run(func() {
		if m.replica.fenced > epoch || m.replica.sequence != request.PreviousSequence {
			err = errReplicaOverwritten
		} else if err = m.replica.appendEntries(request.Entries); err == nil {
			m.replica.pending = request.Entries
		}
	})
	return err
}

// handleFailedBackups replaces backups that didn't store a batch. The state that the new backups receive includes the batch, so it
// is acknowledged once they are in sync. Fewer than maxFailures consecutive failed heartbeats are ignored.
func (m *Member) handleFailedBackups(state leadership, batch []*writeRequest, failed []*wire.MemberID, cause error) {
	m.mu.Lock()
	m.leadership.failures++
	failures := m.leadership.failures
	m.mu.Unlock()
	if len(batch) == 0 && failures < maxFailures {
		return
	}
	m.dropBackups(failed, cause.Error())
	results := m.applyPending()
	if m.establishBackups(failed) {
		m.completeBatch(batch, results, state.epoch)
	} else {
		completeWrites(batch, ErrUnknown)
	}
}

// applyPending applies the entries that are synced locally but not applied yet, and returns their results.
func (m *Member) applyPending() (results [][]byte) {
	m.replicaExecutor.Run(func() { results = m.replica.applyPending() })
	return results
}

// completeBatch passes the results of a batch to its callers, or ErrUnknown if this member has stopped serving meanwhile.
func (m *Member) completeBatch(batch []*writeRequest, results [][]byte, epoch uint64) {
	if !m.Serving() || m.Epoch() < epoch || len(results) != len(batch) {
		completeWrites(batch, ErrUnknown)
		return
	}
	for index, w := range batch {
		w.result = results[index]
	}
	completeWrites(batch, nil)
}

func completeWrites(batch []*writeRequest, err error) {
	for _, w := range batch {
		w.err = err
		w.done.Fire()
	}
}
