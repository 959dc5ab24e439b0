package wal

import "errors"

// Disk is the data directory of one process. Names are file names without a path.
type Disk interface {
	// Open opens a file, creating it if it doesn't exist.
	Open(name string) (File, error)
	// Rename renames a file, replacing any file with the new name. The change is durable once SyncDirectory has returned nil.
	Rename(from, to string) error
	// Remove removes a file. A missing file is not an error. The change is durable once SyncDirectory has returned nil.
	Remove(name string) error
	// SyncDirectory makes the creations, renames and removals of files before the call durable.
	SyncDirectory() error
	// FreeBytes returns the free space. It is shown to operators.
	FreeBytes() (uint64, error)
}

// File is an open file. Written data is durable once Sync has returned nil.
type File interface {
	// ReadAll returns the complete content.
	ReadAll() ([]byte, error)
	// WriteAt writes content at an offset. It returns an ErrDiskFull error if there is no space for it.
	WriteAt(content []byte, offset int64) error
	// Truncate shortens the file to size bytes.
	Truncate(size int64) error
	// Sync makes the data written before the call durable. After an error the content on disk is unknown.
	Sync() error
	Close() error
}

var (
	// ErrDiskFull means that the disk is full, or that a quota or the file size limit is exceeded.
	ErrDiskFull = errors.New("wal: disk full")
	// ErrSyncFailed means that a sync of the log failed. The content of the file on disk is unknown, so this process can't use the log
	// any more.
	ErrSyncFailed = errors.New("wal: a sync failed")
	// ErrCorrupt means that a synced record is damaged. The content of the file can't be used.
	ErrCorrupt = errors.New("wal: a synced record is corrupt")
)
