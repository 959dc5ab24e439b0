package configstore

import (
	"bytes"
	"compress/flate"
	"sync"

	"snowflow/internal/transport/wire"
)

// minCompressedSize is the length from which a content is packed, in bytes.
const minCompressedSize = 2 << 10

// packing keeps the newest content as it goes to carriers: on a narrow link thousands of routes take seconds, and their words repeat.
// Invariant: packed is the content of serial, deflated.
type compressionCache struct {
	mu      sync.Mutex
	version uint64
	digest  string
	content []byte
}

// fill puts a content into an answer, packed once for all who ask for it.
func (c *compressionCache) fillContent(response *wire.ConfigPollResponse, stored *wire.StoredConfig, acceptsCompressed bool) {
	if !acceptsCompressed || len(stored.Content) < minCompressedSize {
		response.Content = stored.Content
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version != stored.Version || c.digest != stored.Digest {
		var buffer bytes.Buffer
		writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
		if err == nil {
			_, err = writer.Write(stored.Content)
		}
		if err == nil {
			err = writer.Close()
		}
		if err != nil {
			response.Content = stored.Content
			return
		}
		c.version, c.digest, c.content = stored.Version, stored.Digest, buffer.Bytes()
	}
	response.Compressed = c.content
}
