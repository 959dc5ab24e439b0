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
	// IdentityPath is the page on which a backend names its service and instance.
	IdentityPath = "/.snowflow/identity"
	// idleMargin is how long before the idle timeout that the backend announces a connection is no longer used.
	idleMargin = time.Second
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 16 << 10
)

// backendConn is a connection to a backend. One goroutine at a time uses it.
type backendConn struct {
	net       net.Conn
	limited   *io.LimitedReader // reads net, at most as many bytes as the responses read for one request may have
	readLimit int64             // the bytes that could be read for this request so far; limited.N of them are left
	reader    *bufio.Reader     // reads limited
	buffer    bytes.Buffer      // of the encoded request
	idleFor   time.Duration     // how long it had been idle before this request; zero for a new connection
	idleSince time.Time         // when it was last put among the idle ones
	maxIdle   time.Duration     // how long it may be idle: the backend's Keep-Alive header, or maxIdleTime
	history   requestHistory    // the requests that were sent on it, by the ids that the backend knows them by
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

// anythingRead reports whether a byte of a response has arrived since the request was sent.
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
