// Package folder implements wal.Disk with files of the operating system, in a directory of one program or in one that several
// programs (owners) share. A lock file excludes a second process of the same owner.
package folder

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"snowflow/internal/wal"
)

const (
	directoryMode = 0o700
	fileMode      = 0o600 // records hold the keys of tenants
	lockFile      = "lock"
)

// ErrLocked means that another process uses the directory, or the files of the same owner in it.
var ErrLocked = errors.New("folder: in use by another process")

// Folder is a data directory, or the files of one owner in it. This process has it locked until the process ends.
//
// Invariant: the name of each of its files starts with prefix, so owners with different prefixes share the directory but no file.
type Folder struct {
	path   string
	prefix string
	// lock is the open lock file. The lock lasts for as long as it is open.
	lock *os.File
	// syncDelay is added to the duration of each sync, to simulate a slow disk in a rehearsal.
	syncDelay time.Duration
}

// OpenShared creates a directory if it doesn't exist, and locks the files of one owner in it. Programs on one machine may share
// the directory under different owners; there are no subdirectories. The owner is empty if a program doesn't share its directory.
// It returns an ErrLocked error if another process uses the owner's files. syncDelay is added to each sync; it is zero except in
// rehearsals (cmd/rehearse).
func OpenShared(path, owner string, syncDelay time.Duration) (*Folder, error) {
	f := &Folder{path: path, syncDelay: syncDelay}
	if owner != "" {
		f.prefix = owner + "-"
	}
	if err := os.MkdirAll(path, directoryMode); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(f.filePath(lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%w: data folder %s: %w", ErrLocked, path, err), lock.Close())
	}
	f.lock = lock
	return f, nil
}

func (f *Folder) filePath(name string) string { return filepath.Join(f.path, f.prefix+name) }

// Open opens a file, creating it if it doesn't exist.
func (f *Folder) Open(name string) (wal.File, error) {
	opened, err := os.OpenFile(f.filePath(name), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, wrapDiskFull(err)
	}
	restrictPermissions(opened)
	return &file{File: opened, syncDelay: f.syncDelay}, nil
}

// restrictPermissions removes the access of other users to files of earlier builds, on file systems that support it.
func restrictPermissions(opened *os.File) {
	if info, err := opened.Stat(); err == nil && info.Mode().Perm() != fileMode {
		_ = opened.Chmod(fileMode)
	}
}

// Rename renames a file, replacing any file with the new name.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(f.filePath(from), f.filePath(to))
}

// Remove removes a file. A missing file is not an error.
func (f *Folder) Remove(name string) error {
	if err := os.Remove(f.filePath(name)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}

// SyncDirectory makes the creations, renames and removals of files before the call durable.
func (f *Folder) SyncDirectory() error {
	time.Sleep(f.syncDelay)
	directory, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// FreeBytes returns the free space of the file system that is available to this process.
func (f *Folder) FreeBytes() (uint64, error) {
	var status syscall.Statfs_t
	if err := syscall.Statfs(f.path, &status); err != nil {
		return 0, err
	}
	return status.Bavail * uint64(status.Bsize), nil
}

// file is an open file of a folder.
type file struct {
	*os.File
	syncDelay time.Duration
}

// ReadAll returns the complete content.
func (f *file) ReadAll() ([]byte, error) {
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		return nil, err
	}
	return io.ReadAll(f.File)
}

// WriteAt writes content at an offset. It returns a wal.ErrDiskFull error if there is no space for it.
func (f *file) WriteAt(content []byte, offset int64) error {
	_, err := f.File.WriteAt(content, offset)
	return wrapDiskFull(err)
}

// Sync makes the written data durable.
func (f *file) Sync() error {
	time.Sleep(f.syncDelay)
	return f.File.Sync()
}

// wrapDiskFull wraps wal.ErrDiskFull around errors for a full disk, an exceeded quota or an exceeded file size limit.
func wrapDiskFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG) {
		return fmt.Errorf("%w: %w", wal.ErrDiskFull, err)
	}
	return err
}
