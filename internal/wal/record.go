package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// recordMagic begins each record.
const recordMagic uint32 = 0x534e4f57

// Offsets in a record's header, as in the package documentation.
const (
	checksumOffset = 4
	numberOffset   = 8
	syncedOffset   = 16
	lengthOffset   = 24
	headerSize     = 32
)

// MaxRecordSize is the size in bytes of the longest payload that is read back.
const MaxRecordSize = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one decoded record.
type record struct {
	number, synced uint64
	payload        []byte
}

// size returns the length of the encoded record.
func (r record) size() int64 { return headerSize + int64(len(r.payload)) }

// appendTo appends the encoded record to some content.
func (r record) appendTo(content []byte) []byte {
	header := make([]byte, headerSize)
	binary.LittleEndian.PutUint32(header, recordMagic)
	binary.LittleEndian.PutUint64(header[numberOffset:], r.number)
	binary.LittleEndian.PutUint64(header[syncedOffset:], r.synced)
	binary.LittleEndian.PutUint32(header[lengthOffset:], uint32(len(r.payload)))
	binary.LittleEndian.PutUint32(header[checksumOffset:], checksum(header, r.payload))
	return append(append(content, header...), r.payload...)
}

// decodeRecord decodes the record that some content begins with. valid is false if there is no complete record or its checksum
// is wrong.
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

// checksum covers the part of the header after the checksum itself, and the payload.
func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[numberOffset:], castagnoli), castagnoli, payload)
}

// hasSyncedRecordAfter reports whether some content, which begins with a bad record after the one numbered last, has a valid
// record that was written when the bad one was already synced.
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
