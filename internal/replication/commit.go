package replication

import (
	"errors"
	"slices"
	"sync"

	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// work is the primary's one task for writes: it commits batches, keeps the backups in touch and replaces lost ones.
func (m *Member) runWrites() {
	lastTick, lastWrite := monotonic.Micros(0), monotonic.Micros(0)
	pause := m.config.HeartbeatInterval
	for {
		batch := slices.DeleteFunc(m.writes.TakeAll(pause), func(w *writeRequest) bool { return w == nil })
		now := m.config.Host.Now()
		m.mu.Lock()
		state := m.leadership
		m.mu.Unlock()
		pause = m.renewInterval()
		if state.epoch == 0 || now >= state.leaseUntil {
			completeWrites(batch, ErrNotPrimary)
			continue
		}
		if !state.serving {
			completeWrites(batch, ErrNotPrimary)
			m.establishBackups(nil)
			pause = m.config.HeartbeatInterval
			continue
		}
		// Three paces may be a little less than a second.
		if len(batch) == 0 && now-lastTick >= monotonic.Second-m.renewInterval()/2 && m.hasTimers() {
			lastTick = now
			batch = []*writeRequest{{done: m.config.Host.NewSignal()}}
		}
		if since := now - lastWrite; len(batch) == 0 && since >= 0 && since < m.renewInterval() {
			pause = m.renewInterval() - since // the backups heard a write since
			m.replaceLeavingBackups()
			continue
		}
		lastWrite = now
		m.commit(state, batch)
		m.replaceLeavingBackups()
		m.recruitBackups()
	}
}

func (m *Member) hasTimers() bool {
	m.stateMachineMu.Lock()
	defer m.stateMachineMu.Unlock()
	return m.config.StateMachine.HasTimers()
}

func completeWrites(batch []*writeRequest, err error) {
	for _, w := range batch {
		w.err = err
		w.done.Fire()
	}
}

// delivery is how one backup took a batch. Its first end counts.
type replicateCall struct {
	backup    *wire.MemberID
	responded host.Signal
	mu        sync.Mutex
	finished  bool
	err       error
	elapsed   monotonic.Micros
}

func (c *replicateCall) finish(err error, taken monotonic.Micros) {
	c.mu.Lock()
	if !c.finished {
		c.finished, c.err, c.elapsed = true, err, taken
	}
	c.mu.Unlock()
	c.responded.Fire()
}

func (c *replicateCall) isFinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished
}

// errBackupSilent: a backup answered neither a batch nor a small ask.
var errBackupSilent = errors.New("it says nothing")

const (
	// probeAfter is how long a batch may be unanswered before its backup is asked something small. A slow disk holds a batch up, but
	// not such an ask.
	probeAfter = 100 * monotonic.Millisecond
	// probeTimeout is how long that is waited for; well above the longest way there and back.
	probeTimeout = 150 * monotonic.Millisecond
)

// silent tells whether a backup that hasn't answered a batch yet doesn't answer a small ask either, while another voter that could take
// its place was heard lately.
func (m *Member) isSilent(call *replicateCall) bool {
	spare := slices.ContainsFunc(m.otherVoters(), func(name string) bool {
		return name != call.backup.Name && m.config.Host.Now()-m.lastResponseAt(name) < m.config.LeaseDuration
	})
	if !spare {
		return false
	}
	began := m.config.Host.Now()
	m.config.Host.Go(func() { _, _ = m.readRegister(call.backup.Name) })
	call.responded.Wait(probeTimeout)
	return !call.isFinished() && m.lastResponseAt(call.backup.Name) < began
}

// spread sends entries to every backup at once. Once signals have fired the deliveries are whole.
func (m *Member) replicate(request *wire.ReplicateRequest, backups []*wire.MemberID, timeout monotonic.Micros) (deliveries []*replicateCall, wait func()) {
	h := m.config.Host
	started, waits := h.Now(), []func(){}
	for _, backup := range backups {
		call := &replicateCall{backup: backup, responded: h.NewSignal()}
		deliveries = append(deliveries, call)
		addressed := &wire.ReplicateRequest{To: backup.Name, From: request.From, ToIncarnation: backup.Incarnation, Epoch: request.Epoch,
			PreviousEpoch: request.PreviousEpoch, PreviousSequence: request.PreviousSequence, LeaderClock: request.LeaderClock, Entries: request.Entries}
		h.Go(func() {
			response := &wire.ReplicateResponse{}
			err := m.config.Resolver.Call(backup.Name, wire.Kind_replicate, addressed, response, timeout)
			if err == nil && !response.Stored {
				err = errors.New(response.Reason)
			}
			call.finish(err, h.Now()-started)
		})
		waits = append(waits, func() {
			if timeout <= m.config.CallTimeout && !call.responded.Wait(probeAfter) && m.isSilent(call) {
				call.finish(errBackupSilent, h.Now()-started)
			}
			for !call.isFinished() {
				call.responded.Wait(monotonic.Minute)
			}
		})
	}
	return deliveries, func() {
		for _, wait := range waits {
			wait()
		}
	}
}

// commit writes a batch to every copy and applies it; an empty batch only keeps the backups in touch.
// state is the lead as it was when the batch was taken: a lead that ends meanwhile must not change what is written.
func (m *Member) commit(state leadership, batch []*writeRequest) {
	h := m.config.Host
	state = m.syncLeaderClock(state)
	epoch, now := state.epoch, state.leaderClock(h.Now())
	request := &wire.ReplicateRequest{From: m.self(), Epoch: epoch, LeaderClock: int64(now)}
	m.replicaExecutor.Run(func() {
		request.PreviousEpoch, request.PreviousSequence = m.replica.epoch, m.replica.sequence
		now = max(now, m.replica.leaderClock)
	})
	for index, w := range batch {
		request.Entries = append(request.Entries, &wire.Entry{Epoch: epoch, Sequence: request.PreviousSequence + uint64(index) + 1,
			LeaderClock: int64(now), Command: w.command})
	}
	// A backup that is there for want of another is given longer than one that can be replaced: time for a rewrite.
	timeout := m.config.CallTimeout
	if state.lastResort {
		timeout = 3 * m.config.LeaseDuration
	}
	deliveries, wait := m.replicate(request, state.backups, timeout)
	var local error
	if len(batch) > 0 {
		m.replicaExecutor.Run(func() {
			if m.replica.fenced > epoch || m.replica.sequence != request.PreviousSequence {
				local = errors.New("another primary wrote this copy")
			} else if local = m.appendEntries(request.Entries); local == nil {
				m.replica.pending = request.Entries
			}
		})
	}
	wait()
	if local != nil {
		// A backup may hold what this copy does not, so this member can't go on in this epoch.
		completeWrites(batch, ErrUnknown)
		m.transferLeadership("own disk: " + local.Error())
		return
	}
	var failed, slow []*wire.MemberID
	var remote error
	for _, call := range deliveries {
		if call.err != nil {
			failed, remote = append(failed, call.backup), call.err
		} else if call.elapsed > m.config.SlowSyncThreshold {
			slow = append(slow, call.backup)
		}
	}
	if remote != nil {
		m.mu.Lock()
		m.leadership.failures++
		failures := m.leadership.failures
		m.mu.Unlock()
		if len(batch) == 0 && failures < 3 {
			return
		}
		m.dropBackups(failed, remote.Error())
		// The batch is part of what the next backups are given; it's answered once those are in step.
		results := m.applyPending()
		if m.establishBackups(failed) {
			m.completeBatch(batch, results, epoch)
		} else {
			completeWrites(batch, ErrUnknown)
		}
		return
	}
	m.mu.Lock()
	m.leadership.failures = 0
	if m.leadership.epoch == epoch {
		m.leadership.clockSyncedAt = h.Now()
	}
	m.mu.Unlock()
	m.completeBatch(batch, m.applyPending(), epoch)
	if len(batch) > 0 {
		m.relieveSlowDisks(state.backups, slow)
	}
}

// clockSyncInterval is how long a primary may not have exchanged holder time with its backup before it asks how much has passed
// there: less than what a backup lets pass unasked.
const clockSyncInterval = 700 * monotonic.Millisecond

// agree has the backup's clock bear witness where this one says that long has passed since the last exchange, or that time ran
// backward: it may have leapt, and no wait or claim may end on its word alone.
func (m *Member) syncLeaderClock(state leadership) leadership {
	h := m.config.Host
	since := h.Now() - state.clockSyncedAt
	if since >= 0 && since < clockSyncInterval || m.config.UnverifiedClock {
		return state
	}
	request := &wire.ReplicateRequest{From: m.self(), Epoch: state.epoch}
	m.replicaExecutor.Run(func() {
		request.PreviousEpoch, request.PreviousSequence = m.replica.epoch, m.replica.sequence
		request.LeaderClock = int64(max(m.replica.leaderClock, state.leaderClock(h.Now())))
	})
	agreed := monotonic.Micros(request.LeaderClock)
	responses := gatherResponses(m, memberNames(state.backups), m.config.CallTimeout, func(name string) (*wire.ReplicateResponse, error) {
		backup := state.backups[slices.IndexFunc(state.backups, func(one *wire.MemberID) bool { return one.Name == name })]
		response := &wire.ReplicateResponse{}
		return response, m.call(name, wire.Kind_replicate, &wire.ReplicateRequest{To: name, From: request.From, ToIncarnation: backup.Incarnation, Epoch: request.Epoch,
			PreviousEpoch: request.PreviousEpoch, PreviousSequence: request.PreviousSequence, LeaderClock: request.LeaderClock}, response)
	}, nil)
	for _, backup := range state.backups {
		response := responses[backup.Name]
		if response == nil || !response.Stored && response.Reason != clockAhead {
			return state // the batch itself will find out what is wrong, and a backup turns down what it can't vouch for
		}
		if !response.Stored {
			agreed = min(agreed, monotonic.Micros(response.LeaderClock))
		}
	}
	if agreed < monotonic.Micros(request.LeaderClock) {
		m.replicaExecutor.Run(func() { agreed = max(m.replica.leaderClock, agreed) })
		m.config.Host.Report(eventlog.LeaderClockBounded, map[string]any{"group": m.config.Group, "micros": request.LeaderClock - int64(agreed)})
	}
	state.clockBase, state.clockBaseAt, state.clockSyncedAt = agreed, h.Now(), h.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leadership.epoch == state.epoch {
		m.leadership.clockBase, m.leadership.clockBaseAt, m.leadership.clockSyncedAt = state.clockBase, state.clockBaseAt, state.clockSyncedAt
	}
	return state
}

// reply answers a batch, unless the tenure ended meanwhile.
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

func (m *Member) applyPending() (results [][]byte) {
	m.replicaExecutor.Run(func() {
		for _, entry := range m.replica.pending {
			results = append(results, m.apply(entry))
		}
		m.replica.pending = nil
	})
	return results
}
