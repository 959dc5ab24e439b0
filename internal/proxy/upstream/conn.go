package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"snowflow/internal/apierror"
	"snowflow/internal/host/machine/socket"
	"snowflow/internal/proxy/admission"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/request"
)

const (
	// IdentityPath is the page on which a backend names its service and instance.
	IdentityPath = "/.snowflow/identity"
	// maxInterim bounds the interim responses (status below 200) before a response.
	maxInterim = 4
	// idleMargin is how long before the idle timeout that the backend announces a connection is no longer used.
	idleMargin = time.Second
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 16 << 10
)

// backendConn is a connection to a backend. One goroutine at a time uses it.
type backendConn struct {
	net       net.Conn
	limited   *io.LimitedReader // reads net, at most as many bytes as the response may have
	readLimit int64             // limited.N before anything of the response was read
	reader    *bufio.Reader     // reads limited
	buffer    bytes.Buffer      // of the encoded request
	idleFor   time.Duration     // how long it had been idle before this request; zero for a new connection
	idleSince time.Time         // when the last response was read
	maxIdle   time.Duration     // how long it may be idle: the backend's Keep-Alive header, or maxIdleTime
}

func newBackendConn(connection net.Conn) *backendConn {
	limited := &io.LimitedReader{R: connection, N: maxHeaderBytes}
	return &backendConn{net: connection, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes), maxIdle: maxIdleTime}
}

// reusable reports whether an idle connection is open with nothing to read on it.
func (c *backendConn) reusable() bool {
	if c.reader.Buffered() > 0 || time.Since(c.idleSince) > c.maxIdle {
		return false
	}
	known, ok := c.net.(syscall.Conn)
	return ok && socket.IsIdle(known)
}

// anythingRead reports whether a byte of the response has arrived.
func (c *backendConn) anythingRead() bool { return c.limited.N != c.readLimit }

type identity struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
}

// identify requests the identity page and returns an error if it does not name the backend.
func (c *backendConn) identify(backend localbackends.Backend) error {
	head := "GET " + IdentityPath + " HTTP/1.1\r\nHost: " + backend.Address + "\r\n\r\n"
	if _, err := io.WriteString(c.net, head); err != nil {
		return err
	}
	c.limited.N = maxHeaderBytes
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return err
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	var page identity
	if response.StatusCode != http.StatusOK || json.Unmarshal(content, &page) != nil {
		return fmt.Errorf("no identity page (status %d)", response.StatusCode)
	}
	if page.Service != backend.Service || page.Instance != backend.Instance {
		return fmt.Errorf("it is %s of %s, not %s of %s", page.Instance, page.Service, backend.Instance, backend.Service)
	}
	if response.Close || c.reader.Buffered() > 0 {
		return errors.New("the identity page ended the connection or said more than it should")
	}
	return nil
}

// encode returns the bytes of a request, which are valid until the next call for the connection.
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

// readResponse reads the response to a request, and reports whether the connection may be used again.
func (c *backendConn) readResponse(req admission.BackendRequest, dialect Dialect) (*request.Response, bool, *apierror.Fault) {
	head, fault := c.readHead(req)
	if fault != nil {
		return nil, false, fault
	}
	bodyless := req.Method == http.MethodHead || head.StatusCode == http.StatusNoContent || head.StatusCode == http.StatusNotModified
	if head.ContentLength < 0 && len(head.TransferEncoding) == 0 && !bodyless {
		return nil, false, malformed(req, "the answer's end can't be told from a broken connection")
	}
	body, fault := readBody(req, head)
	if fault != nil {
		return nil, false, fault
	}
	c.idleSince = time.Now()
	trailing := c.reader.Buffered()
	if trailing > 0 && !dialect.AllowsTrailingBytes {
		return nil, false, malformed(req, "%d bytes after the end of the response", trailing)
	}
	notRun, err := dialect.CheckResponse(req, head)
	if err != nil {
		return nil, false, apierror.New(apierror.ResponseMismatch, apierror.MayHaveRun, "%s: %v", req.Backend.Instance, err)
	}
	c.applyKeepAlive(head.Header)
	response := &request.Response{Status: uint32(head.StatusCode), Headers: EndToEndHeaders(head.Header), Body: body, NotRun: notRun}
	return response, !head.Close && !bodyless && trailing == 0, nil
}

// readHead reads the status and the headers of a response, past any interim ones.
func (c *backendConn) readHead(req admission.BackendRequest) (*http.Response, *apierror.Fault) {
	c.readLimit = int64(req.ResponseLimit) + maxHeaderBytes
	c.limited.N = c.readLimit
	httpRequest := &http.Request{Method: req.Method}
	for interim := 0; ; interim++ {
		head, err := http.ReadResponse(c.reader, httpRequest)
		if isTimeout(err) {
			return nil, apierror.New(apierror.ResponseTimeout, apierror.MayHaveRun, "%s gave no response before the deadline", req.Backend.Instance)
		}
		if err != nil {
			return nil, malformed(req, "%v", err)
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
		if head.StatusCode == http.StatusSwitchingProtocols || interim >= maxInterim {
			return nil, malformed(req, "interim status %d", head.StatusCode)
		}
	}
}

func readBody(req admission.BackendRequest, head *http.Response) ([]byte, *apierror.Fault) {
	limit := int64(req.ResponseLimit)
	if head.ContentLength > limit {
		return nil, apierror.New(apierror.ResponseTooLarge, apierror.MayHaveRun,
			"%s announced %d bytes, limit %d", req.Backend.Instance, head.ContentLength, limit)
	}
	body, err := ReadAll(io.LimitReader(head.Body, limit+1), head.ContentLength)
	if isTimeout(err) {
		return nil, apierror.New(apierror.ResponseTimeout, apierror.MayHaveRun,
			"%s did not finish its response before the deadline", req.Backend.Instance)
	}
	if err != nil {
		return nil, malformed(req, "%v", err)
	}
	if int64(len(body)) > limit {
		return nil, apierror.New(apierror.ResponseTooLarge, apierror.MayHaveRun, "%s sent more than %d bytes", req.Backend.Instance, limit)
	}
	return body, nil
}

// applyKeepAlive limits maxIdle by the timeout of the backend's Keep-Alive header, in seconds, if there is one.
func (c *backendConn) applyKeepAlive(headers http.Header) {
	seconds, found := strings.CutPrefix(headers.Get("Keep-Alive"), "timeout=")
	if !found {
		return
	}
	seconds, _, _ = strings.Cut(seconds, ",")
	if count, err := strconv.Atoi(strings.TrimSpace(seconds)); err == nil {
		c.maxIdle = min(maxIdleTime, time.Duration(count)*time.Second-idleMargin)
	}
}

// malformed returns the fault of a response that is incomplete, not HTTP, or followed by more bytes than it announced.
func malformed(req admission.BackendRequest, format string, arguments ...any) *apierror.Fault {
	return apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "%s: %s", req.Backend.Instance, fmt.Sprintf(format, arguments...))
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
