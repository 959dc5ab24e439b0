// Package frame encodes messages between processes for a byte stream. A frame is a header of 28 bytes and the content, which is an
// encoded protobuf message. All numbers in the header are big-endian:
//
//	offset  bytes  field
//	0       4      magic number
//	4       2      wire version
//	6       2      flags
//	8       2      message kind
//	10      2      unused, zero
//	12      8      request id, unique among the requests of a connection; a reply has the id of its request
//	20      4      length of the content
//	24      4      CRC-32C of the preceding header fields and the content
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
)

// Version is this release's wire version. A process accepts its own version and the adjacent ones.
const Version uint16 = 1

// magic is the start of each frame: "snow".
const magic uint32 = 0x736e6f77

// HeaderLength is the length of a frame's header in bytes.
const HeaderLength = 28

// checksumOffset is the offset of the checksum, the header's last field. The checksum covers the bytes before it.
const checksumOffset = HeaderLength - crc32.Size

// The flags of a frame.
const (
	Reply uint16 = 1 << iota // the frame answers the request of the same id
	Fault                    // the content is the text of an error, not a message
)

// ErrMalformed is returned by Read for bytes that are not a valid frame. The rest of the stream cannot be read.
var ErrMalformed = errors.New("malformed frame")

// Frame is one message on the stream, without the header fields that encoding adds.
type Frame struct {
	Kind      wire.Kind
	Flags     uint16
	RequestID uint64
	Content   []byte
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C of content. Frames and forwarded responses contain it.
func Checksum(content []byte) uint32 { return crc32.Checksum(content, castagnoli) }

// Append appends an encoded frame to a buffer.
func Append(buffer []byte, frame Frame) []byte {
	start := len(buffer)
	buffer = append(buffer, make([]byte, HeaderLength)...)
	putHeader(buffer[start:], frame)
	return append(buffer, frame.Content...)
}

// putHeader encodes the header of a frame.
func putHeader(header []byte, frame Frame) {
	binary.BigEndian.PutUint32(header, magic)
	binary.BigEndian.PutUint16(header[4:], Version)
	binary.BigEndian.PutUint16(header[6:], frame.Flags)
	binary.BigEndian.PutUint16(header[8:], uint16(frame.Kind))
	binary.BigEndian.PutUint64(header[12:], frame.RequestID)
	binary.BigEndian.PutUint32(header[20:], uint32(len(frame.Content)))
	binary.BigEndian.PutUint32(header[checksumOffset:], crc32.Update(Checksum(header[:checksumOffset]), castagnoli, frame.Content))
}

// AppendMessage appends an encoded frame to a buffer. The frame's content is the message, which is encoded directly into the buffer;
// frame.Content is ignored.
func AppendMessage(buffer []byte, frame Frame, message proto.Message) ([]byte, error) {
	start := len(buffer)
	buffer, err := proto.MarshalOptions{}.MarshalAppend(append(buffer, make([]byte, HeaderLength)...), message)
	if err != nil {
		return nil, err
	}
	frame.Content = buffer[start+HeaderLength:]
	putHeader(buffer[start:], frame)
	return buffer, nil
}

// Read reads one frame. It returns ErrMalformed if the bytes are not a frame, are corrupted or have a wire version that is not adjacent,
// or if the content is longer than limit. It returns io.EOF if the stream ends before the frame, and otherwise the stream's error.
func Read(stream io.Reader, limit int) (Frame, error) {
	var header [HeaderLength]byte
	if _, err := io.ReadFull(stream, header[:]); err != nil {
		return Frame{}, err
	}
	if binary.BigEndian.Uint32(header[:]) != magic {
		return Frame{}, fmt.Errorf("%w: wrong magic number", ErrMalformed)
	}
	if version := binary.BigEndian.Uint16(header[4:]); version+1 < Version || version > Version+1 {
		return Frame{}, fmt.Errorf("%w: wire version %d, this process accepts %d and adjacent versions", ErrMalformed, version, Version)
	}
	length := int(binary.BigEndian.Uint32(header[20:]))
	if length > limit {
		return Frame{}, fmt.Errorf("%w: content of %d bytes exceeds the limit of %d", ErrMalformed, length, limit)
	}
	content := make([]byte, length)
	if _, err := io.ReadFull(stream, content); err != nil {
		return Frame{}, err
	}
	if crc32.Update(Checksum(header[:checksumOffset]), castagnoli, content) != binary.BigEndian.Uint32(header[checksumOffset:]) {
		return Frame{}, fmt.Errorf("%w: checksum mismatch", ErrMalformed)
	}
	return Frame{
		Kind: wire.Kind(binary.BigEndian.Uint16(header[8:])), Flags: binary.BigEndian.Uint16(header[6:]),
		RequestID: binary.BigEndian.Uint64(header[12:]), Content: content,
	}, nil
}
