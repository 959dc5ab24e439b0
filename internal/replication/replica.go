package replication

import (
	"fmt"

	"go.uber.org/atomic"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
	"snowflow/internal/wal"
)

const (
	// journalFile is the file of the replica's journal, after the group's name.
	journalFile = "journal"
	// compactionFactor is how many times the size of a compacted journal the journal may reach. It keeps a large state from
	// being rewritten with every batch.
	compactionFactor = 3
	// minFullCompaction is the size in bytes from which compaction is tried when the disk is full.
	minFullCompaction = 64 << 10
)

// replica is this process's copy of the state: a journal on disk, and the state machine that it has been applied to. The
// replica executor owns it.
//
// Invariants:
//   - the journal begins with a snapshot; each entry behind it has the next sequence and an epoch that never falls;
//   - epoch and sequence are the position of the last record applied. A primary numbers within an epoch that its process
//     won, so a position names one state;
//   - fenced is above every epoch whose primary this replica must no longer obey;
//   - pending entries are synced here and neither applied nor acknowledged.
type replica struct {
	log *wal.Log
	// incarnation tells this replica from others under the same name, after the disk was lost. Zero until the journal is open.
	incarnation atomic.Uint64
	epoch       uint64
	sequence    uint64
	leaderClock monotonic.Micros
	fenced      uint64
	pending     []*wire.Entry
	// lastSyncTime is how long the last append took to sync.
	lastSyncTime monotonic.Micros
	clockBound   clockBound
	tail         logTail
	// compactedSize is the journal's size after its last compaction.
	compactedSize int64
}

// fence makes the replica reject primaries of epochs below a given one. Fences are not persisted: a primary of an earlier epoch
// is also rejected by its position, or by the register.
func (r *replica) fence(epoch uint64) { r.fenced = max(r.fenced, epoch) }

// openReplica reads the journal into the state machine. It runs on the replica executor, as do all methods in this file.
func (m *Member) openReplica() error {
	name := m.fileName(journalFile)
	log, err := wal.Open(m.host.Disk(), name, m.replayRecord)
	if isCorrupt(err) {
		m.reportCorrupt(name, err)
		m.replica = replica{}
		if log, err = wal.Recreate(m.host.Disk(), name); err == nil {
			err = m.config.StateMachine.Restore(nil)
		}
	}
	if err != nil {
		return err
	}
	m.reportTornTail(name, log)
	m.replica.log = log
	m.resetClockBound()
	if m.replica.incarnation.Load() == 0 {
		m.replica.incarnation.Store(m.host.Random() | 1)
		return m.compact()
	}
	return nil
}

// replayRecord applies one record of the journal.
func (m *Member) replayRecord(content []byte) error {
	record := &wire.JournalRecord{}
	if err := proto.Unmarshal(content, record); err != nil {
		return err
	}
	switch {
	case record.Snapshot != nil:
		return m.restoreSnapshot(record.Snapshot, record.Chunk)
	case record.Watermark != nil:
		return m.applyWatermark(record.Watermark)
	case record.Entry == nil || record.Entry.Sequence != m.replica.sequence+1:
		return fmt.Errorf("entry: %w", errOutOfOrder)
	}
	m.apply(record.Entry)
	return nil
}

// restoreSnapshot replaces the state.
func (m *Member) restoreSnapshot(snapshot *wire.Snapshot, incarnation uint64) error {
	m.stateMachineMu.Lock()
	defer m.stateMachineMu.Unlock()
	if err := m.config.StateMachine.Restore(snapshot.Content); err != nil {
		return err
	}
	m.replica.incarnation.Store(incarnation)
	m.replica.epoch, m.replica.sequence = snapshot.Epoch, snapshot.Sequence
	m.replica.leaderClock = monotonic.Micros(snapshot.LeaderClock)
	m.replica.pending = nil
	m.replica.tail.reset(logPosition{snapshot.Epoch, snapshot.Sequence})
	return nil
}

// applyWatermark takes the position that the primary of an epoch gave to this replica's state.
func (m *Member) applyWatermark(watermark *wire.Watermark) error {
	m.stateMachineMu.Lock()
	defer m.stateMachineMu.Unlock()
	if watermark.Sequence != m.replica.sequence || watermark.Epoch < m.replica.epoch {
		return fmt.Errorf("watermark: %w", errOutOfOrder)
	}
	m.replica.epoch = watermark.Epoch
	m.replica.leaderClock = max(m.replica.leaderClock, monotonic.Micros(watermark.LeaderClock))
	m.replica.tail.addAlias(logPosition{watermark.Epoch, watermark.Sequence})
	return nil
}

// position returns how far this replica is, without pending entries. Any task may call it.
func (m *Member) position() logPosition {
	m.stateMachineMu.Lock()
	defer m.stateMachineMu.Unlock()
	return logPosition{m.replica.epoch, m.replica.sequence}
}

// apply applies an entry and returns its result.
func (m *Member) apply(entry *wire.Entry) []byte {
	m.stateMachineMu.Lock()
	defer m.stateMachineMu.Unlock()
	m.replica.epoch, m.replica.sequence = entry.Epoch, entry.Sequence
	m.replica.leaderClock = max(m.replica.leaderClock, monotonic.Micros(entry.LeaderClock))
	m.replica.tail.add(entry)
	return m.config.StateMachine.Apply(entry.Epoch, monotonic.Micros(entry.LeaderClock), entry.Command)
}

// applyPendingEntries applies the pending entries and returns their results.
func (m *Member) applyPendingEntries() (results [][]byte) {
	for _, entry := range m.replica.pending {
		results = append(results, m.apply(entry))
	}
	m.replica.pending = nil
	return results
}

// snapshot returns the whole state as applied.
func (m *Member) snapshot() *wire.Snapshot {
	m.stateMachineMu.Lock()
	defer m.stateMachineMu.Unlock()
	return &wire.Snapshot{
		Epoch: m.replica.epoch, Sequence: m.replica.sequence, LeaderClock: int64(m.replica.leaderClock),
		Content: m.config.StateMachine.Snapshot(),
	}
}

// resetClockBound begins the bound on the leader clock anew, with the replica's.
func (m *Member) resetClockBound() {
	m.replica.clockBound = clockBound{at: m.host.Now(), estimate: m.replica.leaderClock}
}

// compact replaces the journal by one snapshot of what is applied.
func (m *Member) compact() error {
	content := mustMarshal(&wire.JournalRecord{Snapshot: m.snapshot(), Chunk: m.replica.incarnation.Load()})
	err := m.replica.log.Rewrite(content)
	if isDiskFull(err) && m.releaseReserve() {
		if err = m.replica.log.Rewrite(content); err == nil {
			_ = wal.ReserveSpace(m.host.Disk(), reservedBytes) // best effort: the doctor command reports a disk without room
		}
	}
	m.replica.compactedSize = m.replica.log.Size()
	return m.stopOnSyncFailure(err)
}

// needsCompaction reports whether the journal is above its least size and several times what compaction would leave.
func (m *Member) needsCompaction() bool {
	return m.replica.log.Size() > max(m.config.CompactionThreshold, compactionFactor*m.replica.compactedSize)
}

// stopOnSyncFailure ends the process if an error is a failed sync. It returns the error.
func (m *Member) stopOnSyncFailure(err error) error {
	if isSyncFailure(err) {
		m.stop("journal: " + err.Error())
	}
	return err
}

// appendEntries appends entries to the journal and syncs them. It doesn't apply them.
func (m *Member) appendEntries(entries []*wire.Entry) error {
	if m.needsCompaction() && len(m.replica.pending) == 0 {
		if err := m.compact(); err != nil {
			return err
		}
	}
	return m.appendRecords(encodeEntries(entries))
}

func encodeEntries(entries []*wire.Entry) [][]byte {
	records := make([][]byte, 0, len(entries)+1)
	for _, entry := range entries {
		records = append(records, mustMarshal(&wire.JournalRecord{Entry: entry}))
	}
	return records
}

// appendRecords appends records to the journal and syncs them. If the disk is full, the journal is compacted first.
func (m *Member) appendRecords(records [][]byte) error {
	started := m.host.Now()
	err := m.replica.log.Append(records...)
	if isDiskFull(err) && len(m.replica.pending) == 0 && m.replica.log.Size() > minFullCompaction {
		if err = m.compact(); err == nil {
			err = m.replica.log.Append(records...)
		}
	}
	if err == nil {
		err = m.replica.log.Sync()
	}
	m.replica.lastSyncTime = m.host.Now() - started
	return m.stopOnSyncFailure(err)
}
