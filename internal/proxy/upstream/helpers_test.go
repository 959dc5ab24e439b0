package upstream_test

import (
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

// testBackend is a listener for a test's backend, and a transport that sends requests to it without identity checks.
type testBackend struct {
	net.Listener
	clock     monotonic.Clock
	transport *upstream.Transport
}

func newTestBackend(t *testing.T) *testBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	dialect := upstream.DefaultDialect()
	dialect.ChecksIdentity = false
	clock := machine.New(nil, nil, nil)
	return &testBackend{Listener: listener, clock: clock, transport: upstream.New(clock, dialect)}
}

// request returns a request for the backend: a POST if it has a body, otherwise a GET.
func (b *testBackend) request(id string, body []byte) admission.BackendRequest {
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	return admission.BackendRequest{
		ID:            id,
		Backend:       localbackends.Backend{Instance: "one", Service: "forms", Address: b.Addr().String()},
		Method:        method,
		Target:        "/a",
		Body:          body,
		Deadline:      b.clock.Now() + monotonic.Minute,
		ResponseLimit: 1 << 20,
		BeforeSend:    func() *apierror.Error { return nil },
	}
}
