// Package delta encodes a content as its difference from another, so that a small change of a large content costs few bytes
// wherever it's sent or stored. A delta from nothing is the content, compressed.
//
// The encoding is Zstandard with the base content as dictionary. A delta decodes only with the very base that it was made from.
// The encoding doesn't name that base: code that stores or sends a delta must name its base by digest, and check the digest of the
// decoded content.
package delta

import (
	"errors"
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// ErrCorrupt means that bytes can't be decoded with the given base, or give a content longer than allowed.
var ErrCorrupt = errors.New("delta: corrupt, too long or from another base")

// MinContentSize is the length from which a content is sent as a delta or in compressed form, in bytes.
const MinContentSize = 2 << 10

const (
	// dictionaryID is the number by which frames name their dictionary. There is only one dictionary, so that any number will do.
	dictionaryID = 1
	// minWindow is the smallest window of the encoding, in bytes.
	minWindow = zstd.MinWindowSize
)

// windowSize is the least power of two that covers base and content, because nothing further back can be referred to.
func windowSize(baseLength, contentLength int) int {
	return max(minWindow, 1<<bits.Len(uint(baseLength+contentLength)))
}

// Encode returns the delta that leads from a base, which may be empty, to a content.
func Encode(base, content []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(len(base), len(content))),
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithEncoderCRC(true),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("delta: %w", err)
	}
	encoded := encoder.EncodeAll(content, nil)
	return encoded, encoder.Close()
}

// Decode returns the content that a delta leads to from its base. A content of more than maxSize bytes is an error. Errors are
// ErrCorrupt, except for a base that can't be a dictionary at all.
func Decode(base, encoded []byte, maxSize int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(maxSize)),
		zstd.WithDecoderMaxWindow(uint64(windowSize(len(base), maxSize))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("delta: %w", err)
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(encoded, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return content, nil
}
