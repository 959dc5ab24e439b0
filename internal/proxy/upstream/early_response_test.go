package upstream_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestEarlyResponse: a backend responds before it has read a long request body, keeps the connection open and reads on. It must
// receive the complete body, followed by the next request or nothing.
func TestEarlyResponse(t *testing.T) {
	backend := newTestBackend(t)
	body := bytes.Repeat([]byte("0123456789abcdef"), 512<<10) // larger than the buffers of a connection
	read := make(chan error, 4)
	go func() {
		for {
			connection, err := backend.Accept()
			if err != nil {
				return
			}
			go respondEarly(connection, body, read)
		}
	}()
	for attempt := range 3 {
		response, fault := backend.transport.RoundTrip(backend.request(fmt.Sprintf("a-%d.1", attempt), body))
		if fault != nil || response.Status != http.StatusRequestEntityTooLarge {
			t.Fatalf("request %d: %v %v", attempt, response, fault)
		}
		if err := <-read; err != nil {
			t.Errorf("request %d: the backend read %v", attempt, err)
		}
	}
}

// respondEarly responds to each request on a connection before it reads the body. It sends nil on read if the body was the expected
// one, otherwise an error.
func respondEarly(connection net.Conn, expected []byte, read chan<- error) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		incoming, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := incoming.Header.Get("X-Snowflow-Request")
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 413 Too Large\r\nX-Snowflow-Request: %s\r\nContent-Length: 2\r\n\r\nno", id)
		content, err := io.ReadAll(incoming.Body)
		if err == nil && !bytes.Equal(content, expected) {
			err = fmt.Errorf("%d bytes that differ from the body", len(content))
		}
		read <- err
	}
}
