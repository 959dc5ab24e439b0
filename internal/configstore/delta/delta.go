// Package delta encodes one content as its difference from another, so that a small change of a large content costs few bytes wherever
// it's copied to. A difference from nothing is the content, compressed.
//
// The encoding is Zstandard with the other content as dictionary. A difference only decodes with the very content that it was
// made from: whoever keeps one names its base by digest, and checks the digest of what comes out.
package delta

import (
	"errors"
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// ErrCorrupt: what was to be decoded is no difference from the given base.
var ErrCorrupt = errors.New("delta: damaged, or from another base")

const (
	// dictionaryID is the number that frames name their base by. Each frame has one base, so that any will do.
	dictionaryID = 1
	// minWindow is the least window that the encoding knows.
	minWindow = zstd.MinWindowSize
)

// window is the least power of two that spans base and content: what lies further back can't be referred to.
func windowSize(base, content []byte) int {
	return max(minWindow, 1<<bits.Len(uint(len(base)+len(content))))
}

// Encode makes the difference that leads from a base, which may be empty, to a content.
func Encode(base, content []byte) ([]byte, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowSize(base, content)),
		zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderCRC(true)}
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

// Decode gives the content that a difference leads to from its base. A content longer than most bytes is refused.
func Decode(base, encoded []byte, maxSize int) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(maxSize)),
		zstd.WithDecoderMaxWindow(uint64(max(minWindow, 1<<bits.Len(uint(len(base)+maxSize)))))}
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
		return nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	return content, nil
}
