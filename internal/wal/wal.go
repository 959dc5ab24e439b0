package wal

import (
	"errors"
	"fmt"
)

const (
	// rewriteSuffix is added to a file's name while it is rewritten.
	rewriteSuffix = ".new"
	// reserveFile is the file of ReserveSpace.
	reserveFile = "reserve"
)

// Log is an append-only file of records. It isn't safe for concurrent use.
//
// Invariants: the records on disk are numbered without gaps from 1; syncedNumber <= lastNumber; size is the offset after the last record.
type Log struct {
	disk Disk
	name string
	file File
	size int64
	// lastNumber and syncedNumber are the numbers of the last record written, and of the last one known to be synced.
	lastNumber, syncedNumber uint64
	// syncFailed is set once the log can't be used any more: a sync failed, or what the file holds is unknown for another reason.
	syncFailed bool
	// TruncatedBytes is the length of a torn tail that Open cut off.
	TruncatedBytes int64
}

// Open opens a log, creates it if there is none, and calls visit with the payload of each record, oldest first. It returns an
// ErrCorrupt error if a synced record is damaged or visit fails.
func Open(disk Disk, name string, visit func(payload []byte) error) (*Log, error) {
	// An interrupted rewrite leaves a file that nothing depended on.
	if err := disk.Remove(name + rewriteSuffix); err != nil {
		return nil, err
	}
	file, err := disk.Open(name)
	if err != nil {
		return nil, err
	}
	l := &Log{disk: disk, name: name, file: file}
	content, err := file.ReadAll()
	if err != nil {
		return nil, err
	}
	if err := l.replay(content, visit); err != nil {
		return nil, err
	}
	if l.TruncatedBytes > 0 {
		if err := file.Truncate(l.size); err != nil {
			return nil, err
		}
	}
	// What was read may not have been synced before the process ended.
	if err := errors.Join(file.Sync(), disk.SyncDirectory()); err != nil {
		return nil, err
	}
	l.syncedNumber = l.lastNumber
	return l, nil
}

// replay visits the records of a file's content, and sets size, lastNumber and TruncatedBytes.
func (l *Log) replay(content []byte, visit func(payload []byte) error) error {
	for l.size < int64(len(content)) {
		r, valid := decodeRecord(content[l.size:])
		if !valid || r.number != l.lastNumber+1 {
			if hasSyncedRecordAfter(content[l.size:], l.lastNumber) {
				return fmt.Errorf("%w: %s at byte %d", ErrCorrupt, l.name, l.size)
			}
			l.TruncatedBytes = int64(len(content)) - l.size
			return nil
		}
		if err := visit(r.payload); err != nil {
			return fmt.Errorf("%w: %s at byte %d: %w", ErrCorrupt, l.name, l.size, err)
		}
		l.lastNumber = r.number
		l.size += r.size()
	}
	return nil
}

// Append writes records after the last one. They are durable once Sync has returned nil. After an error, ErrDiskFull for one, the
// log is as it was before; if a part that was written can't be removed, every later use fails with ErrSyncFailed.
func (l *Log) Append(payloads ...[]byte) error {
	if l.syncFailed {
		return ErrSyncFailed
	}
	var content []byte
	for index, payload := range payloads {
		content = record{number: l.lastNumber + 1 + uint64(index), synced: l.syncedNumber, payload: payload}.appendTo(content)
	}
	if err := l.file.WriteAt(content, l.size); err != nil {
		// A part may have been written. It is truncated, so that the next append follows the last record.
		if truncateErr := l.file.Truncate(l.size); truncateErr != nil {
			l.syncFailed = true
		}
		return err
	}
	l.size += int64(len(content))
	l.lastNumber += uint64(len(payloads))
	return nil
}

// Sync makes all records that were appended durable. If it fails, it returns an ErrSyncFailed error, and so does every later use.
func (l *Log) Sync() error {
	if l.syncFailed {
		return ErrSyncFailed
	}
	last := l.lastNumber
	if err := l.file.Sync(); err != nil {
		l.syncFailed = true
		return fmt.Errorf("%w: %w", ErrSyncFailed, err)
	}
	l.syncedNumber = last
	return nil
}

// Size returns the length of the file in bytes.
func (l *Log) Size() int64 { return l.size }

// Rewrite replaces the file by one with these records alone. It is atomic: after a crash the file has either the old records or
// the new ones. After any error but ErrSyncFailed the log can be used as before.
func (l *Log) Rewrite(payloads ...[]byte) error {
	if l.syncFailed {
		return ErrSyncFailed
	}
	rewritten := l.name + rewriteSuffix
	if err := l.disk.Remove(rewritten); err != nil {
		return err
	}
	file, err := l.disk.Open(rewritten)
	if err != nil {
		return err
	}
	var content []byte
	for index, payload := range payloads {
		content = record{number: uint64(index + 1), payload: payload}.appendTo(content)
	}
	if err := errors.Join(file.WriteAt(content, 0), file.Sync()); err != nil {
		return errors.Join(err, file.Close(), l.disk.Remove(rewritten))
	}
	// After an error from here on it's unknown which of the two files has the name, so the log can't be used any more.
	if err := errors.Join(l.disk.Rename(rewritten, l.name), l.disk.SyncDirectory()); err != nil {
		l.syncFailed = true
		return fmt.Errorf("%w: %w", ErrSyncFailed, err)
	}
	previous := l.file
	count := uint64(len(payloads))
	l.file, l.size, l.lastNumber, l.syncedNumber = file, int64(len(content)), count, count
	return previous.Close()
}

// Close closes the file.
func (l *Log) Close() error { return l.file.Close() }

// Recreate removes a corrupt log and opens an empty one in its place.
func Recreate(disk Disk, name string) (*Log, error) {
	if err := errors.Join(disk.Remove(name), disk.SyncDirectory()); err != nil {
		return nil, err
	}
	return Open(disk, name, func([]byte) error { return nil })
}

// ReserveSpace keeps a file of this many bytes, which ReleaseReservedSpace removes when the disk is full and a rewrite has to
// fit.
func ReserveSpace(disk Disk, size int) error {
	file, err := disk.Open(reserveFile)
	if err != nil {
		return err
	}
	present, err := file.ReadAll()
	if err == nil && len(present) < size {
		err = file.WriteAt(make([]byte, size), 0)
	}
	return errors.Join(err, file.Sync(), file.Close())
}

// ReleaseReservedSpace returns the reserved space to the disk.
func ReleaseReservedSpace(disk Disk) error {
	return errors.Join(disk.Remove(reserveFile), disk.SyncDirectory())
}
