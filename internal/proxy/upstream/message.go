package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"snowflow/internal/proxy/request"
	"snowflow/internal/transport/wire"
)

// maxPreallocation bounds the memory that is allocated in advance for a body of an announced size.
const maxPreallocation = 256 << 10

// ReadAll reads a body to its end. announced is its Content-Length, negative if there is none.
func ReadAll(source io.Reader, announced int64) ([]byte, error) {
	if announced < 0 {
		return io.ReadAll(source)
	}
	var body bytes.Buffer
	body.Grow(int(min(announced, maxPreallocation)) + bytes.MinRead) // ReadFrom needs MinRead free bytes to see the end
	_, err := body.ReadFrom(source)
	return body.Bytes(), err
}

// hopByHop lists the headers that are not forwarded: they apply to one connection only, or the mesh writes them itself.
var hopByHop = map[string]bool{
	"Connection":           true,
	"Keep-Alive":           true,
	"Proxy-Authenticate":   true,
	"Proxy-Authorization":  true,
	"Proxy-Connection":     true,
	"Te":                   true,
	"Trailer":              true,
	"Transfer-Encoding":    true,
	"Upgrade":              true,
	"Content-Length":       true,
	"Host":                 true,
	"Expect":               true,
	request.DeadlineHeader: true,
}

// EndToEndHeaders returns the headers that are forwarded: all except those in hopByHop and those that the Connection header lists.
func EndToEndHeaders(headers http.Header) []*wire.Header {
	listed := map[string]bool{}
	for _, value := range headers.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var forwarded []*wire.Header
	for name, values := range headers {
		if hopByHop[name] || listed[name] {
			continue
		}
		for _, value := range values {
			forwarded = append(forwarded, &wire.Header{Name: name, Value: value})
		}
	}
	return forwarded
}
