package configstore

import (
	"bytes"
	"compress/flate"
	"sync"

	"snowflow/internal/configstore/delta"
	"snowflow/internal/transport/wire"
)

// compressionCache holds the content that was compressed last, so that it's compressed once for all proxies. Configurations are
// highly repetitive: without compression, thousands of routes would take seconds on a slow link.
type compressionCache struct {
	// mu guards the fields below. content is the compressed content of the version with that number and digest.
	mu      sync.Mutex
	version uint64
	digest  string
	content []byte
}

// fillContent adds the content of a stored version to a poll's response: compressed if the proxy accepts that and the content isn't
// short, else uncompressed.
func (c *compressionCache) fillContent(response *wire.ConfigPollResponse, stored *wire.StoredConfig, acceptsCompressed bool) {
	if !acceptsCompressed || len(stored.Content) < delta.MinContentSize {
		response.Content = stored.Content
		return
	}
	compressed, err := c.compress(stored)
	if err != nil {
		response.Content = stored.Content
		return
	}
	response.Compressed = compressed
}

// compress returns the compressed content of a stored version, from the cache if it's the version that was compressed last.
func (c *compressionCache) compress(stored *wire.StoredConfig) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == stored.Version && c.digest == stored.Digest {
		return c.content, nil
	}
	compressed, err := deflate(stored.Content)
	if err != nil {
		return nil, err
	}
	c.version, c.digest, c.content = stored.Version, stored.Digest, compressed
	return compressed, nil
}

// deflate compresses content with DEFLATE.
func deflate(content []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(content); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}
