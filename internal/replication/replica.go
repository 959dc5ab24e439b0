package replication

import (
	"errors"
	"fmt"
	"sync"

	"go.uber.org/atomic"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// replica is this process's copy of the state: a journal on disk, and the state machine to which it has been applied. The
// replica executor owns it and runs its methods, unless their documentation says otherwise.
//
// Invariants:
//   - the journal begins with a snapshot; each entry after it has the next sequence and an epoch that is never lower;
//   - epoch and sequence are the position of the last record applied. A primary numbers entries only within an epoch that its own
//     process won, so a position identifies one state;
//   - fenced is the lowest epoch whose primary this replica may still accept;
//   - pending entries are synced locally, but neither applied nor acknowledged.
type replica struct {
	host    host.Host
	journal journal
	// incarnation distinguishes this replica from earlier ones of the same name whose disk was lost. It is zero until the journal
	// is open. Any task may read it.
	incarnation atomic.Uint64
	leaderClock monotonic.Micros
	fenced      uint64
	pending     []*wire.Entry
	clockBound  clockBound

	// mu guards stateMachine, epoch, sequence and tail. Tasks outside the replica executor may read them under mu. The executor
	// itself reads epoch, sequence and tail without the lock.
	mu              sync.Mutex
	stateMachine    StateMachine
	epoch, sequence uint64
	tail            logTail
}

// newReplica returns a replica whose journal is not open yet.
func newReplica(h host.Host, files *storage, config Config) *replica {
	return &replica{
		host: h, stateMachine: config.StateMachine,
		journal: journal{host: h, storage: files, compactionThreshold: config.CompactionThreshold},
	}
}

// fence makes the replica reject primaries of epochs below the given one. It is not persisted, because a primary of an earlier
// epoch is also rejected for its position, or because of the register.
func (r *replica) fence(epoch uint64) { r.fenced = max(r.fenced, epoch) }

// open reads the journal into the state machine.
func (r *replica) open() error {
	if err := r.journal.open(r.replayRecord, r.reset); err != nil {
		return err
	}
	r.resetClockBound()
	if r.incarnation.Load() == 0 {
		r.incarnation.Store(r.host.Random() | 1)
		return r.compact()
	}
	return nil
}

// reset empties the replica and clears its incarnation.
func (r *replica) reset() error {
	return r.restoreSnapshot(&wire.Snapshot{}, 0)
}

// replayRecord applies one record of the journal. A record with a snapshot holds the replica's incarnation in its field Chunk.
func (r *replica) replayRecord(content []byte) error {
	record := &wire.JournalRecord{}
	if err := proto.Unmarshal(content, record); err != nil {
		return err
	}
	switch {
	case record.Snapshot != nil:
		return r.restoreSnapshot(record.Snapshot, record.Chunk)
	case record.Watermark != nil:
		return r.applyWatermark(record.Watermark)
	case record.Entry == nil || record.Entry.Sequence != r.sequence+1:
		return fmt.Errorf("entry: %w", errRecordOutOfOrder)
	}
	r.apply(record.Entry)
	return nil
}

// restoreSnapshot replaces the state and the incarnation. It drops pending entries and the tail.
func (r *replica) restoreSnapshot(snapshot *wire.Snapshot, incarnation uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.stateMachine.Restore(snapshot.Content); err != nil {
		return err
	}
	r.incarnation.Store(incarnation)
	r.epoch, r.sequence = snapshot.Epoch, snapshot.Sequence
	r.leaderClock = monotonic.Micros(snapshot.LeaderClock)
	r.pending = nil
	r.tail.reset(logPosition{snapshot.Epoch, snapshot.Sequence})
	return nil
}

// applyWatermark gives this replica's state the position in an epoch that the primary of that epoch assigned to it.
func (r *replica) applyWatermark(watermark *wire.Watermark) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if watermark.Sequence != r.sequence || watermark.Epoch < r.epoch {
		return fmt.Errorf("watermark: %w", errRecordOutOfOrder)
	}
	r.epoch = watermark.Epoch
	r.leaderClock = max(r.leaderClock, monotonic.Micros(watermark.LeaderClock))
	r.tail.addAlias(logPosition{watermark.Epoch, watermark.Sequence})
	return nil
}

// position returns the position of the last record applied; pending entries don't count. Any task may call it.
func (r *replica) position() logPosition {
	r.mu.Lock()
	defer r.mu.Unlock()
	return logPosition{r.epoch, r.sequence}
}

// apply applies an entry and returns its result.
func (r *replica) apply(entry *wire.Entry) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch, r.sequence = entry.Epoch, entry.Sequence
	r.leaderClock = max(r.leaderClock, monotonic.Micros(entry.LeaderClock))
	r.tail.add(entry)
	return r.stateMachine.Apply(entry.Epoch, monotonic.Micros(entry.LeaderClock), entry.Command)
}

// applyAll applies entries and returns their results.
func (r *replica) applyAll(entries []*wire.Entry) (results [][]byte) {
	for _, entry := range entries {
		results = append(results, r.apply(entry))
	}
	return results
}

// applyPending applies the pending entries and returns their results.
func (r *replica) applyPending() [][]byte {
	results := r.applyAll(r.pending)
	r.pending = nil
	return results
}

// moveToEpoch gives the current state a position in the given epoch, unless its position is in a later one.
func (r *replica) moveToEpoch(epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch = max(r.epoch, epoch)
	r.tail.addAlias(logPosition{r.epoch, r.sequence})
}

// advanceClock moves the leader clock forward to the given time, unless it is already later, and returns it.
func (r *replica) advanceClock(to monotonic.Micros) monotonic.Micros {
	r.leaderClock = max(r.leaderClock, to)
	return r.leaderClock
}

// snapshot returns the complete applied state, without pending entries.
func (r *replica) snapshot() *wire.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &wire.Snapshot{
		Epoch: r.epoch, Sequence: r.sequence, LeaderClock: int64(r.leaderClock),
		Content: r.stateMachine.Snapshot(),
	}
}

// resetClockBound restarts the bound on the leader clock from the replica's leader clock.
func (r *replica) resetClockBound() {
	r.clockBound = clockBound{at: r.host.Now(), estimate: r.leaderClock}
}

// compact replaces the journal with a single record that holds a snapshot of the applied state, and the incarnation in the field
// Chunk.
func (r *replica) compact() error {
	return r.journal.rewrite(mustMarshal(&wire.JournalRecord{Snapshot: r.snapshot(), Chunk: r.incarnation.Load()}))
}

// appendEntries appends entries to the journal and syncs them. It doesn't apply them.
func (r *replica) appendEntries(entries []*wire.Entry) error {
	if r.journal.needsCompaction() && len(r.pending) == 0 {
		if err := r.compact(); err != nil {
			return err
		}
	}
	return r.appendRecords(encodeEntries(entries))
}

func encodeEntries(entries []*wire.Entry) [][]byte {
	records := make([][]byte, 0, len(entries)+1)
	for _, entry := range entries {
		records = append(records, mustMarshal(&wire.JournalRecord{Entry: entry}))
	}
	return records
}

// appendRecords appends records to the journal and syncs them. If the disk is full, the journal is compacted first, except while
// entries are pending, because the snapshot would omit them.
func (r *replica) appendRecords(records [][]byte) error {
	if len(r.pending) > 0 {
		return r.journal.appendSynced(records, nil)
	}
	return r.journal.appendSynced(records, r.compact)
}

// install replaces the state and the journal with a snapshot. If that fails, the previous state is restored.
func (r *replica) install(snapshot *wire.Snapshot) error {
	previous, incarnation := r.snapshot(), r.incarnation.Load()
	if err := r.restoreSnapshot(snapshot, incarnation); err != nil {
		return err
	}
	if err := r.compact(); err != nil {
		return errors.Join(err, r.restoreSnapshot(previous, incarnation))
	}
	r.resetClockBound()
	return nil
}

// catchUp appends and applies entries that this replica lacks, and then a watermark with the resulting position and leader clock.
func (r *replica) catchUp(entries []*wire.Entry, watermark *wire.Watermark) error {
	if r.journal.needsCompaction() {
		if err := r.compact(); err != nil {
			return err
		}
	}
	records := append(encodeEntries(entries), mustMarshal(&wire.JournalRecord{Watermark: watermark}))
	if err := r.appendRecords(records); err != nil {
		return err
	}
	r.applyAll(entries)
	if err := r.applyWatermark(watermark); err != nil {
		return err
	}
	r.resetClockBound()
	return nil
}
