package upstream_test

import (
	"bufio"
	"errors"
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

// TestCancelClosesConnection: the connection of a request whose caller leaves while its backend is at work is closed at once.
func TestCancelClosesConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	working, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer connection.Close()
		reader := bufio.NewReader(connection)
		if _, err := http.ReadRequest(reader); err != nil {
			ended <- err
			return
		}
		close(working)
		_, err = reader.ReadByte()
		ended <- err
	}()
	dialect := upstream.DefaultDialect()
	dialect.ChecksIdentity = false
	clock := machine.New(nil, nil, nil)
	backendRequest := admission.BackendRequest{ID: "a.1", Backend: localbackends.Backend{Instance: "one", Service: "forms", Address: listener.Addr().String()}, Method: "GET", Target: "/a",
		Deadline: clock.Now() + monotonic.Minute, ResponseLimit: 1 << 20, BeforeSend: func() *apierror.Fault { return nil }}
	stopped := false
	backendRequest.OnCancel = func(cancel func()) (stop func()) {
		go func() {
			<-working
			cancel()
		}()
		return func() { stopped = true }
	}
	response, fault := upstream.New(clock, dialect).RoundTrip(backendRequest)
	if response != nil || fault == nil || fault.NotRun() || !stopped {
		t.Errorf("%v %v, stopped: %v", response, fault, stopped)
	}
	if err := <-ended; !errors.Is(err, io.EOF) {
		t.Errorf("the backend saw %v", err)
	}
}
