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
	// errNoQuorum: the register could not be read or changed now. Whether the change took effect may be unknown.
	errNoQuorum = errors.New("replication: no quorum")
	// errRegisterChanged: the register holds another value than the one that was to be changed.
	errRegisterChanged = errors.New("replication: the register holds another value")
	// errBackupUnresponsive: a backup responded neither to a batch nor to a probe.
	errBackupUnresponsive = errors.New("no response to a batch and a probe")
	// errReplicaOverwritten: another primary has written to this member's replica.
	errReplicaOverwritten = errors.New("another primary wrote to this replica")
	// errRecordOutOfOrder: a journal has a record that doesn't follow the one before it.
	errRecordOutOfOrder = errors.New("record out of order")
)

// Reasons for which a replica rejects entries or a snapshot. They are sent as the Reason of a response, and reasonClockAhead
// is compared by the primary, so the texts stay as they are.
const (
	reasonOtherReplica     = "another copy"
	reasonOlderEpoch       = "an older epoch"
	reasonPositionMismatch = "not in step"
	reasonClockAhead       = "holder time is ahead of what passed here"
)

// Reasons for which a member stops leading or drops a backup, for the event log.
const (
	reasonNewerEpoch        = "a newer epoch began"
	reasonNoQuorumForBackup = "no quorum for a new backup"
	reasonNewerPrimary      = "a newer primary wrote to this replica"
	reasonLocalDiskSlow     = "own disk is slow"
	reasonLocalDiskFailed   = "own disk: " // the error follows
	reasonBackupDiskSlow    = "its disk is slow"
	reasonPreferredBackup   = "another backup is preferred"
	reasonBackupLeaving     = "it is shutting down"
)

func isCorrupt(err error) bool { return errors.Is(err, wal.ErrCorrupt) }

func isSyncFailure(err error) bool { return errors.Is(err, wal.ErrSyncFailed) }

func isDiskFull(err error) bool { return errors.Is(err, wal.ErrDiskFull) }
