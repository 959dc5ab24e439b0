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
// durable after SyncFolder; used counts content's bytes.
type Disk struct {
	files map[string]*file
	// folder is the durable directory: names to files.
	folder map[string]*file
	// Capacity bounds the bytes, zero for no bound.
	Capacity int
	// Delay is how long a sync takes; Wait is called with it.
	Delay monotonic.Micros
	Wait  func(monotonic.Micros)
	// FailSyncs makes the next syncs fail.
	FailSyncs int
	// Renames counts how often a file took another's place.
	Renames int
	// IgnoreSyncs makes syncs do nothing while saying that they did; it's there to show that checkers see it.
	IgnoreSyncs bool
	// Tear is called at a power loss with the unsynced tail's length, and gives how much of it lasts.
	Tear func(length int) int
}

type file struct {
	content []byte
	durable []byte
}

// New makes an empty disk.
func New() *Disk {
	return &Disk{files: map[string]*file{}, folder: map[string]*file{}, Wait: func(monotonic.Micros) {}, Tear: func(int) int { return 0 }}
}

// PowerLoss leaves only what was synced, and perhaps a part of an unsynced tail.
func (disk *Disk) PowerLoss() {
	disk.files = map[string]*file{}
	// By name: Tear draws from the run's chance, and a replay must draw in the same order.
	for _, name := range slices.Sorted(maps.Keys(disk.folder)) {
		kept := disk.folder[name]
		content := append([]byte(nil), kept.durable...)
		if tail := len(kept.content) - len(kept.durable); tail > 0 && len(kept.durable) <= len(kept.content) {
			content = append(content, kept.content[len(kept.durable):len(kept.durable)+disk.Tear(tail)]...)
		}
		disk.files[name] = &file{content: content, durable: append([]byte(nil), content...)}
		disk.folder[name] = disk.files[name]
	}
}

// Lose empties the disk.
func (disk *Disk) Lose() {
	disk.files, disk.folder = map[string]*file{}, map[string]*file{}
}

// Damage flips a byte of a file where it lies.
func (disk *Disk) Damage(name string, offset int) {
	if present := disk.files[name]; present != nil && offset < len(present.content) {
		present.content[offset] ^= 0x55
		if offset < len(present.durable) {
			present.durable[offset] ^= 0x55
		}
	}
}

// Size is a file's length, as the process sees it.
func (disk *Disk) Size(name string) int {
	if present := disk.files[name]; present != nil {
		return len(present.content)
	}
	return 0
}

func (disk *Disk) used() (total int) {
	for _, present := range disk.files {
		total += len(present.content)
	}
	return total
}

// Open opens or makes a file.
func (disk *Disk) Open(name string) (wal.File, error) {
	if disk.files[name] == nil {
		disk.files[name] = &file{}
	}
	return &handle{disk: disk, file: disk.files[name]}, nil
}

// Rename moves a file over another.
func (disk *Disk) Rename(from, to string) error {
	if disk.files[from] == nil {
		return fmt.Errorf("no file %s", from)
	}
	disk.Renames++
	disk.files[to] = disk.files[from]
	delete(disk.files, from)
	return nil
}

// Remove removes a file; a missing one is fine.
func (disk *Disk) Remove(name string) error {
	delete(disk.files, name)
	return nil
}

// SyncFolder makes names last.
func (disk *Disk) SyncFolder() error {
	if err := disk.sync(); err != nil {
		return err
	}
	disk.folder = map[string]*file{}
	for name, present := range disk.files {
		disk.folder[name] = present
	}
	return nil
}

// Free tells the bytes left.
func (disk *Disk) Free() (uint64, error) {
	if disk.Capacity == 0 {
		return 1 << 40, nil
	}
	return uint64(max(0, disk.Capacity-disk.used())), nil
}

func (disk *Disk) sync() error {
	disk.Wait(disk.Delay)
	if disk.FailSyncs > 0 {
		disk.FailSyncs--
		return errors.New("input/output error")
	}
	return nil
}

type handle struct {
	disk *Disk
	file *file
}

func (handle *handle) ReadAll() ([]byte, error) {
	return append([]byte(nil), handle.file.content...), nil
}

func (handle *handle) WriteAt(content []byte, offset int64) error {
	grown := int(offset) + len(content) - len(handle.file.content)
	if grown > 0 && handle.disk.Capacity > 0 && handle.disk.used()+grown > handle.disk.Capacity {
		return wal.ErrFull
	}
	if grown > 0 {
		handle.file.content = append(handle.file.content, make([]byte, grown)...)
	}
	copy(handle.file.content[offset:], content)
	return nil
}

func (handle *handle) Truncate(size int64) error {
	handle.file.content = handle.file.content[:size]
	return nil
}

func (handle *handle) Sync() error {
	// What is written while the sync runs is not part of it.
	reached := append([]byte(nil), handle.file.content...)
	if err := handle.disk.sync(); err != nil {
		return err
	}
	if handle.disk.IgnoreSyncs {
		return nil
	}
	handle.file.durable = reached
	return nil
}

func (handle *handle) Close() error { return nil }

// Used tells how many bytes the disk holds.
func (disk *Disk) Used() int { return disk.used() }
