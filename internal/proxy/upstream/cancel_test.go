package upstream_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"testing"
)

// TestCancelClosesConnection: when a caller disconnects while a backend is processing its request, the connection to the backend is
// closed at once.
func TestCancelClosesConnection(t *testing.T) {
	backend := newTestBackend(t)
	working, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- backend.readUntilClosed(working) }()
	request := backend.request("a.1", nil)
	stopped := false
	request.OnCancel = func(cancel func()) (stop func()) {
		go func() {
			<-working
			cancel()
		}()
		return func() { stopped = true }
	}
	response, fault := backend.transport.RoundTrip(request)
	if response != nil || fault == nil || fault.NotRun() || !stopped {
		t.Errorf("%v %v, stopped: %v", response, fault, stopped)
	}
	if err := <-ended; !errors.Is(err, io.EOF) {
		t.Errorf("the backend saw %v", err)
	}
}

// readUntilClosed reads one request, closes working, and returns the error of reading beyond the end of the request.
func (b *testBackend) readUntilClosed(working chan struct{}) error {
	connection, err := b.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	if _, err := http.ReadRequest(reader); err != nil {
		return err
	}
	close(working)
	_, err = reader.ReadByte()
	return err
}
