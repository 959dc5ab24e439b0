package configstore

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"testing"

	"snowflow/internal/transport/wire"
)

// contentWithRoutes returns configuration content with a thousand routes, whose names begin with prefix.
func contentWithRoutes(prefix string) []byte {
	var content bytes.Buffer
	for number := range 1000 {
		fmt.Fprintf(&content, `{"name":"%s-%d","split":[{"service":"forms","weight":1}]},`, prefix, number)
	}
	return content.Bytes()
}

// TestCompression checks that long content is compressed once for all proxies that accept compression and sent uncompressed to the
// others, that short content isn't compressed, and that the sent content is that of the requested version.
func TestCompression(t *testing.T) {
	cache := &compressionCache{}
	for version, content := range map[uint64][]byte{3: contentWithRoutes("old"), 4: contentWithRoutes("new")} {
		t.Run(fmt.Sprintf("version %d", version), func(t *testing.T) {
			stored := &wire.StoredConfig{Version: version, Content: content, Digest: fmt.Sprint(version)}
			plain, compressed, again := &wire.ConfigPollResponse{}, &wire.ConfigPollResponse{}, &wire.ConfigPollResponse{}
			cache.fillContent(plain, stored, false)
			cache.fillContent(compressed, stored, true)
			cache.fillContent(again, stored, true)
			if !bytes.Equal(plain.Content, content) || len(plain.Compressed) > 0 || len(compressed.Content) > 0 || &compressed.Compressed[0] != &again.Compressed[0] {
				t.Errorf("%d bytes uncompressed, %d compressed; want one form in each response, compressed once", len(plain.Content), len(compressed.Compressed))
			}
			decoded, err := io.ReadAll(flate.NewReader(bytes.NewReader(compressed.Compressed)))
			if err != nil || !bytes.Equal(decoded, content) || len(compressed.Compressed) > len(content)/4 {
				t.Errorf("decoding error %v; %d bytes compressed from %d, want the same content and at most a quarter", err, len(compressed.Compressed), len(content))
			}
		})
	}
	t.Run("short", func(t *testing.T) {
		short := &wire.ConfigPollResponse{}
		cache.fillContent(short, &wire.StoredConfig{Version: 5, Content: []byte("{}")}, true)
		if string(short.Content) != "{}" {
			t.Error("short content was compressed")
		}
	})
}
