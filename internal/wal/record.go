package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// recordMagic is at the start of each record.
const recordMagic uint32 = 0x534e4f57

// Offsets of fields in a record's header, and its size. The package documentation describes the format.
const (
	checksumOffset = 4
	numberOffset   = 8
	syncedOffset   = 16
	lengthOffset   = 24
	headerSize     = 32
)

// MaxRecordSize is the maximum size of a payload in bytes. Open treats a record with a longer payload as a bad record.
const MaxRecordSize = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is a decoded record. synced is the number of the last record known to be synced when this one was written.
type record struct {
	number, synced uint64
	payload        []byte
}

// size returns the length of the encoded record.
func (r record) size() int64 { return headerSize + int64(len(r.payload)) }

// appendTo appends the encoded record to content.
func (r record) appendTo(content []byte) []byte {
	header := make([]byte, headerSize)
	binary.LittleEndian.PutUint32(header, recordMagic)
	binary.LittleEndian.PutUint64(header[numberOffset:], r.number)
	binary.LittleEndian.PutUint64(header[syncedOffset:], r.synced)
	binary.LittleEndian.PutUint32(header[lengthOffset:], uint32(len(r.payload)))
	binary.LittleEndian.PutUint32(header[checksumOffset:], checksum(header, r.payload))
	return append(append(content, header...), r.payload...)
}

// decodeRecord decodes the record at the start of content. valid is false if there is no complete record or its checksum is
// wrong.
func decodeRecord(content []byte) (r record, valid bool) {
	if len(content) < headerSize || binary.LittleEndian.Uint32(content) != recordMagic {
		return record{}, false
	}
	length := int64(binary.LittleEndian.Uint32(content[lengthOffset:]))
	if length > MaxRecordSize || headerSize+length > int64(len(content)) {
		return record{}, false
	}
	r = record{
		number:  binary.LittleEndian.Uint64(content[numberOffset:]),
		synced:  binary.LittleEndian.Uint64(content[syncedOffset:]),
		payload: content[headerSize : headerSize+length],
	}
	return r, checksum(content[:headerSize], r.payload) == binary.LittleEndian.Uint32(content[checksumOffset:])
}

// checksum returns the CRC-32C of the header after the checksum field, and of the payload.
func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[numberOffset:], castagnoli), castagnoli, payload)
}

// hasSyncedRecordAfter reports whether content, which starts with the bad record after record number last, has a valid record
// that was written after the bad one was synced.
func hasSyncedRecordAfter(content []byte, last uint64) bool {
	for offset := 1; offset+headerSize <= len(content); offset++ {
		if binary.LittleEndian.Uint32(content[offset:]) != recordMagic {
			continue
		}
		if r, valid := decodeRecord(content[offset:]); valid && r.synced > last {
			return true
		}
	}
	return false
}
