// Package delta encodes content as its byte-level difference from other content, the base, so that a small change of large content
// takes few bytes wherever it's sent or stored. A delta from an empty base is the compressed content.
//
// The encoding is Zstandard with the base as the dictionary. A delta can be decoded only with the exact base that it was encoded from.
// The encoding doesn't identify the base: code that stores or sends a delta must include the digest of its base, and must check the
// digest of the decoded content.
package delta

import (
	"errors"
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// ErrCorrupt means that a delta can't be decoded with the given base, or that the content would be longer than allowed.
var ErrCorrupt = errors.New("delta: corrupt, too long or from another base")

// MinContentSize is the minimum length of content, in bytes, for it to be sent as a delta or compressed.
const MinContentSize = 2 << 10

const (
	// dictionaryID identifies the dictionary in a frame. There is only one dictionary, so any number will do.
	dictionaryID = 1
	// minWindow is the smallest window that the encoding allows, in bytes.
	minWindow = zstd.MinWindowSize
)

// windowSize returns the smallest power of two that covers base and content. A larger window would have no effect, because nothing
// further back can be referred to.
func windowSize(baseLength, contentLength int) int {
	return max(minWindow, 1<<bits.Len(uint(baseLength+contentLength)))
}

// Encode returns the delta from base, which may be empty, to content.
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

// Decode returns the content that a delta was encoded from, given its base. It fails if the content is longer than maxSize bytes.
// Errors are ErrCorrupt, except if the base can't be used as a dictionary.
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
