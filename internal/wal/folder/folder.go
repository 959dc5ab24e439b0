// Package folder implements wal.Disk on a real machine: one directory, or one owner's files in a directory that several programs
// share. It is locked against a second process.
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

// ErrLocked means that another process uses the directory, or the same owner's files in it.
var ErrLocked = errors.New("folder: in use by another process")

// Folder is a data directory, or one owner's files in it. It is locked by this process until the process ends.
//
// Invariant: the name of each of its files begins with prefix, so that owners with other prefixes share the directory and no
// file in it.
type Folder struct {
	path   string
	prefix string
	// lock holds the lock for as long as it is open.
	lock *os.File
	// syncDelay is added to each sync, to rehearse a slow disk.
	syncDelay time.Duration
}

// OpenShared creates a directory and locks one owner's files in it, for a machine where several programs share one directory. It
// creates no directory inside it. An empty owner is a program that has the directory to itself. It returns an ErrLocked error if
// another process has the owner's files. syncDelay is added to each sync; it is zero except in rehearsals.
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

// Open opens a file, and creates it if there is none.
func (f *Folder) Open(name string) (wal.File, error) {
	opened, err := os.OpenFile(f.filePath(name), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, wrapDiskFull(err)
	}
	restrictPermissions(opened)
	return &file{File: opened, syncDelay: f.syncDelay}, nil
}

// restrictPermissions takes a file of an earlier build away from other users, on file systems that can.
func restrictPermissions(opened *os.File) {
	if info, err := opened.Stat(); err == nil && info.Mode().Perm() != fileMode {
		_ = opened.Chmod(fileMode)
	}
}

// Rename moves a file, and replaces a file of the new name.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(f.filePath(from), f.filePath(to))
}

// Remove removes a file. A missing file is no error.
func (f *Folder) Remove(name string) error {
	if err := os.Remove(f.filePath(name)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}

// SyncDirectory makes durable which files were created, renamed and removed before the call.
func (f *Folder) SyncDirectory() error {
	time.Sleep(f.syncDelay)
	directory, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// FreeBytes returns the space that this process may still use on the file system.
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

// ReadAll returns the whole content.
func (f *file) ReadAll() ([]byte, error) {
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		return nil, err
	}
	return io.ReadAll(f.File)
}

// WriteAt writes at an offset. It returns a wal.ErrDiskFull error if the content doesn't fit.
func (f *file) WriteAt(content []byte, offset int64) error {
	_, err := f.File.WriteAt(content, offset)
	return wrapDiskFull(err)
}

// Sync makes what was written durable.
func (f *file) Sync() error {
	time.Sleep(f.syncDelay)
	return f.File.Sync()
}

// wrapDiskFull wraps wal.ErrDiskFull around an error that says that a disk, a quota or a file size limit is used up.
func wrapDiskFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG) {
		return fmt.Errorf("%w: %w", wal.ErrDiskFull, err)
	}
	return err
}
