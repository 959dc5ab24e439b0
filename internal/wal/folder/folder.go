// Package folder is the log file's disk on a real machine: one folder, or one owner's files in it, locked against a second process.
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

// Folder is a data folder, or one owner's part of it, held by this process alone until the process ends.
// Invariant: every file of it begins with prefix, so that owners with other prefixes share the folder and nothing in it.
type Folder struct {
	path   string
	prefix string
	lock   *os.File
	// linger is added to each sync, to rehearse a slow disk.
	syncDelay time.Duration
}

// Open makes and locks the folder. A second process on it is turned away. linger is added to each sync.
func Open(path string, syncDelay time.Duration) (*Folder, error) {
	return OpenShared(path, "", syncDelay)
}

// OpenShared makes the folder and locks an owner's part of it, where a machine has one folder for several programs. No folder
// is made inside it.
func OpenShared(path, owner string, syncDelay time.Duration) (*Folder, error) {
	prefix := ""
	if owner != "" {
		prefix = owner + "-"
	}
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, prefix+"lock"), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("data folder %s is held by another process: %w", path, err), lock.Close())
	}
	return &Folder{path: path, prefix: prefix, lock: lock, syncDelay: syncDelay}, nil
}

// Open opens or makes a file.
func (f *Folder) Open(name string) (wal.File, error) {
	file, err := os.OpenFile(filepath.Join(f.path, f.prefix+name), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, wrapDiskFull(err)
	}
	return &handle{file: file, syncDelay: f.syncDelay}, nil
}

// Rename moves a file over another.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, f.prefix+from), filepath.Join(f.path, f.prefix+to))
}

// Remove removes a file; a missing one is fine.
func (f *Folder) Remove(name string) error {
	if err := os.Remove(filepath.Join(f.path, f.prefix+name)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}

// SyncDirectory makes renames and removals last.
func (f *Folder) SyncDirectory() error {
	if f.syncDelay > 0 {
		time.Sleep(f.syncDelay)
	}
	directory, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// FreeBytes tells the bytes left.
func (f *Folder) FreeBytes() (uint64, error) {
	var status syscall.Statfs_t
	if err := syscall.Statfs(f.path, &status); err != nil {
		return 0, err
	}
	return status.Bavail * uint64(status.Bsize), nil
}

type handle struct {
	file      *os.File
	syncDelay time.Duration
}

func (h *handle) ReadAll() ([]byte, error) {
	if _, err := h.file.Seek(0, io.SeekStart); err != nil {
		return nil, err
	}
	return io.ReadAll(h.file)
}

func (h *handle) WriteAt(content []byte, offset int64) error {
	_, err := h.file.WriteAt(content, offset)
	return wrapDiskFull(err)
}

func (h *handle) Truncate(size int64) error { return h.file.Truncate(size) }

func (h *handle) Sync() error {
	if h.syncDelay > 0 {
		time.Sleep(h.syncDelay)
	}
	return h.file.Sync()
}

func (h *handle) Close() error { return h.file.Close() }

// full tells a disk, a quota or a file limit that is used up from other trouble.
func wrapDiskFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG) {
		return fmt.Errorf("%w: %w", wal.ErrDiskFull, err)
	}
	return err
}
