package configstore

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"testing"

	"snowflow/internal/transport/wire"
)

// TestCompression: a content of many routes goes out deflated, once for all, to whom takes it so, and plain to others; and what is
// packed is that of the newest serial.
func TestCompression(t *testing.T) {
	many := func(name string) []byte {
		var content bytes.Buffer
		for number := range 1000 {
			fmt.Fprintf(&content, `{"name":"%s-%d","split":[{"service":"forms","weight":1}]},`, name, number)
		}
		return content.Bytes()
	}
	cache := &compressionCache{}
	for version, content := range map[uint64][]byte{3: many("old"), 4: many("new")} {
		stored := &wire.StoredConfig{Version: version, Content: content, Digest: fmt.Sprint(version)}
		plain, packed, again := &wire.ConfigPollResponse{}, &wire.ConfigPollResponse{}, &wire.ConfigPollResponse{}
		cache.fillContent(plain, stored, false)
		cache.fillContent(packed, stored, true)
		cache.fillContent(again, stored, true)
		if !bytes.Equal(plain.Content, content) || len(plain.Compressed) > 0 || len(packed.Content) > 0 || &packed.Compressed[0] != &again.Compressed[0] {
			t.Errorf("serial %d: %d plain, %d packed", version, len(plain.Content), len(packed.Compressed))
		}
		unpacked, err := io.ReadAll(flate.NewReader(bytes.NewReader(packed.Compressed)))
		if err != nil || !bytes.Equal(unpacked, content) || len(packed.Compressed) > len(content)/4 {
			t.Errorf("serial %d: %v, %d of %d bytes", version, err, len(packed.Compressed), len(content))
		}
	}
	short := &wire.ConfigPollResponse{}
	cache.fillContent(short, &wire.StoredConfig{Version: 5, Content: []byte("{}")}, true)
	if string(short.Content) != "{}" {
		t.Error("a short content was packed")
	}
}
