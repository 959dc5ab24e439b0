// Package wal keeps records in an append-only file: each record has a number, a checksum and the number
// that was known synced when it was written. The last tells a torn tail, which is cut, from damage, which is not mended.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// recordMagic begins each record.
const recordMagic uint32 = 0x534e4f57

const (
	headerSize = 32
	// MaxRecordSize is the longest record that is read back.
	MaxRecordSize = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is an append-only file of records. It has one owner; it isn't safe for two tasks at once.
// Invariants: records on disk are numbered without gaps from 1; synced <= last; size is the offset behind the last record.
type Log struct {
	disk       Disk
	name       string
	file       File
	size       int64
	last       uint64
	synced     uint64
	syncFailed bool
	// TruncatedBytes tells how many bytes of a torn tail were cut when it was opened.
	TruncatedBytes int64
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
	l := &Log{disk: disk, name: name, file: file}
	content, err := file.ReadAll()
	if err != nil {
		return nil, err
	}
	offset := int64(0)
	for offset < int64(len(content)) {
		number, payload, length, valid := decodeRecord(content[offset:])
		if !valid || number != l.last+1 {
			if corrupt := hasSyncedRecordAfter(content[offset:], l.last); corrupt {
				return nil, fmt.Errorf("%w: %s at byte %d", ErrCorrupt, name, offset)
			}
			l.TruncatedBytes = int64(len(content)) - offset
			break
		}
		if err := visit(payload); err != nil {
			return nil, fmt.Errorf("%w: %s at byte %d: %w", ErrCorrupt, name, offset, err)
		}
		l.last = number
		offset += length
	}
	l.size = offset
	if l.TruncatedBytes > 0 {
		if err := file.Truncate(offset); err != nil {
			return nil, err
		}
	}
	// What was read may never have been synced; it's counted as kept only once it has been.
	if err := errors.Join(file.Sync(), disk.SyncDirectory()); err != nil {
		return nil, err
	}
	l.synced = l.last
	return l, nil
}

func decodeRecord(content []byte) (number uint64, payload []byte, length int64, valid bool) {
	if len(content) < headerSize || binary.LittleEndian.Uint32(content) != recordMagic {
		return 0, nil, 0, false
	}
	number = binary.LittleEndian.Uint64(content[8:])
	size := int64(binary.LittleEndian.Uint32(content[24:]))
	if size > MaxRecordSize || headerSize+size > int64(len(content)) {
		return 0, nil, 0, false
	}
	payload = content[headerSize : headerSize+size]
	sum := crc32.Update(crc32.Checksum(content[8:headerSize], castagnoli), castagnoli, payload)
	return number, payload, headerSize + size, sum == binary.LittleEndian.Uint32(content[4:])
}

// hasSyncedRecordAfter looks past a bad record for a whole one that was written when the bad one was already synced.
func hasSyncedRecordAfter(content []byte, last uint64) bool {
	for offset := 1; offset+headerSize <= len(content); offset++ {
		if binary.LittleEndian.Uint32(content[offset:]) != recordMagic {
			continue
		}
		if _, _, _, valid := decodeRecord(content[offset:]); valid && binary.LittleEndian.Uint64(content[offset+16:]) > last {
			return true
		}
	}
	return false
}

func encodeRecord(number, synced uint64, payload []byte) []byte {
	record := make([]byte, headerSize, headerSize+len(payload))
	binary.LittleEndian.PutUint32(record, recordMagic)
	binary.LittleEndian.PutUint64(record[8:], number)
	binary.LittleEndian.PutUint64(record[16:], synced)
	binary.LittleEndian.PutUint32(record[24:], uint32(len(payload)))
	sum := crc32.Update(crc32.Checksum(record[8:headerSize], castagnoli), castagnoli, payload)
	binary.LittleEndian.PutUint32(record[4:], sum)
	return append(record, payload...)
}

// Append writes records behind the last one. They last only after Sync.
func (l *Log) Append(payloads ...[]byte) error {
	if l.syncFailed {
		return ErrSyncFailed
	}
	var content []byte
	for index, payload := range payloads {
		content = append(content, encodeRecord(l.last+1+uint64(index), l.synced, payload)...)
	}
	if err := l.file.WriteAt(content, l.size); err != nil {
		// A part may have been written; it's cut so that the next append starts clean.
		if cutErr := l.file.Truncate(l.size); cutErr != nil {
			l.syncFailed = true
		}
		return err
	}
	l.size += int64(len(content))
	l.last += uint64(len(payloads))
	return nil
}

// Sync makes all that was appended last. A failed sync poisons the log.
func (l *Log) Sync() error {
	if l.syncFailed {
		return ErrSyncFailed
	}
	last := l.last
	if err := l.file.Sync(); err != nil {
		l.syncFailed = true
		return fmt.Errorf("%w: %w", ErrSyncFailed, err)
	}
	l.synced = last
	return nil
}

// Size is the length of the file in bytes.
func (l *Log) Size() int64 { return l.size }

// Rewrite replaces the file by one that holds just these records, synced before it takes the old one's place.
func (l *Log) Rewrite(payloads ...[]byte) error {
	if l.syncFailed {
		return ErrSyncFailed
	}
	fresh := l.name + ".new"
	if err := l.disk.Remove(fresh); err != nil {
		return err
	}
	file, err := l.disk.Open(fresh)
	if err != nil {
		return err
	}
	var content []byte
	for index, payload := range payloads {
		content = append(content, encodeRecord(uint64(index+1), 0, payload)...)
	}
	if err := errors.Join(file.WriteAt(content, 0), file.Sync()); err != nil {
		return errors.Join(err, file.Close(), l.disk.Remove(fresh))
	}
	// From here on the name may stand for either file, so a failure leaves the log unusable in this life.
	if err := errors.Join(l.disk.Rename(fresh, l.name), l.disk.SyncDirectory()); err != nil {
		l.syncFailed = true
		return fmt.Errorf("%w: %w", ErrSyncFailed, err)
	}
	old := l.file
	l.file, l.size, l.last, l.synced = file, int64(len(content)), uint64(len(payloads)), uint64(len(payloads))
	return old.Close()
}

// Close closes the file.
func (l *Log) Close() error { return l.file.Close() }

// Recreate removes a damaged log's file and opens an empty one in its place.
func Recreate(disk Disk, name string) (*Log, error) {
	if err := errors.Join(disk.Remove(name), disk.SyncDirectory()); err != nil {
		return nil, err
	}
	return Open(disk, name, func([]byte) error { return nil })
}

// ReserveSpace keeps a file of this many bytes, which ReleaseReservedSpace gives up when the disk is full and a rewrite must fit.
func ReserveSpace(disk Disk, size int) error {
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

// ReleaseReservedSpace gives the reserved bytes back to the disk.
func ReleaseReservedSpace(disk Disk) error {
	return errors.Join(disk.Remove("reserve"), disk.SyncDirectory())
}
