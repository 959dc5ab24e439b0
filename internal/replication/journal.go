package replication

import (
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/wal"
)

const (
	// journalFile is the name of the journal's file without the group's name before it.
	journalFile = "journal"
	// compactionFactor is how many times its size after the last compaction the journal may reach. It keeps a large state from
	// being rewritten with every batch.
	compactionFactor = 3
	// minFullCompaction is the size in bytes above which compaction is tried when the disk is full.
	minFullCompaction = 64 << 10
)

// journal is a replica's file. It decides when the file is compacted and handles a full disk; the replica encodes and decodes the
// records. It isn't safe for concurrent use. A failed sync ends the process.
type journal struct {
	host    host.Host
	storage *storage
	// compactionThreshold is the size in bytes below which the journal isn't compacted.
	compactionThreshold int64

	// log is nil until open has returned nil.
	log *wal.Log
	// compactedSize is the journal's size in bytes after its last compaction.
	compactedSize int64
	// lastSyncTime is how long the last append took, including its sync.
	lastSyncTime monotonic.Micros
}

// open reads the file, as storage.openLog does.
func (j *journal) open(replay func(content []byte) error, reset func() error) error {
	log, err := j.storage.openLog(journalFile, replay, reset)
	if err != nil {
		return err
	}
	j.log = log
	return nil
}

// size returns the size of the file in bytes.
func (j *journal) size() int64 { return j.log.Size() }

// rewrite replaces all records with one. If the disk is full, it uses the reserved space.
func (j *journal) rewrite(record []byte) error {
	err := j.log.Rewrite(record)
	if isDiskFull(err) && j.storage.releaseReserve() {
		if err = j.log.Rewrite(record); err == nil {
			_ = j.storage.reserve() // best effort: the doctor command reports a full disk
		}
	}
	j.compactedSize = j.log.Size()
	return j.storage.stopOnSyncFailure(journalFile, err)
}

// needsCompaction reports whether the journal is larger than both compactionThreshold and compactionFactor times its size after the
// last compaction.
func (j *journal) needsCompaction() bool {
	return j.log.Size() > max(j.compactionThreshold, compactionFactor*j.compactedSize)
}

// appendSynced appends records and syncs them. If the disk is full and compact isn't nil, it calls compact and appends again.
func (j *journal) appendSynced(records [][]byte, compact func() error) error {
	started := j.host.Now()
	err := j.log.Append(records...)
	if isDiskFull(err) && compact != nil && j.log.Size() > minFullCompaction {
		if err = compact(); err == nil {
			err = j.log.Append(records...)
		}
	}
	if err == nil {
		err = j.log.Sync()
	}
	j.lastSyncTime = j.host.Now() - started
	return j.storage.stopOnSyncFailure(journalFile, err)
}
