package configstore

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"testing"

	"snowflow/internal/transport/wire"
)

// TestPacking: a content of many routes goes out deflated, once for all, to whom takes it so, and plain to others; and what is
// packed is that of the newest serial.
func TestPacking(t *testing.T) {
	many := func(word string) []byte {
		var content bytes.Buffer
		for number := range 1000 {
			fmt.Fprintf(&content, `{"name":"%s-%d","split":[{"service":"forms","weight":1}]},`, word, number)
		}
		return content.Bytes()
	}
	packing := &packing{}
	for serial, content := range map[uint64][]byte{3: many("old"), 4: many("new")} {
		kept := &wire.StoredConfig{Version: serial, Content: content, Digest: fmt.Sprint(serial)}
		plain, packed, again := &wire.ConfigPollResponse{}, &wire.ConfigPollResponse{}, &wire.ConfigPollResponse{}
		packing.fill(plain, kept, false)
		packing.fill(packed, kept, true)
		packing.fill(again, kept, true)
		if !bytes.Equal(plain.Content, content) || len(plain.Compressed) > 0 || len(packed.Content) > 0 || &packed.Compressed[0] != &again.Compressed[0] {
			t.Errorf("serial %d: %d plain, %d packed", serial, len(plain.Content), len(packed.Compressed))
		}
		unpacked, err := io.ReadAll(flate.NewReader(bytes.NewReader(packed.Compressed)))
		if err != nil || !bytes.Equal(unpacked, content) || len(packed.Compressed) > len(content)/4 {
			t.Errorf("serial %d: %v, %d of %d bytes", serial, err, len(packed.Compressed), len(content))
		}
	}
	short := &wire.ConfigPollResponse{}
	packing.fill(short, &wire.StoredConfig{Version: 5, Content: []byte("{}")}, true)
	if string(short.Content) != "{}" {
		t.Error("a short content was packed")
	}
}
