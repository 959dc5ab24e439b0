package wal

import "errors"

// Disk is the one data folder of a process. Names are plain file names within it.
type Disk interface {
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDirectory() error
	// FreeBytes tells the bytes left, for the doctor and for early handover.
	FreeBytes() (uint64, error)
}

// File is one file. What was written lasts only once Sync has returned nil.
type File interface {
	ReadAll() ([]byte, error)
	WriteAt(content []byte, offset int64) error
	Truncate(size int64) error
	Sync() error
	Close() error
}

// ErrDiskFull marks a disk without room.
var ErrDiskFull = errors.New("wal: disk full")

// ErrSyncFailed marks a log whose sync failed: what it holds on disk is unknown, so it's not used again in this life.
var ErrSyncFailed = errors.New("wal: a sync failed, the file is not to be trusted")

// ErrCorrupt marks a file with damage before its synced end. The copy is to be discarded.
var ErrCorrupt = errors.New("wal: damage before the end of the file")
