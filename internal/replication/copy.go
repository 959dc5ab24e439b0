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
type copy struct {
	log         *wal.Log
	incarnation atomic.Uint64
	epoch       uint64
	sequence    uint64
	holderTime  monotonic.Micros
	fenced      uint64
	pending     []*wire.Entry
	lastSync    monotonic.Micros
	line        timeline
	tail        tail
	rewritten   int64 // the file's size after its last rewrite
}

func (member *Member) openCopy() error {
	place := member.env.Place
	name := member.file(journalFile)
	log, err := wal.Open(place.Disk(), name, func(content []byte) error {
		record := &wire.JournalRecord{}
		if err := proto.Unmarshal(content, record); err != nil {
			return err
		}
		if record.Snapshot != nil {
			return member.restore(record.Snapshot, record.Chunk)
		}
		if record.Watermark != nil {
			return member.remark(record.Watermark)
		}
		if record.Entry == nil || record.Entry.Sequence != member.copy.sequence+1 {
			return fmt.Errorf("entry out of turn")
		}
		member.apply(record.Entry)
		return nil
	})
	if isDamaged(err) {
		place.Report(eventlog.DiskDamaged, map[string]any{"file": name, "error": err.Error()})
		member.copy = copy{}
		if log, err = wal.Discard(place.Disk(), name); err == nil {
			err = member.env.Machine.Restore(nil)
		}
	}
	if err != nil {
		return err
	}
	if log.Cut > 0 {
		place.Report(eventlog.DiskTornTail, map[string]any{"file": name, "bytes": log.Cut})
	}
	member.copy.log = log
	member.copy.line = timeline{at: place.Now(), line: member.copy.holderTime}
	if member.copy.incarnation.Load() == 0 {
		member.copy.incarnation.Store(place.Random() | 1)
		return member.rewrite()
	}
	return nil
}

func (member *Member) restore(view *wire.Snapshot, incarnation uint64) error {
	member.machineLock.Lock()
	defer member.machineLock.Unlock()
	if err := member.env.Machine.Restore(view.Content); err != nil {
		return err
	}
	member.copy.incarnation.Store(incarnation)
	member.copy.epoch, member.copy.sequence, member.copy.holderTime = view.Epoch, view.Sequence, monotonic.Micros(view.LeaderClock)
	member.copy.pending = nil
	member.copy.tail.reset(position{view.Epoch, view.Sequence})
	return nil
}

// remark takes the position that the primary of an epoch gave to this copy's state.
func (member *Member) remark(mark *wire.Watermark) error {
	member.machineLock.Lock()
	defer member.machineLock.Unlock()
	if mark.Sequence != member.copy.sequence || mark.Epoch < member.copy.epoch {
		return fmt.Errorf("mark out of turn")
	}
	member.copy.epoch, member.copy.holderTime = mark.Epoch, max(member.copy.holderTime, monotonic.Micros(mark.LeaderClock))
	member.copy.tail.mark(position{mark.Epoch, mark.Sequence})
	return nil
}

// position is how far this copy is. Entries that were written here and not applied yet don't count.
func (member *Member) position() position {
	member.machineLock.Lock()
	defer member.machineLock.Unlock()
	return position{member.copy.epoch, member.copy.sequence}
}

// apply carries an entry out and notes how far the copy is.
func (member *Member) apply(entry *wire.Entry) []byte {
	member.machineLock.Lock()
	defer member.machineLock.Unlock()
	member.copy.epoch, member.copy.sequence = entry.Epoch, entry.Sequence
	member.copy.holderTime = max(member.copy.holderTime, monotonic.Micros(entry.LeaderClock))
	member.copy.tail.add(entry)
	return member.env.Machine.Apply(entry.Epoch, monotonic.Micros(entry.LeaderClock), entry.Command)
}

func (member *Member) view() *wire.Snapshot {
	member.machineLock.Lock()
	defer member.machineLock.Unlock()
	return &wire.Snapshot{Epoch: member.copy.epoch, Sequence: member.copy.sequence, LeaderClock: int64(member.copy.holderTime),
		Content: member.env.Machine.View()}
}

// rewrite replaces the journal by one view of all that is applied.
func (member *Member) rewrite() error {
	content := marshal(&wire.JournalRecord{Snapshot: member.view(), Chunk: member.copy.incarnation.Load()})
	err := member.copy.log.Rewrite(content)
	if isFull(err) && member.releaseReserve() {
		if err = member.copy.log.Rewrite(content); err == nil {
			_ = wal.Reserve(member.env.Place.Disk(), 1<<20) // best effort: without room the doctor tells
		}
	}
	member.copy.rewritten = member.copy.log.Size()
	return member.surviving(err)
}

// long tells whether the journal is worth rewriting: past a least length, and several times what a rewrite leaves. The
// second keeps a large state from being rewritten with every batch.
func (member *Member) long() bool {
	return member.copy.log.Size() > max(member.env.CompactFrom, 3*member.copy.rewritten)
}

// surviving stops the process on a failed sync, and passes every error on.
func (member *Member) surviving(err error) error {
	if isPoisoned(err) {
		member.stop("journal: " + err.Error())
	}
	return err
}

// store writes entries and syncs them. They are not applied yet.
func (member *Member) store(entries []*wire.Entry) error {
	if member.long() && len(member.copy.pending) == 0 {
		if err := member.rewrite(); err != nil {
			return err
		}
	}
	payloads := make([][]byte, len(entries))
	for index, entry := range entries {
		payloads[index] = marshal(&wire.JournalRecord{Entry: entry})
	}
	return member.append(payloads)
}

// append writes records and syncs them. Where the disk is full, what is applied is rewritten first.
func (member *Member) append(payloads [][]byte) error {
	started := member.env.Place.Now()
	err := member.copy.log.Append(payloads...)
	if isFull(err) && len(member.copy.pending) == 0 && member.copy.log.Size() > 64<<10 {
		if err = member.rewrite(); err == nil {
			err = member.copy.log.Append(payloads...)
		}
	}
	if err == nil {
		err = member.copy.log.Sync()
	}
	member.copy.lastSync = member.env.Place.Now() - started
	return member.surviving(err)
}

// answerReplicate takes a primary's entries into the backup's copy.
func (member *Member) answerReplicate(ask *wire.ReplicateRequest) (*wire.ReplicateResponse, error) {
	tell := &wire.ReplicateResponse{}
	var failure error
	member.keeper.Do(func() {
		state := &member.copy
		tell.Incarnation = state.incarnation.Load()
		if tell.Reason = member.unfit(ask, state); tell.Reason != "" {
			return
		}
		now := member.env.Place.Now()
		if allowed := state.line.allowed(now); monotonic.Micros(ask.LeaderClock) > allowed && !member.env.Unwitnessed {
			tell.Reason, tell.LeaderClock = leapt, int64(allowed)
			return
		}
		if len(ask.Entries) > 0 {
			if failure = member.store(ask.Entries); failure != nil {
				return
			}
			for _, entry := range ask.Entries {
				member.apply(entry)
			}
		}
		state.holderTime = max(state.holderTime, monotonic.Micros(ask.LeaderClock))
		state.line.take(now, state.holderTime)
		state.fenced = max(state.fenced, ask.Epoch)
		member.yieldTo(ask.Epoch)
		tell.Stored = true
		member.heardPrimary()
	})
	return tell, failure
}

// leapt is why a backup turns a primary's holder time down.
const leapt = "holder time is ahead of what passed here"

// timeline is what a backup holds against its primary's word on how much time passed.
// Invariant: line is never above the holder time that was last taken, and rises by the own clock, a hundredth added for drift.
type timeline struct{ at, line monotonic.Micros }

// lineSlack is how far holder time may be ahead of the line: clocks that don't run alike, messages that take their time.
const lineSlack = monotonic.Second

func (timeline timeline) now(now monotonic.Micros) monotonic.Micros {
	passed := max(now-timeline.at, 0)
	return timeline.line + passed + passed/100
}

// allowed is the most that holder time may be now. Every primary installs its view before it sends entries, so there is a line.
func (timeline timeline) allowed(now monotonic.Micros) monotonic.Micros {
	return timeline.now(now) + lineSlack
}

func (timeline *timeline) take(now, held monotonic.Micros) {
	timeline.at, timeline.line = now, min(held, timeline.now(now))
}

func (member *Member) unfit(ask *wire.ReplicateRequest, state *copy) string {
	switch {
	case ask.ToIncarnation != state.incarnation.Load():
		return "another copy"
	case ask.Epoch < state.fenced || ask.Epoch < member.knownEpoch():
		return "an older epoch"
	case ask.PreviousEpoch != state.epoch || ask.PreviousSequence != state.sequence || len(state.pending) > 0:
		return "not in step"
	}
	return ""
}

// answerInstall replaces this copy by the primary's view, unless the copy is one that must outlive that primary.
func (member *Member) answerInstall(ask *wire.InstallSnapshotRequest) (*wire.InstallSnapshotResponse, error) {
	tell := &wire.InstallSnapshotResponse{}
	var failure error
	member.keeper.Do(func() {
		state := &member.copy
		tell.Incarnation = state.incarnation.Load()
		if ask.Epoch < state.fenced || ask.Epoch < member.knownEpoch() || ask.Epoch < state.epoch {
			tell.Reason = "an older epoch"
			return
		}
		if ask.Snapshot == nil {
			tell.Reason, failure = member.catchUpBy(ask)
			tell.Stored = tell.Reason == "" && failure == nil
			return
		}
		view := &wire.Snapshot{Epoch: max(ask.Snapshot.GetEpoch(), ask.Epoch), Sequence: ask.Snapshot.GetSequence(), LeaderClock: ask.Snapshot.GetLeaderClock(), Content: ask.Snapshot.GetContent()}
		previous := member.view()
		if failure = member.restore(view, state.incarnation.Load()); failure != nil {
			return
		}
		if failure = member.rewrite(); failure != nil {
			failure = errors.Join(failure, member.restore(previous, state.incarnation.Load()))
			return
		}
		state.line = timeline{at: member.env.Place.Now(), line: state.holderTime}
		state.fenced = max(state.fenced, ask.Epoch)
		member.yieldTo(ask.Epoch)
		tell.Stored = true
		member.heardPrimary()
		member.env.Place.Report(eventlog.CopyInstalled, map[string]any{"group": member.env.Group, "epoch": ask.Epoch, "bytes": len(view.Content)})
	})
	return tell, failure
}

// catchUpBy takes the entries that this copy misses, and the position that the primary gives it. The keeper's task calls it.
func (member *Member) catchUpBy(ask *wire.InstallSnapshotRequest) (why string, failure error) {
	state := &member.copy
	if (position{ask.SinceEpoch, ask.SinceSequence}) != member.position() || len(state.pending) > 0 {
		return "not in step", nil
	}
	mark := &wire.Watermark{Epoch: ask.Epoch, Sequence: ask.SinceSequence + uint64(len(ask.Entries)), LeaderClock: ask.LeaderClock}
	if member.long() {
		if failure = member.rewrite(); failure != nil {
			return "", failure
		}
	}
	payloads := make([][]byte, 0, len(ask.Entries)+1)
	for _, entry := range ask.Entries {
		payloads = append(payloads, marshal(&wire.JournalRecord{Entry: entry}))
	}
	if failure = member.append(append(payloads, marshal(&wire.JournalRecord{Watermark: mark}))); failure != nil {
		return "", failure
	}
	for _, entry := range ask.Entries {
		member.apply(entry)
	}
	if failure = member.remark(mark); failure != nil {
		return "", failure
	}
	state.line = timeline{at: member.env.Place.Now(), line: state.holderTime}
	state.fenced = max(state.fenced, ask.Epoch)
	member.yieldTo(ask.Epoch)
	member.heardPrimary()
	member.env.Place.Report(eventlog.CopyCaughtUp, map[string]any{"group": member.env.Group, "epoch": ask.Epoch, "entries": len(ask.Entries)})
	return "", nil
}

// yieldTo ends a lead that another primary's epoch has overtaken.
func (member *Member) yieldTo(epoch uint64) {
	if own := member.Epoch(); own != 0 && own < epoch {
		member.stepDown(own, "another primary's copy arrived")
	}
}

func (member *Member) knownEpoch() uint64 {
	member.lock.Lock()
	defer member.lock.Unlock()
	if member.value == nil {
		return 0
	}
	return member.value.Epoch
}

func (member *Member) heardPrimary() {
	member.lock.Lock()
	defer member.lock.Unlock()
	member.lastHeard, member.young = member.env.Place.Now(), false
}
