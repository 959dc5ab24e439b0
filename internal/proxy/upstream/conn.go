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
	"strconv"
	"strings"
	"syscall"
	"time"

	"snowflow/internal/host/machine/socket"
	"snowflow/internal/proxy/localbackends"
)

const (
	// IdentityPath is the path at which a backend returns its service and instance names as JSON.
	IdentityPath = "/.snowflow/identity"
	// idleMargin is subtracted from the idle timeout that a backend announces: the connection is not used after that.
	idleMargin = time.Second
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 16 << 10
)

// backendConn is a connection to a backend. It must not be used concurrently.
type backendConn struct {
	net       net.Conn
	limited   *io.LimitedReader // reads from net, and bounds the bytes read for one request
	readLimit int64             // number of bytes allowed for this request so far; limited.N of them are still unread
	reader    *bufio.Reader     // reads from limited
	buffer    bytes.Buffer      // holds the encoded request
	idleFor   time.Duration     // how long it was idle before this request; zero for a new connection
	idleSince time.Time         // when it was last returned to the pool
	maxIdle   time.Duration     // how long it may be idle: set by the backend's Keep-Alive header, otherwise maxIdleTime
	history   requestHistory    // ids of the requests that were sent on it, as the backend knows them
}

func newBackendConn(connection net.Conn) *backendConn {
	limited := &io.LimitedReader{R: connection, N: maxHeaderBytes}
	return &backendConn{net: connection, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes), maxIdle: maxIdleTime}
}

// reusable reports whether an idle connection is still open, has not been idle for too long and has no unread data.
func (c *backendConn) reusable() bool {
	if c.reader.Buffered() > 0 || time.Since(c.idleSince) > c.maxIdle {
		return false
	}
	rawConn, ok := c.net.(syscall.Conn)
	return ok && socket.IsIdle(rawConn)
}

// responseStarted reports whether a byte of a response has arrived since the request was sent.
func (c *backendConn) responseStarted() bool { return c.limited.N != c.readLimit }

type identity struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
}

// identify requests the identity page and returns an error if the page does not name the expected backend.
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
		return errors.New("the identity response closes the connection or is followed by more data")
	}
	return nil
}

// applyKeepAlive sets maxIdle to the timeout in the backend's Keep-Alive header, which is in seconds, minus idleMargin, but at most to
// maxIdleTime. Without such a timeout it changes nothing.
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
