package delta_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"snowflow/internal/configstore/delta"
)

const maxSize = 4 << 20

// routes returns content with count routes, of which the one at index changed has a different weight.
func routes(count, changed int) []byte {
	var text bytes.Buffer
	for index := range count {
		weight := 100
		if index == changed {
			weight = 37
		}
		fmt.Fprintf(&text, `{"metadata":{"name":"r-%x"},"terms":{"hostname":"h%d.example","prefix":"/p%x/","timeoutS":0.5,"weight":%d}},`,
			index*2654435761, index%97, index*40503, weight)
	}
	return text.Bytes()
}

// TestEncodeDecode checks that the content is restored whatever the base, and that the delta of a small change is short.
func TestEncodeDecode(t *testing.T) {
	for _, test := range []struct {
		name          string
		base, content []byte
		minRatio      int // the content is at least minRatio times as long as the delta
	}{
		{"from nothing", nil, routes(900, -1), 3},
		{"nothing", nil, nil, 0},
		{"to nothing", routes(10, 1), nil, 0},
		{"the same", routes(900, 1), routes(900, 1), 100},
		{"one of 10", routes(10, 2), routes(10, 7), 10},
		{"one of 900", routes(900, 2), routes(900, 880), 20},
		{"one of 10,000", routes(10000, 2), routes(10000, 9000), 20},
		{"another altogether", []byte("abc"), routes(900, 2), 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			encoded, err := delta.Encode(test.base, test.content)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d bytes for %d", len(encoded), len(test.content))
			decoded, err := delta.Decode(test.base, encoded, maxSize)
			if err != nil || !bytes.Equal(decoded, test.content) {
				t.Fatalf("decoded %d bytes, error %v", len(decoded), err)
			}
			if test.minRatio > 0 && len(encoded)*test.minRatio > len(test.content) {
				t.Errorf("%d bytes for %d", len(encoded), len(test.content))
			}
		})
	}
}

// TestCorruption checks that decoding a delta with a changed byte, a truncated delta or a delta from another base fails or gives the
// right content (a truncated one may give an empty content), and that the size limit is enforced.
func TestCorruption(t *testing.T) {
	base, content := routes(20, 3), routes(20, 4)
	encoded, err := delta.Encode(base, content)
	if err != nil {
		t.Fatal(err)
	}
	for index := range encoded {
		corrupt := bytes.Clone(encoded)
		corrupt[index] ^= 0x55
		if decoded, err := delta.Decode(base, corrupt, maxSize); err == nil && !bytes.Equal(decoded, content) {
			t.Errorf("byte %d changed: decoded other content", index)
		}
		if decoded, err := delta.Decode(base, encoded[:index], maxSize); err == nil && !bytes.Equal(decoded, content) && len(decoded) > 0 {
			t.Errorf("truncated at %d: decoded other content", index)
		}
	}
	if decoded, err := delta.Decode(content, encoded, maxSize); err == nil && !bytes.Equal(decoded, content) {
		t.Error("with another base: decoded other content")
	}
	if _, err := delta.Decode(base, encoded, len(content)-1); !errors.Is(err, delta.ErrCorrupt) {
		t.Errorf("content over the limit: %v", err)
	}
}
