// Package frame puts protobuf messages on a byte stream: a fixed header with mark, wire version, kind, number,
// length and checksum, then the message.
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

// Version is this build's wire version. A process talks with its own version and the ones next to it.
const Version uint16 = 1

const magic uint32 = 0x736e6f77

// HeaderLength is what a frame takes besides its content.
const HeaderLength = 28

// Flags of a frame.
const (
	Reply uint16 = 1 << iota // an answer to the request of the same number
	Fault                    // the content is the text of a refusal, not a message
)

// ErrMalformed marks bytes that are no frame of ours. The connection is closed.
var ErrMalformed = errors.New("malformed frame")

// Frame is one message on a connection.
type Frame struct {
	Kind      wire.Kind
	Flags     uint16
	RequestID uint64
	Content   []byte
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum is the sum that frames and passed answers carry.
func Checksum(content []byte) uint32 { return crc32.Checksum(content, castagnoli) }

// Append encodes a frame behind buffer.
func Append(buffer []byte, frame Frame) []byte {
	start := len(buffer)
	buffer = append(buffer, make([]byte, HeaderLength)...)
	putHeader(buffer[start:], frame)
	return append(buffer, frame.Content...)
}

// seal fills in the header of a frame.
func putHeader(header []byte, frame Frame) {
	binary.BigEndian.PutUint32(header, magic)
	binary.BigEndian.PutUint16(header[4:], Version)
	binary.BigEndian.PutUint16(header[6:], frame.Flags)
	binary.BigEndian.PutUint16(header[8:], uint16(frame.Kind))
	binary.BigEndian.PutUint64(header[12:], frame.RequestID)
	binary.BigEndian.PutUint32(header[20:], uint32(len(frame.Content)))
	binary.BigEndian.PutUint32(header[24:], crc32.Update(Checksum(header[:24]), castagnoli, frame.Content))
}

// AppendMessage encodes a frame whose content is a message, behind buffer, without a copy of the content in between.
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

// Read takes one frame off a stream. limit bounds the content.
func Read(stream io.Reader, limit int) (Frame, error) {
	var header [HeaderLength]byte
	if _, err := io.ReadFull(stream, header[:]); err != nil {
		return Frame{}, err
	}
	if binary.BigEndian.Uint32(header[:]) != magic {
		return Frame{}, fmt.Errorf("%w: no mark", ErrMalformed)
	}
	if version := binary.BigEndian.Uint16(header[4:]); version+1 < Version || version > Version+1 {
		return Frame{}, fmt.Errorf("%w: wire version %d, this process speaks %d and its neighbours", ErrMalformed, version, Version)
	}
	length := int(binary.BigEndian.Uint32(header[20:]))
	if length > limit {
		return Frame{}, fmt.Errorf("%w: %d bytes, limit %d", ErrMalformed, length, limit)
	}
	content := make([]byte, length)
	if _, err := io.ReadFull(stream, content); err != nil {
		return Frame{}, err
	}
	if crc32.Update(Checksum(header[:24]), castagnoli, content) != binary.BigEndian.Uint32(header[24:]) {
		return Frame{}, fmt.Errorf("%w: checksum", ErrMalformed)
	}
	return Frame{
		Kind: wire.Kind(binary.BigEndian.Uint16(header[8:])), Flags: binary.BigEndian.Uint16(header[6:]),
		RequestID: binary.BigEndian.Uint64(header[12:]), Content: content,
	}, nil
}
