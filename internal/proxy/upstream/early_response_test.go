package upstream_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/host/machine"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/upstream"
)

// TestEarlyResponse: a backend responds before it has read a long body, keeps the connection open and reads on. It must read that body to
// its end, and after it the next request or nothing.
func TestEarlyResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	body := bytes.Repeat([]byte("0123456789abcdef"), 512<<10) // more than a connection buffers
	read := make(chan error, 4)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				reader := bufio.NewReader(connection)
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					fmt.Fprintf(connection, "HTTP/1.1 413 Too Large\r\nX-Snowflow-Request: %s\r\nContent-Length: 2\r\n\r\nno", req.Header.Get("X-Snowflow-Request"))
					content, err := io.ReadAll(req.Body)
					if err == nil && !bytes.Equal(content, body) {
						err = fmt.Errorf("%d other bytes", len(content))
					}
					read <- err
				}
			}()
		}
	}()
	dialect := upstream.DefaultDialect()
	dialect.ChecksIdentity = false
	clock := machine.New(nil, nil, nil)
	transport := upstream.New(clock, dialect)
	for attempt := range 3 {
		backendRequest := admission.BackendRequest{ID: fmt.Sprintf("a-%d.1", attempt), Backend: localbackends.Backend{Instance: "one", Service: "forms", Address: listener.Addr().String()}, Method: "POST", Target: "/a", Body: body,
			Deadline: clock.Now() + monotonic.Minute, ResponseLimit: 1 << 20, BeforeSend: func() *apierror.Fault { return nil }}
		response, fault := transport.RoundTrip(backendRequest)
		if fault != nil || response.Status != http.StatusRequestEntityTooLarge {
			t.Fatalf("request %d: %v %v", attempt, response, fault)
		}
		if err := <-read; err != nil {
			t.Errorf("request %d: the backend read %v", attempt, err)
		}
	}
}
