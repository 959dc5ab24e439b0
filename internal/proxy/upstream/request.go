package upstream

import (
	"bytes"
	"net/http"
	"strconv"

	"snowflow/internal/proxy/admission"
)

// encode returns the encoded request. The bytes are valid until the next call with the same connection.
func (t *Transport) encode(conn *backendConn, req admission.BackendRequest) []byte {
	buffer := &conn.buffer
	buffer.Reset()
	headers, host := t.dialect.Headers(req, req.Deadline-t.clock.Now()), req.Backend.Address
	for _, header := range headers {
		if header.Name == "Host" {
			host = header.Value
		}
	}
	writeStrings(buffer, req.Method, " ", req.Target, " HTTP/1.1\r\nHost: ", host, "\r\n")
	for _, header := range headers {
		if header.Name != "Host" {
			writeStrings(buffer, header.Name, ": ", header.Value, "\r\n")
		}
	}
	if len(req.Body) > 0 || takesBody(req.Method) {
		writeStrings(buffer, "Content-Length: ", strconv.Itoa(len(req.Body)), "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(req.Body)
	return buffer.Bytes()
}

func writeStrings(buffer *bytes.Buffer, parts ...string) {
	for _, part := range parts {
		buffer.WriteString(part)
	}
}

func takesBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
