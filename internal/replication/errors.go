package replication

import (
	"errors"

	"snowflow/internal/wal"
)

// Errors of a proposed command.
var (
	// ErrNotPrimary means that the command was not accepted; it has not been and will not be applied.
	ErrNotPrimary = errors.New("replication: not the primary")
	// ErrUnknown means that the command may be applied, now or later.
	ErrUnknown = errors.New("replication: outcome unknown")
)

var (
	// errNoQuorum means that the register could not be read or changed. Whether the change took effect may be unknown.
	errNoQuorum = errors.New("replication: no quorum")
	// errRegisterChanged means that the register no longer holds the value that was to be changed.
	errRegisterChanged = errors.New("replication: the register holds another value")
	// errBackupUnresponsive means that a backup responded neither to a batch nor to a probe.
	errBackupUnresponsive = errors.New("no response to a batch or to a probe")
	// errReplicaOverwritten means that another primary has written to this member's replica.
	errReplicaOverwritten = errors.New("another primary wrote to this replica")
	// errRecordOutOfOrder means that a journal has a record that doesn't follow the one before it.
	errRecordOutOfOrder = errors.New("record out of order")
)

// Reasons for which a replica rejects entries or a snapshot. They are sent in the Reason field of a response, and a primary compares
// that field with reasonClockAhead, so the texts must not change.
const (
	reasonOtherReplica     = "another copy"
	reasonOlderEpoch       = "an older epoch"
	reasonPositionMismatch = "not in step"
	reasonClockAhead       = "holder time is ahead of what passed here"
)

// Reasons for which a member stops leading or drops a backup, as reported in events.
const (
	reasonNewerEpoch        = "a newer epoch began"
	reasonNoQuorumForBackup = "no quorum for a new backup"
	reasonNewerPrimary      = "a newer primary wrote to this replica"
	reasonLocalDiskSlow     = "local disk is slow"
	reasonLocalDiskFailed   = "local disk failed: " // the error follows
	reasonBackupDiskSlow    = "its disk is slow"
	reasonPreferredBackup   = "another backup is preferred"
	reasonBackupLeaving     = "it is shutting down"
)

func isCorrupt(err error) bool { return errors.Is(err, wal.ErrCorrupt) }

func isSyncFailure(err error) bool { return errors.Is(err, wal.ErrSyncFailed) }

func isDiskFull(err error) bool { return errors.Is(err, wal.ErrDiskFull) }
