// Package strongbox keeps records in an append-only file: each record has a number, a checksum and the number
// that was known synced when it was written. The last tells a torn tail, which is cut, from damage, which is not mended.
package strongbox

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

const (
	recordMark   uint32 = 0x534e4f57
	headerLength        = 32
	// Longest is the longest record that is read back.
	Longest = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Box is one file of records. It has one owner; it isn't safe for two tasks at once.
// Invariants: records on disk are numbered without gaps from 1; synced <= last; size is the offset behind the last record.
type Box struct {
	disk     Disk
	name     string
	file     File
	size     int64
	last     uint64
	synced   uint64
	poisoned bool
	// Cut tells how many bytes of a torn tail were cut when it was opened.
	Cut int64
}

// Open reads a box and gives its records to visit, oldest first.
func Open(disk Disk, name string, visit func(content []byte) error) (*Box, error) {
	// A rewrite that did not reach its rename leaves a file that holds nothing acknowledged.
	if err := disk.Remove(name + ".new"); err != nil {
		return nil, err
	}
	file, err := disk.Open(name)
	if err != nil {
		return nil, err
	}
	box := &Box{disk: disk, name: name, file: file}
	content, err := file.ReadAll()
	if err != nil {
		return nil, err
	}
	offset := int64(0)
	for offset < int64(len(content)) {
		number, payload, length, valid := parse(content[offset:])
		if !valid || number != box.last+1 {
			if evidence := syncedBeyond(content[offset:], box.last); evidence {
				return nil, fmt.Errorf("%w: %s at byte %d", ErrDamaged, name, offset)
			}
			box.Cut = int64(len(content)) - offset
			break
		}
		if err := visit(payload); err != nil {
			return nil, fmt.Errorf("%w: %s at byte %d: %w", ErrDamaged, name, offset, err)
		}
		box.last = number
		offset += length
	}
	box.size = offset
	if box.Cut > 0 {
		if err := file.Truncate(offset); err != nil {
			return nil, err
		}
	}
	// What was read may never have been synced; it's counted as kept only once it has been.
	if err := errors.Join(file.Sync(), disk.SyncFolder()); err != nil {
		return nil, err
	}
	box.synced = box.last
	return box, nil
}

func parse(content []byte) (number uint64, payload []byte, length int64, valid bool) {
	if len(content) < headerLength || binary.LittleEndian.Uint32(content) != recordMark {
		return 0, nil, 0, false
	}
	number = binary.LittleEndian.Uint64(content[8:])
	size := int64(binary.LittleEndian.Uint32(content[24:]))
	if size > Longest || headerLength+size > int64(len(content)) {
		return 0, nil, 0, false
	}
	payload = content[headerLength : headerLength+size]
	sum := crc32.Update(crc32.Checksum(content[8:headerLength], castagnoli), castagnoli, payload)
	return number, payload, headerLength + size, sum == binary.LittleEndian.Uint32(content[4:])
}

// syncedBeyond looks past a bad record for a whole one that was written when the bad one was already synced.
func syncedBeyond(content []byte, last uint64) bool {
	for offset := 1; offset+headerLength <= len(content); offset++ {
		if binary.LittleEndian.Uint32(content[offset:]) != recordMark {
			continue
		}
		if _, _, _, valid := parse(content[offset:]); valid && binary.LittleEndian.Uint64(content[offset+16:]) > last {
			return true
		}
	}
	return false
}

func frame(number, synced uint64, payload []byte) []byte {
	record := make([]byte, headerLength, headerLength+len(payload))
	binary.LittleEndian.PutUint32(record, recordMark)
	binary.LittleEndian.PutUint64(record[8:], number)
	binary.LittleEndian.PutUint64(record[16:], synced)
	binary.LittleEndian.PutUint32(record[24:], uint32(len(payload)))
	sum := crc32.Update(crc32.Checksum(record[8:headerLength], castagnoli), castagnoli, payload)
	binary.LittleEndian.PutUint32(record[4:], sum)
	return append(record, payload...)
}

// Append writes records behind the last one. They last only after Sync.
func (box *Box) Append(payloads ...[]byte) error {
	if box.poisoned {
		return ErrPoisoned
	}
	var content []byte
	for index, payload := range payloads {
		content = append(content, frame(box.last+1+uint64(index), box.synced, payload)...)
	}
	if err := box.file.WriteAt(content, box.size); err != nil {
		// A part may have been written; it's cut so that the next append starts clean.
		if cutErr := box.file.Truncate(box.size); cutErr != nil {
			box.poisoned = true
		}
		return err
	}
	box.size += int64(len(content))
	box.last += uint64(len(payloads))
	return nil
}

// Sync makes all that was appended last. A failed sync poisons the box.
func (box *Box) Sync() error {
	if box.poisoned {
		return ErrPoisoned
	}
	last := box.last
	if err := box.file.Sync(); err != nil {
		box.poisoned = true
		return fmt.Errorf("%w: %w", ErrPoisoned, err)
	}
	box.synced = last
	return nil
}

// Size is the length of the file in bytes.
func (box *Box) Size() int64 { return box.size }

// Rewrite replaces the file by one that holds just these records, synced before it takes the old one's place.
func (box *Box) Rewrite(payloads ...[]byte) error {
	if box.poisoned {
		return ErrPoisoned
	}
	fresh := box.name + ".new"
	if err := box.disk.Remove(fresh); err != nil {
		return err
	}
	file, err := box.disk.Open(fresh)
	if err != nil {
		return err
	}
	var content []byte
	for index, payload := range payloads {
		content = append(content, frame(uint64(index+1), 0, payload)...)
	}
	if err := errors.Join(file.WriteAt(content, 0), file.Sync()); err != nil {
		return errors.Join(err, file.Close(), box.disk.Remove(fresh))
	}
	// From here on the name may stand for either file, so a failure leaves the box unusable in this life.
	if err := errors.Join(box.disk.Rename(fresh, box.name), box.disk.SyncFolder()); err != nil {
		box.poisoned = true
		return fmt.Errorf("%w: %w", ErrPoisoned, err)
	}
	old := box.file
	box.file, box.size, box.last, box.synced = file, int64(len(content)), uint64(len(payloads)), uint64(len(payloads))
	return old.Close()
}

// Close closes the file.
func (box *Box) Close() error { return box.file.Close() }

// Discard removes a damaged box's file and opens an empty one in its place.
func Discard(disk Disk, name string) (*Box, error) {
	if err := errors.Join(disk.Remove(name), disk.SyncFolder()); err != nil {
		return nil, err
	}
	return Open(disk, name, func([]byte) error { return nil })
}

// Reserve keeps a file of this many bytes, which ReleaseReserve gives up when the disk is full and a rewrite must fit.
func Reserve(disk Disk, size int) error {
	file, err := disk.Open("reserve")
	if err != nil {
		return err
	}
	present, err := file.ReadAll()
	if err == nil && len(present) < size {
		err = file.WriteAt(make([]byte, size), 0)
	}
	return errors.Join(err, file.Sync(), file.Close())
}

// ReleaseReserve gives the reserved bytes back to the disk.
func ReleaseReserve(disk Disk) error { return errors.Join(disk.Remove("reserve"), disk.SyncFolder()) }
