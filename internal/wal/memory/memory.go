// Package memory implements wal.Disk in memory, for simulated runs and tests. A power loss drops what was not synced; the disk
// can fill up, be slow, fail and be damaged.
package memory

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/wal"
)

// unlimitedBytes is reported as free by a disk without a capacity.
const unlimitedBytes = 1 << 40

// errSyncFailed is what a sync returns that was made to fail.
var errSyncFailed = errors.New("input/output error")

// Disk is one simulated data directory. It isn't safe for concurrent use.
//
// Invariants: durableFiles and the durable content of each file are what a power loss leaves; files and their content are what
// the process sees. Files created, renamed and removed become durable by SyncDirectory.
type Disk struct {
	files        map[string]*file
	durableFiles map[string]*file
	// Capacity limits the bytes of all files. Zero is no limit.
	Capacity int
	// SyncDelay is how long a sync takes. Sleep is called with it.
	SyncDelay monotonic.Micros
	Sleep     func(monotonic.Micros)
	// FailSyncs is how many of the next syncs fail.
	FailSyncs int
	// Renames counts the calls of Rename.
	Renames int
	// IgnoreSyncs makes syncs return nil without effect, to show that the checkers detect it.
	IgnoreSyncs bool
	// SurvivingLength is called at a power loss with the length of a file's unsynced tail, and returns how much of it survives.
	SurvivingLength func(length int) int
}

// file is one file: what the process sees of it, and what a power loss leaves.
type file struct {
	content []byte
	durable []byte
}

// New returns an empty disk without a capacity or delay. A power loss leaves nothing of unsynced tails.
func New() *Disk {
	return &Disk{
		files:           map[string]*file{},
		durableFiles:    map[string]*file{},
		Sleep:           func(monotonic.Micros) {},
		SurvivingLength: func(int) int { return 0 },
	}
}

// PowerLoss leaves only what was synced, and perhaps a part of each unsynced tail.
func (d *Disk) PowerLoss() {
	d.files = map[string]*file{}
	// In the order of names: TornLength draws random numbers, and a replay must draw them in the same order.
	for _, name := range slices.Sorted(maps.Keys(d.durableFiles)) {
		lost := d.durableFiles[name]
		content := slices.Clone(lost.durable)
		if tail := len(lost.content) - len(lost.durable); tail > 0 {
			content = append(content, lost.content[len(lost.durable):len(lost.durable)+d.SurvivingLength(tail)]...)
		}
		d.files[name] = &file{content: content, durable: slices.Clone(content)}
		d.durableFiles[name] = d.files[name]
	}
}

// Wipe empties the disk.
func (d *Disk) Wipe() {
	d.files, d.durableFiles = map[string]*file{}, map[string]*file{}
}

// Corrupt changes a byte of a file. It does nothing if there is no such byte.
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

// Size returns the length of a file as the process sees it, zero if there is none.
func (d *Disk) Size(name string) int {
	if existing := d.files[name]; existing != nil {
		return len(existing.content)
	}
	return 0
}

// Used returns the bytes of all files.
func (d *Disk) Used() (total int) {
	for _, existing := range d.files {
		total += len(existing.content)
	}
	return total
}

// Open opens a file, and creates it if there is none.
func (d *Disk) Open(name string) (wal.File, error) {
	if d.files[name] == nil {
		d.files[name] = &file{}
	}
	return &handle{disk: d, file: d.files[name]}, nil
}

// Rename moves a file, and replaces a file of the new name.
func (d *Disk) Rename(from, to string) error {
	if d.files[from] == nil {
		return fmt.Errorf("no file %s", from)
	}
	d.Renames++
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// Remove removes a file. A missing file is no error.
func (d *Disk) Remove(name string) error {
	delete(d.files, name)
	return nil
}

// SyncDirectory makes files created, renamed and removed before the call durable.
func (d *Disk) SyncDirectory() error {
	if err := d.sync(); err != nil {
		return err
	}
	d.durableFiles = maps.Clone(d.files)
	return nil
}

// FreeBytes returns the bytes left.
func (d *Disk) FreeBytes() (uint64, error) {
	if d.Capacity == 0 {
		return unlimitedBytes, nil
	}
	return uint64(max(0, d.Capacity-d.Used())), nil
}

// sync takes the time of a sync, and fails if one is to fail.
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
	// What is written while the sync runs is not part of it.
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
