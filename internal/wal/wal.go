package wal

import (
	"errors"
	"fmt"
)

const (
	// rewriteSuffix is appended to a log's name to get the name of the file that Rewrite writes.
	rewriteSuffix = ".new"
	// reserveFile is the name of the file that ReserveSpace creates.
	reserveFile = "reserve"
)

// Log is an append-only file of records. It isn't safe for concurrent use.
//
// Invariants: the records in the file are numbered from 1 without gaps; syncedNumber <= lastNumber; size is the offset after the
// last record.
type Log struct {
	disk Disk
	name string
	file File
	size int64
	// lastNumber is the number of the last record written, syncedNumber that of the last record known to be synced.
	lastNumber, syncedNumber uint64
	// syncFailed is set once the log is unusable, because a sync failed or the content of the file is unknown for another reason.
	syncFailed bool
	// TruncatedBytes is the length of the torn tail that Open truncated.
	TruncatedBytes int64
}

// Open opens a log, creating it if it doesn't exist, and calls visit with the payload of each record, oldest first. It returns an
// ErrCorrupt error if a synced record is damaged or visit fails.
func Open(disk Disk, name string, visit func(payload []byte) error) (*Log, error) {
	// Nothing depends on the file of an interrupted rewrite.
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
	// The previous process may have ended before it synced the records just read.
	if err := errors.Join(file.Sync(), disk.SyncDirectory()); err != nil {
		return nil, err
	}
	l.syncedNumber = l.lastNumber
	return l, nil
}

// replay calls visit with the payload of each record in content, and sets size, lastNumber and TruncatedBytes.
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

// Append writes records after the last one. They are durable once Sync has returned nil. After an error such as ErrDiskFull the
// log is unchanged. If a partial write can't be truncated, every later use fails with ErrSyncFailed.
func (l *Log) Append(payloads ...[]byte) error {
	if l.syncFailed {
		return ErrSyncFailed
	}
	var content []byte
	for index, payload := range payloads {
		content = record{number: l.lastNumber + 1 + uint64(index), synced: l.syncedNumber, payload: payload}.appendTo(content)
	}
	if err := l.file.WriteAt(content, l.size); err != nil {
		// Remove a partial write, so that the next append follows the last record.
		if truncateErr := l.file.Truncate(l.size); truncateErr != nil {
			l.syncFailed = true
		}
		return err
	}
	l.size += int64(len(content))
	l.lastNumber += uint64(len(payloads))
	return nil
}

// Sync makes all appended records durable. If it fails, it and every later use of the log return an ErrSyncFailed error.
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

// Rewrite replaces the file by one with only the given records. It is atomic: after a crash the file has either the old or the
// new records. After any error except ErrSyncFailed the log is still usable.
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
	// If this fails it is unknown which of the two files has the log's name, so the log is unusable.
	if err := errors.Join(l.disk.Rename(rewritten, l.name), l.disk.SyncDirectory()); err != nil {
		l.syncFailed = true
		return fmt.Errorf("%w: %w", ErrSyncFailed, err)
	}
	previous := l.file
	count := uint64(len(payloads))
	l.file, l.size, l.lastNumber, l.syncedNumber = file, int64(len(content)), count, count
	return previous.Close()
}

// Close closes the file without a sync.
func (l *Log) Close() error { return l.file.Close() }

// Recreate removes a corrupt log and opens an empty one in its place.
func Recreate(disk Disk, name string) (*Log, error) {
	if err := errors.Join(disk.Remove(name), disk.SyncDirectory()); err != nil {
		return nil, err
	}
	return Open(disk, name, func([]byte) error { return nil })
}

// ReserveSpace creates a file of at least size bytes. When the disk is full, ReleaseReservedSpace removes it to make room for a
// rewrite.
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

// ReleaseReservedSpace removes the file that ReserveSpace created.
func ReleaseReservedSpace(disk Disk) error {
	return errors.Join(disk.Remove(reserveFile), disk.SyncDirectory())
}
