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
	linger time.Duration
}

// Open makes and locks the folder. A second process on it is turned away. linger is added to each sync.
func Open(path string, linger time.Duration) (*Folder, error) { return OpenShared(path, "", linger) }

// OpenShared makes the folder and locks an owner's part of it, where a machine has one folder for several programs. No folder
// is made inside it.
func OpenShared(path, owner string, linger time.Duration) (*Folder, error) {
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
	return &Folder{path: path, prefix: prefix, lock: lock, linger: linger}, nil
}

// Open opens or makes a file.
func (folder *Folder) Open(name string) (wal.File, error) {
	file, err := os.OpenFile(filepath.Join(folder.path, folder.prefix+name), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, full(err)
	}
	return &handle{file: file, linger: folder.linger}, nil
}

// Rename moves a file over another.
func (folder *Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(folder.path, folder.prefix+from), filepath.Join(folder.path, folder.prefix+to))
}

// Remove removes a file; a missing one is fine.
func (folder *Folder) Remove(name string) error {
	if err := os.Remove(filepath.Join(folder.path, folder.prefix+name)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}

// SyncFolder makes renames and removals last.
func (folder *Folder) SyncFolder() error {
	if folder.linger > 0 {
		time.Sleep(folder.linger)
	}
	directory, err := os.Open(folder.path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// Free tells the bytes left.
func (folder *Folder) Free() (uint64, error) {
	var status syscall.Statfs_t
	if err := syscall.Statfs(folder.path, &status); err != nil {
		return 0, err
	}
	return status.Bavail * uint64(status.Bsize), nil
}

type handle struct {
	file   *os.File
	linger time.Duration
}

func (handle *handle) ReadAll() ([]byte, error) {
	if _, err := handle.file.Seek(0, io.SeekStart); err != nil {
		return nil, err
	}
	return io.ReadAll(handle.file)
}

func (handle *handle) WriteAt(content []byte, offset int64) error {
	_, err := handle.file.WriteAt(content, offset)
	return full(err)
}

func (handle *handle) Truncate(size int64) error { return handle.file.Truncate(size) }

func (handle *handle) Sync() error {
	if handle.linger > 0 {
		time.Sleep(handle.linger)
	}
	return handle.file.Sync()
}

func (handle *handle) Close() error { return handle.file.Close() }

// full tells a disk, a quota or a file limit that is used up from other trouble.
func full(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG) {
		return fmt.Errorf("%w: %w", wal.ErrFull, err)
	}
	return err
}
