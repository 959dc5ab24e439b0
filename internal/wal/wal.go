// Package wal keeps records in an append-only file: each record has a number, a checksum and the number
// that was known synced when it was written. The last tells a torn tail, which is cut, from damage, which is not mended.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// recordMark begins each record.
const recordMark uint32 = 0x534e4f57

const (
	headerLength = 32
	// Longest is the longest record that is read back.
	Longest = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is an append-only file of records. It has one owner; it isn't safe for two tasks at once.
// Invariants: records on disk are numbered without gaps from 1; synced <= last; size is the offset behind the last record.
type Log struct {
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

// Open reads a log and gives its records to visit, oldest first.
func Open(disk Disk, name string, visit func(content []byte) error) (*Log, error) {
	// A rewrite that did not reach its rename leaves a file that holds nothing acknowledged.
	if err := disk.Remove(name + ".new"); err != nil {
		return nil, err
	}
	file, err := disk.Open(name)
	if err != nil {
		return nil, err
	}
	log := &Log{disk: disk, name: name, file: file}
	content, err := file.ReadAll()
	if err != nil {
		return nil, err
	}
	offset := int64(0)
	for offset < int64(len(content)) {
		number, payload, length, valid := parse(content[offset:])
		if !valid || number != log.last+1 {
			if evidence := syncedBeyond(content[offset:], log.last); evidence {
				return nil, fmt.Errorf("%w: %s at byte %d", ErrDamaged, name, offset)
			}
			log.Cut = int64(len(content)) - offset
			break
		}
		if err := visit(payload); err != nil {
			return nil, fmt.Errorf("%w: %s at byte %d: %w", ErrDamaged, name, offset, err)
		}
		log.last = number
		offset += length
	}
	log.size = offset
	if log.Cut > 0 {
		if err := file.Truncate(offset); err != nil {
			return nil, err
		}
	}
	// What was read may never have been synced; it's counted as kept only once it has been.
	if err := errors.Join(file.Sync(), disk.SyncFolder()); err != nil {
		return nil, err
	}
	log.synced = log.last
	return log, nil
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
func (log *Log) Append(payloads ...[]byte) error {
	if log.poisoned {
		return ErrPoisoned
	}
	var content []byte
	for index, payload := range payloads {
		content = append(content, frame(log.last+1+uint64(index), log.synced, payload)...)
	}
	if err := log.file.WriteAt(content, log.size); err != nil {
		// A part may have been written; it's cut so that the next append starts clean.
		if cutErr := log.file.Truncate(log.size); cutErr != nil {
			log.poisoned = true
		}
		return err
	}
	log.size += int64(len(content))
	log.last += uint64(len(payloads))
	return nil
}

// Sync makes all that was appended last. A failed sync poisons the log.
func (log *Log) Sync() error {
	if log.poisoned {
		return ErrPoisoned
	}
	last := log.last
	if err := log.file.Sync(); err != nil {
		log.poisoned = true
		return fmt.Errorf("%w: %w", ErrPoisoned, err)
	}
	log.synced = last
	return nil
}

// Size is the length of the file in bytes.
func (log *Log) Size() int64 { return log.size }

// Rewrite replaces the file by one that holds just these records, synced before it takes the old one's place.
func (log *Log) Rewrite(payloads ...[]byte) error {
	if log.poisoned {
		return ErrPoisoned
	}
	fresh := log.name + ".new"
	if err := log.disk.Remove(fresh); err != nil {
		return err
	}
	file, err := log.disk.Open(fresh)
	if err != nil {
		return err
	}
	var content []byte
	for index, payload := range payloads {
		content = append(content, frame(uint64(index+1), 0, payload)...)
	}
	if err := errors.Join(file.WriteAt(content, 0), file.Sync()); err != nil {
		return errors.Join(err, file.Close(), log.disk.Remove(fresh))
	}
	// From here on the name may stand for either file, so a failure leaves the log unusable in this life.
	if err := errors.Join(log.disk.Rename(fresh, log.name), log.disk.SyncFolder()); err != nil {
		log.poisoned = true
		return fmt.Errorf("%w: %w", ErrPoisoned, err)
	}
	old := log.file
	log.file, log.size, log.last, log.synced = file, int64(len(content)), uint64(len(payloads)), uint64(len(payloads))
	return old.Close()
}

// Close closes the file.
func (log *Log) Close() error { return log.file.Close() }

// Discard removes a damaged log's file and opens an empty one in its place.
func Discard(disk Disk, name string) (*Log, error) {
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
