package replication

import (
	"errors"
	"fmt"

	"go.uber.org/atomic"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
	"snowflow/internal/wal"
)

const journalFile = "journal"

// copy is this process's copy of the state: a journal on disk and the machine it has been applied to. Its owner is
// Member.keeper.
//
// Invariants:
//   - the journal starts with a view; each entry behind it has the next sequence and an epoch that never falls;
//   - epoch and sequence are those of the last record; a primary numbers within an epoch it won in this life, so the pair
//     names one entry;
//   - fenced is above every epoch whose primary this copy must no longer obey;
//   - applied <= sequence; what lies between was written here but not answered.
type replica struct {
	log           *wal.Log
	incarnation   atomic.Uint64
	epoch         uint64
	sequence      uint64
	leaderClock   monotonic.Micros
	fenced        uint64
	pending       []*wire.Entry
	lastSyncTime  monotonic.Micros
	clockBound    clockBound
	tail          logTail
	compactedSize int64 // the file's size after its last rewrite
}

func (m *Member) openReplica() error {
	h := m.config.Host
	name := m.fileName(journalFile)
	log, err := wal.Open(h.Disk(), name, func(content []byte) error {
		record := &wire.JournalRecord{}
		if err := proto.Unmarshal(content, record); err != nil {
			return err
		}
		if record.Snapshot != nil {
			return m.restoreSnapshot(record.Snapshot, record.Chunk)
		}
		if record.Watermark != nil {
			return m.applyWatermark(record.Watermark)
		}
		if record.Entry == nil || record.Entry.Sequence != m.replica.sequence+1 {
			return fmt.Errorf("entry out of turn")
		}
		m.apply(record.Entry)
		return nil
	})
	if isCorrupt(err) {
		h.Report(eventlog.DiskCorrupted, map[string]any{"file": name, "error": err.Error()})
		m.replica = replica{}
		if log, err = wal.Recreate(h.Disk(), name); err == nil {
			err = m.config.StateMachine.Restore(nil)
		}
	}
	if err != nil {
		return err
	}
	if log.TruncatedBytes > 0 {
		h.Report(eventlog.DiskTornTail, map[string]any{"file": name, "bytes": log.TruncatedBytes})
	}
	m.replica.log = log
	m.replica.clockBound = clockBound{at: h.Now(), clock: m.replica.leaderClock}
	if m.replica.incarnation.Load() == 0 {
		m.replica.incarnation.Store(h.Random() | 1)
		return m.compact()
	}
	return nil
}

func (m *Member) restoreSnapshot(view *wire.Snapshot, incarnation uint64) error {
	m.stateMachineMu.Lock()
	defer m.stateMachineMu.Unlock()
	if err := m.config.StateMachine.Restore(view.Content); err != nil {
		return err
	}
	m.replica.incarnation.Store(incarnation)
	m.replica.epoch, m.replica.sequence, m.replica.leaderClock = view.Epoch, view.Sequence, monotonic.Micros(view.LeaderClock)
	m.replica.pending = nil
	m.replica.tail.reset(logPosition{view.Epoch, view.Sequence})
	return nil
}

// remark takes the position that the primary of an epoch gave to this copy's state.
func (m *Member) applyWatermark(mark *wire.Watermark) error {
	m.stateMachineMu.Lock()
	defer m.stateMachineMu.Unlock()
	if mark.Sequence != m.replica.sequence || mark.Epoch < m.replica.epoch {
		return fmt.Errorf("mark out of turn")
	}
	m.replica.epoch, m.replica.leaderClock = mark.Epoch, max(m.replica.leaderClock, monotonic.Micros(mark.LeaderClock))
	m.replica.tail.addAlias(logPosition{mark.Epoch, mark.Sequence})
	return nil
}

// position is how far this copy is. Entries that were written here and not applied yet don't count.
func (m *Member) position() logPosition {
	m.stateMachineMu.Lock()
	defer m.stateMachineMu.Unlock()
	return logPosition{m.replica.epoch, m.replica.sequence}
}

// apply carries an entry out and notes how far the copy is.
func (m *Member) apply(entry *wire.Entry) []byte {
	m.stateMachineMu.Lock()
	defer m.stateMachineMu.Unlock()
	m.replica.epoch, m.replica.sequence = entry.Epoch, entry.Sequence
	m.replica.leaderClock = max(m.replica.leaderClock, monotonic.Micros(entry.LeaderClock))
	m.replica.tail.add(entry)
	return m.config.StateMachine.Apply(entry.Epoch, monotonic.Micros(entry.LeaderClock), entry.Command)
}

func (m *Member) snapshot() *wire.Snapshot {
	m.stateMachineMu.Lock()
	defer m.stateMachineMu.Unlock()
	return &wire.Snapshot{Epoch: m.replica.epoch, Sequence: m.replica.sequence, LeaderClock: int64(m.replica.leaderClock),
		Content: m.config.StateMachine.Snapshot()}
}

// rewrite replaces the journal by one view of all that is applied.
func (m *Member) compact() error {
	content := mustMarshal(&wire.JournalRecord{Snapshot: m.snapshot(), Chunk: m.replica.incarnation.Load()})
	err := m.replica.log.Rewrite(content)
	if isDiskFull(err) && m.releaseReserve() {
		if err = m.replica.log.Rewrite(content); err == nil {
			_ = wal.ReserveSpace(m.config.Host.Disk(), 1<<20) // best effort: without room the doctor tells
		}
	}
	m.replica.compactedSize = m.replica.log.Size()
	return m.stopOnSyncFailure(err)
}

// long tells whether the journal is worth rewriting: past a least length, and several times what a rewrite leaves. The
// second keeps a large state from being rewritten with every batch.
func (m *Member) needsCompaction() bool {
	return m.replica.log.Size() > max(m.config.CompactionThreshold, 3*m.replica.compactedSize)
}

// surviving stops the process on a failed sync, and passes every error on.
func (m *Member) stopOnSyncFailure(err error) error {
	if isSyncFailure(err) {
		m.stop("journal: " + err.Error())
	}
	return err
}

// store writes entries and syncs them. They are not applied yet.
func (m *Member) appendEntries(entries []*wire.Entry) error {
	if m.needsCompaction() && len(m.replica.pending) == 0 {
		if err := m.compact(); err != nil {
			return err
		}
	}
	payloads := make([][]byte, len(entries))
	for index, entry := range entries {
		payloads[index] = mustMarshal(&wire.JournalRecord{Entry: entry})
	}
	return m.appendRecords(payloads)
}

// append writes records and syncs them. Where the disk is full, what is applied is rewritten first.
func (m *Member) appendRecords(payloads [][]byte) error {
	started := m.config.Host.Now()
	err := m.replica.log.Append(payloads...)
	if isDiskFull(err) && len(m.replica.pending) == 0 && m.replica.log.Size() > 64<<10 {
		if err = m.compact(); err == nil {
			err = m.replica.log.Append(payloads...)
		}
	}
	if err == nil {
		err = m.replica.log.Sync()
	}
	m.replica.lastSyncTime = m.config.Host.Now() - started
	return m.stopOnSyncFailure(err)
}

// handleReplicate takes a primary's entries into the backup's copy.
func (m *Member) handleReplicate(request *wire.ReplicateRequest) (*wire.ReplicateResponse, error) {
	response := &wire.ReplicateResponse{}
	var failure error
	m.replicaExecutor.Run(func() {
		state := &m.replica
		response.Incarnation = state.incarnation.Load()
		if response.Reason = m.replicateRejection(request, state); response.Reason != "" {
			return
		}
		now := m.config.Host.Now()
		if allowed := state.clockBound.limit(now); monotonic.Micros(request.LeaderClock) > allowed && !m.config.UnverifiedClock {
			response.Reason, response.LeaderClock = clockAhead, int64(allowed)
			return
		}
		if len(request.Entries) > 0 {
			if failure = m.appendEntries(request.Entries); failure != nil {
				return
			}
			for _, entry := range request.Entries {
				m.apply(entry)
			}
		}
		state.leaderClock = max(state.leaderClock, monotonic.Micros(request.LeaderClock))
		state.clockBound.advance(now, state.leaderClock)
		state.fenced = max(state.fenced, request.Epoch)
		m.yieldToEpoch(request.Epoch)
		response.Stored = true
		m.recordLeaderContact()
	})
	return response, failure
}

// leapt is why a backup turns a primary's holder time down.
const clockAhead = "holder time is ahead of what passed here"

// timeline is what a backup holds against its primary's word on how much time passed.
// Invariant: line is never above the holder time that was last taken, and rises by the own clock, a hundredth added for drift.
type clockBound struct{ at, clock monotonic.Micros }

// maxClockLead is how far holder time may be ahead of the line: clocks that don't run alike, messages that take their time.
const maxClockLead = monotonic.Second

func (c clockBound) estimate(now monotonic.Micros) monotonic.Micros {
	passed := max(now-c.at, 0)
	return c.clock + passed + passed/100
}

// allowed is the most that holder time may be now. Every primary installs its view before it sends entries, so there is a line.
func (c clockBound) limit(now monotonic.Micros) monotonic.Micros {
	return c.estimate(now) + maxClockLead
}

func (c *clockBound) advance(now, clock monotonic.Micros) {
	c.at, c.clock = now, min(clock, c.estimate(now))
}

func (m *Member) replicateRejection(request *wire.ReplicateRequest, state *replica) string {
	switch {
	case request.ToIncarnation != state.incarnation.Load():
		return "another copy"
	case request.Epoch < state.fenced || request.Epoch < m.knownEpoch():
		return "an older epoch"
	case request.PreviousEpoch != state.epoch || request.PreviousSequence != state.sequence || len(state.pending) > 0:
		return "not in step"
	}
	return ""
}

// handleInstall replaces this copy by the primary's view, unless the copy is one that must outlive that primary.
func (m *Member) handleInstall(request *wire.InstallSnapshotRequest) (*wire.InstallSnapshotResponse, error) {
	response := &wire.InstallSnapshotResponse{}
	var failure error
	m.replicaExecutor.Run(func() {
		state := &m.replica
		response.Incarnation = state.incarnation.Load()
		if request.Epoch < state.fenced || request.Epoch < m.knownEpoch() || request.Epoch < state.epoch {
			response.Reason = "an older epoch"
			return
		}
		if request.Snapshot == nil {
			response.Reason, failure = m.applyMissingEntries(request)
			response.Stored = response.Reason == "" && failure == nil
			return
		}
		view := &wire.Snapshot{Epoch: max(request.Snapshot.GetEpoch(), request.Epoch), Sequence: request.Snapshot.GetSequence(), LeaderClock: request.Snapshot.GetLeaderClock(), Content: request.Snapshot.GetContent()}
		previous := m.snapshot()
		if failure = m.restoreSnapshot(view, state.incarnation.Load()); failure != nil {
			return
		}
		if failure = m.compact(); failure != nil {
			failure = errors.Join(failure, m.restoreSnapshot(previous, state.incarnation.Load()))
			return
		}
		state.clockBound = clockBound{at: m.config.Host.Now(), clock: state.leaderClock}
		state.fenced = max(state.fenced, request.Epoch)
		m.yieldToEpoch(request.Epoch)
		response.Stored = true
		m.recordLeaderContact()
		m.config.Host.Report(eventlog.SnapshotInstalled, map[string]any{"group": m.config.Group, "epoch": request.Epoch, "bytes": len(view.Content)})
	})
	return response, failure
}

// applyMissingEntries takes the entries that this copy misses, and the position that the primary gives it. The keeper's task calls it.
func (m *Member) applyMissingEntries(request *wire.InstallSnapshotRequest) (why string, failure error) {
	state := &m.replica
	if (logPosition{request.SinceEpoch, request.SinceSequence}) != m.position() || len(state.pending) > 0 {
		return "not in step", nil
	}
	mark := &wire.Watermark{Epoch: request.Epoch, Sequence: request.SinceSequence + uint64(len(request.Entries)), LeaderClock: request.LeaderClock}
	if m.needsCompaction() {
		if failure = m.compact(); failure != nil {
			return "", failure
		}
	}
	payloads := make([][]byte, 0, len(request.Entries)+1)
	for _, entry := range request.Entries {
		payloads = append(payloads, mustMarshal(&wire.JournalRecord{Entry: entry}))
	}
	if failure = m.appendRecords(append(payloads, mustMarshal(&wire.JournalRecord{Watermark: mark}))); failure != nil {
		return "", failure
	}
	for _, entry := range request.Entries {
		m.apply(entry)
	}
	if failure = m.applyWatermark(mark); failure != nil {
		return "", failure
	}
	state.clockBound = clockBound{at: m.config.Host.Now(), clock: state.leaderClock}
	state.fenced = max(state.fenced, request.Epoch)
	m.yieldToEpoch(request.Epoch)
	m.recordLeaderContact()
	m.config.Host.Report(eventlog.ReplicaCaughtUp, map[string]any{"group": m.config.Group, "epoch": request.Epoch, "entries": len(request.Entries)})
	return "", nil
}

// yieldToEpoch ends a lead that another primary's epoch has overtaken.
func (m *Member) yieldToEpoch(epoch uint64) {
	if own := m.Epoch(); own != 0 && own < epoch {
		m.stepDown(own, "another primary's copy arrived")
	}
}

func (m *Member) knownEpoch() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.register == nil {
		return 0
	}
	return m.register.Epoch
}

func (m *Member) recordLeaderContact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastLeaderContact, m.coldStart = m.config.Host.Now(), false
}
