// Package memory is a disk for simulated runs and tests: it loses what was not synced, fills up, slows down and fails.
package memory

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/wal"
)

// Disk is one simulated folder.
//
// Invariants: durable holds what a power loss leaves, content what the process sees; a rename or removal is only
// durable after SyncDirectory; used counts content's bytes.
type Disk struct {
	files map[string]*file
	// folder is the durable directory: names to files.
	durableFiles map[string]*file
	// Capacity bounds the bytes, zero for no bound.
	Capacity int
	// SyncDelay is how long a sync takes; Wait is called with it.
	SyncDelay monotonic.Micros
	Sleep     func(monotonic.Micros)
	// FailSyncs makes the next syncs fail.
	FailSyncs int
	// Renames counts how often a file took another's place.
	Renames int
	// IgnoreSyncs makes syncs do nothing while saying that they did; it's there to show that checkers see it.
	IgnoreSyncs bool
	// TornLength is called at a power loss with the unsynced tail's length, and gives how much of it lasts.
	TornLength func(length int) int
}

type file struct {
	content []byte
	durable []byte
}

// New makes an empty disk.
func New() *Disk {
	return &Disk{files: map[string]*file{}, durableFiles: map[string]*file{}, Sleep: func(monotonic.Micros) {}, TornLength: func(int) int { return 0 }}
}

// PowerLoss leaves only what was synced, and perhaps a part of an unsynced tail.
func (d *Disk) PowerLoss() {
	d.files = map[string]*file{}
	// By name: Tear draws from the run's chance, and a replay must draw in the same order.
	for _, name := range slices.Sorted(maps.Keys(d.durableFiles)) {
		stored := d.durableFiles[name]
		content := append([]byte(nil), stored.durable...)
		if tail := len(stored.content) - len(stored.durable); tail > 0 && len(stored.durable) <= len(stored.content) {
			content = append(content, stored.content[len(stored.durable):len(stored.durable)+d.TornLength(tail)]...)
		}
		d.files[name] = &file{content: content, durable: append([]byte(nil), content...)}
		d.durableFiles[name] = d.files[name]
	}
}

// Wipe empties the disk.
func (d *Disk) Wipe() {
	d.files, d.durableFiles = map[string]*file{}, map[string]*file{}
}

// Corrupt flips a byte of a file where it lies.
func (d *Disk) Corrupt(name string, offset int) {
	if existing := d.files[name]; existing != nil && offset < len(existing.content) {
		existing.content[offset] ^= 0x55
		if offset < len(existing.durable) {
			existing.durable[offset] ^= 0x55
		}
	}
}

// Size is a file's length, as the process sees it.
func (d *Disk) Size(name string) int {
	if existing := d.files[name]; existing != nil {
		return len(existing.content)
	}
	return 0
}

func (d *Disk) used() (total int) {
	for _, existing := range d.files {
		total += len(existing.content)
	}
	return total
}

// Open opens or makes a file.
func (d *Disk) Open(name string) (wal.File, error) {
	if d.files[name] == nil {
		d.files[name] = &file{}
	}
	return &handle{disk: d, file: d.files[name]}, nil
}

// Rename moves a file over another.
func (d *Disk) Rename(from, to string) error {
	if d.files[from] == nil {
		return fmt.Errorf("no file %s", from)
	}
	d.Renames++
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// Remove removes a file; a missing one is fine.
func (d *Disk) Remove(name string) error {
	delete(d.files, name)
	return nil
}

// SyncDirectory makes names last.
func (d *Disk) SyncDirectory() error {
	if err := d.sync(); err != nil {
		return err
	}
	d.durableFiles = map[string]*file{}
	for name, existing := range d.files {
		d.durableFiles[name] = existing
	}
	return nil
}

// FreeBytes tells the bytes left.
func (d *Disk) FreeBytes() (uint64, error) {
	if d.Capacity == 0 {
		return 1 << 40, nil
	}
	return uint64(max(0, d.Capacity-d.used())), nil
}

func (d *Disk) sync() error {
	d.Sleep(d.SyncDelay)
	if d.FailSyncs > 0 {
		d.FailSyncs--
		return errors.New("input/output error")
	}
	return nil
}

type handle struct {
	disk *Disk
	file *file
}

func (h *handle) ReadAll() ([]byte, error) {
	return append([]byte(nil), h.file.content...), nil
}

func (h *handle) WriteAt(content []byte, offset int64) error {
	growth := int(offset) + len(content) - len(h.file.content)
	if growth > 0 && h.disk.Capacity > 0 && h.disk.used()+growth > h.disk.Capacity {
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
	snapshot := append([]byte(nil), h.file.content...)
	if err := h.disk.sync(); err != nil {
		return err
	}
	if h.disk.IgnoreSyncs {
		return nil
	}
	h.file.durable = snapshot
	return nil
}

func (h *handle) Close() error { return nil }

// Used tells how many bytes the disk holds.
func (d *Disk) Used() int { return d.used() }
