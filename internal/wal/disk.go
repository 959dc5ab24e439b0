package wal

import "errors"

// Disk is the data directory of one process. Names are plain file names in it.
type Disk interface {
	// Open opens a file, and creates it if there is none.
	Open(name string) (File, error)
	// Rename moves a file, and replaces a file of the new name. The change is durable once SyncDirectory has returned nil.
	Rename(from, to string) error
	// Remove removes a file. A missing file is no error. The change is durable once SyncDirectory has returned nil.
	Remove(name string) error
	// SyncDirectory makes durable which files were created, renamed and removed before the call.
	SyncDirectory() error
	// FreeBytes returns the space left. It is shown to operators.
	FreeBytes() (uint64, error)
}

// File is one open file. What was written is durable once Sync has returned nil.
type File interface {
	// ReadAll returns the complete content.
	ReadAll() ([]byte, error)
	// WriteAt writes at an offset. It returns an ErrDiskFull error if the content doesn't fit.
	WriteAt(content []byte, offset int64) error
	// Truncate cuts the file to this many bytes.
	Truncate(size int64) error
	// Sync makes what was written before the call durable. After an error, what the disk holds is unknown.
	Sync() error
	Close() error
}

var (
	// ErrDiskFull means that the disk, a quota or a file size limit is used up.
	ErrDiskFull = errors.New("wal: disk full")
	// ErrSyncFailed means that a sync of the log failed. What the file holds on disk is unknown, so this process can't use the log any
	// more.
	ErrSyncFailed = errors.New("wal: a sync failed")
	// ErrCorrupt means that the file is damaged before its synced end. Its content can't be used.
	ErrCorrupt = errors.New("wal: corrupt record before the synced end")
)
