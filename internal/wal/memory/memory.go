// Package memory implements wal.Disk in memory, for simulations and tests. It can simulate a power loss, which drops data that was
// not synced, a full or slow disk, failed syncs and corruption.
package memory

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/wal"
)

// unlimitedBytes is the free space that a disk without a capacity reports.
const unlimitedBytes = 1 << 40

// errSyncFailed is returned by the syncs that FailSyncs makes fail.
var errSyncFailed = errors.New("input/output error")

// Disk is a simulated data directory. It isn't safe for concurrent use.
//
// Invariants: files and their content are what the process sees; durableFiles and the durable content of each file are what
// remains after a power loss. SyncDirectory makes the creation, renaming and removal of files durable.
type Disk struct {
	files        map[string]*file
	durableFiles map[string]*file
	// Capacity is the maximum total size of all files in bytes. Zero means no limit.
	Capacity int
	// SyncDelay is the duration of a sync, which is passed to Sleep.
	SyncDelay monotonic.Micros
	Sleep     func(monotonic.Micros)
	// FailSyncs is the number of upcoming syncs that fail.
	FailSyncs int
	// Renames counts the calls of Rename.
	Renames int
	// IgnoreSyncs makes syncs of files return nil without effect, to show that the checkers detect the loss of data.
	IgnoreSyncs bool
	// SurvivingLength is called at a power loss with the length of a file's unsynced tail, and returns how many bytes of it remain.
	SurvivingLength func(length int) int
}

// file is a file's content as the process sees it, and as it remains after a power loss.
type file struct {
	content []byte
	durable []byte
}

// New returns an empty disk without a capacity limit or delay, on which no unsynced tail survives a power loss.
func New() *Disk {
	return &Disk{
		files:           map[string]*file{},
		durableFiles:    map[string]*file{},
		Sleep:           func(monotonic.Micros) {},
		SurvivingLength: func(int) int { return 0 },
	}
}

// PowerLoss drops all data and file names that were not synced, except for the part of each unsynced tail that SurvivingLength keeps.
func (d *Disk) PowerLoss() {
	d.files = map[string]*file{}
	// In the order of names: SurvivingLength draws random numbers, and a replay must draw them in the same order.
	for _, name := range slices.Sorted(maps.Keys(d.durableFiles)) {
		before := d.durableFiles[name]
		content := slices.Clone(before.durable)
		if tail := len(before.content) - len(before.durable); tail > 0 {
			content = append(content, before.content[len(before.durable):len(before.durable)+d.SurvivingLength(tail)]...)
		}
		d.files[name] = &file{content: content, durable: slices.Clone(content)}
		d.durableFiles[name] = d.files[name]
	}
}

// Wipe removes all files, also from what remains after a power loss.
func (d *Disk) Wipe() {
	d.files, d.durableFiles = map[string]*file{}, map[string]*file{}
}

// Corrupt changes a byte of a file, also on disk. It does nothing if there is no such byte.
func (d *Disk) Corrupt(name string, offset int) {
	existing := d.files[name]
	if existing == nil || offset >= len(existing.content) {
		return
	}
	existing.content[offset] ^= 0x55
	if offset < len(existing.durable) {
		existing.durable[offset] ^= 0x55
	}
}

// Size returns the length of a file as the process sees it, or zero if it doesn't exist.
func (d *Disk) Size(name string) int {
	if existing := d.files[name]; existing != nil {
		return len(existing.content)
	}
	return 0
}

// Used returns the total size of all files in bytes.
func (d *Disk) Used() (total int) {
	for _, existing := range d.files {
		total += len(existing.content)
	}
	return total
}

// Open opens a file, creating it if it doesn't exist.
func (d *Disk) Open(name string) (wal.File, error) {
	if d.files[name] == nil {
		d.files[name] = &file{}
	}
	return &handle{disk: d, file: d.files[name]}, nil
}

// Rename renames a file, replacing any file with the new name.
func (d *Disk) Rename(from, to string) error {
	if d.files[from] == nil {
		return fmt.Errorf("file %q does not exist", from)
	}
	d.Renames++
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// Remove removes a file. A missing file is not an error.
func (d *Disk) Remove(name string) error {
	delete(d.files, name)
	return nil
}

// SyncDirectory makes the creations, renames and removals of files before the call durable.
func (d *Disk) SyncDirectory() error {
	if err := d.sync(); err != nil {
		return err
	}
	d.durableFiles = maps.Clone(d.files)
	return nil
}

// FreeBytes returns the free space in bytes.
func (d *Disk) FreeBytes() (uint64, error) {
	if d.Capacity == 0 {
		return unlimitedBytes, nil
	}
	return uint64(max(0, d.Capacity-d.Used())), nil
}

// sync waits for the duration of a sync, and fails if FailSyncs isn't zero.
func (d *Disk) sync() error {
	d.Sleep(d.SyncDelay)
	if d.FailSyncs > 0 {
		d.FailSyncs--
		return errSyncFailed
	}
	return nil
}

// handle is an open file.
type handle struct {
	disk *Disk
	file *file
}

func (h *handle) ReadAll() ([]byte, error) {
	return slices.Clone(h.file.content), nil
}

func (h *handle) WriteAt(content []byte, offset int64) error {
	growth := int(offset) + len(content) - len(h.file.content)
	if growth > 0 && h.disk.Capacity > 0 && h.disk.Used()+growth > h.disk.Capacity {
		return wal.ErrDiskFull
	}
	if growth > 0 {
		h.file.content = append(h.file.content, make([]byte, growth)...)
	}
	copy(h.file.content[offset:], content)
	return nil
}

func (h *handle) Truncate(size int64) error {
	h.file.content = h.file.content[:size]
	return nil
}

func (h *handle) Sync() error {
	// Data written during the sync isn't covered by it.
	synced := slices.Clone(h.file.content)
	if err := h.disk.sync(); err != nil {
		return err
	}
	if !h.disk.IgnoreSyncs {
		h.file.durable = synced
	}
	return nil
}

func (h *handle) Close() error { return nil }
