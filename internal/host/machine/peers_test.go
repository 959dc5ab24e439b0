package machine

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/frame"
	"snowflow/internal/transport/wire"
)

func startServer(t *testing.T, handlers host.Handlers) (*Machine, string, *eventlog.EventLog) {
	t.Helper()
	events, err := eventlog.New("test", "test", "error")
	if err != nil {
		t.Fatal(err)
	}
	machine := New(nil, events, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close(); events.Close() })
	go func() { _ = machine.Serve(listener, handlers) }()
	return machine, listener.Addr().String(), events
}

// TestMalformedFramesCloseTheConnection sends bytes that are no frame, a frame with a flipped bit, one of an unknown kind and one of a
// wire version that isn't adjacent. The server must close the connection and publish an event for each.
func TestMalformedFramesCloseTheConnection(t *testing.T) {
	_, address, events := startServer(t, host.Handlers{wire.Kind_discover: nil})
	valid := frame.Append(nil, frame.Frame{Kind: wire.Kind_forward, RequestID: 1, Content: []byte("abc")})
	flipped := append([]byte(nil), valid...)
	flipped[len(flipped)-1] ^= 1
	distant := append([]byte(nil), valid...)
	distant[5] = byte(frame.Version + 2)
	for name, content := range map[string][]byte{"no frame": []byte("GET / HTTP/1.1\r\nHost: somebody\r\n\r\n"), "a flipped bit": flipped,
		"an unknown kind": valid, "a distant version": distant} {
		t.Run(name, func(t *testing.T) {
			before := events.Counts()[eventlog.MalformedFrame]
			connection, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = connection.Write(content)
			_ = connection.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := connection.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !isReset(err) {
				t.Errorf("the connection was not closed: %v", err)
			}
			_ = connection.Close()
			if events.Counts()[eventlog.MalformedFrame] != before+1 {
				t.Error("no event was published")
			}
		})
	}
}

func isReset(err error) bool {
	operation := new(net.OpError)
	return errors.As(err, &operation) && !operation.Timeout()
}

// TestCallErrorsAreDistinguished checks that refused, unreachable and lost calls fail with different types of error.
func TestCallErrorsAreDistinguished(t *testing.T) {
	handlers := host.Handlers{}
	release := make(chan struct{})
	host.Handle(handlers, wire.Kind_discover, func(*wire.DiscoverRequest) (*wire.DiscoverResponse, error) { return nil, errors.New("no") })
	host.Handle(handlers, wire.Kind_forward, func(*wire.ForwardRequest) (*wire.ForwardResponse, error) {
		<-release
		return &wire.ForwardResponse{}, nil
	})
	host.Handle(handlers, wire.Kind_claim, func(request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
		return &wire.ClaimResponse{Outcome: request.Scope}, nil
	})
	machine, address, _ := startServer(t, handlers)
	defer close(release)
	if err := machine.Call(address, wire.Kind_discover, &wire.DiscoverRequest{}, &wire.DiscoverResponse{}, monotonic.Second); !apierror.IsRefused(err) {
		t.Errorf("a refused call failed with %v", err)
	}
	if err := machine.Call(address, wire.Kind_forward, &wire.ForwardRequest{}, &wire.ForwardResponse{}, 20*monotonic.Millisecond); err == nil || apierror.IsRefused(err) || apierror.IsUnreachable(err) {
		t.Errorf("a call without a reply failed with %v", err)
	}
	if err := machine.Call("127.0.0.1:1", wire.Kind_forward, &wire.ForwardRequest{}, &wire.ForwardResponse{}, monotonic.Second); !apierror.IsUnreachable(err) {
		t.Errorf("a call to a closed port failed with %v", err)
	}
	// Each reply must reach its own request, whatever other requests are pending on the connection.
	done := make(chan bool)
	for number := range 50 {
		go func() {
			response, scope := &wire.ClaimResponse{}, string(rune('a'+number))
			err := machine.Call(address, wire.Kind_claim, &wire.ClaimRequest{Scope: scope}, response, 10*monotonic.Second)
			done <- err == nil && response.Outcome == scope
		}()
	}
	for range 50 {
		if !<-done {
			t.Error("a reply reached another request")
		}
	}
}

// TestLongResponseSurvivesShortTimeout checks that a request that times out while a long reply is being received on the same
// connection does not close the connection: it is alive, so the long reply must arrive.
func TestLongResponseSurvivesShortTimeout(t *testing.T) {
	events, err := eventlog.New("test", "test", "error")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(events.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	started, timedOut := make(chan struct{}), make(chan struct{})
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		request, err := frame.Read(connection, 1<<20)
		if err != nil {
			return
		}
		answer, err := proto.Marshal(&wire.ForwardResponse{Body: make([]byte, 8<<20)})
		if err != nil {
			return
		}
		remaining := frame.Append(nil, frame.Frame{Kind: request.Kind, Flags: frame.Reply, RequestID: request.RequestID, Content: answer})
		close(started)
		for size := 1; len(remaining) > 0; remaining = remaining[size:] {
			select {
			case <-timedOut:
				size = len(remaining)
			default:
			}
			if _, err := connection.Write(remaining[:size]); err != nil {
				return
			}
		}
	}()
	machine, address, response := New(nil, events, nil), listener.Addr().String(), &wire.ForwardResponse{}
	long := make(chan error, 1)
	go func() {
		long <- machine.Call(address, wire.Kind_forward, &wire.ForwardRequest{}, response, monotonic.Minute)
	}()
	<-started
	if err := machine.Call(address, wire.Kind_discover, &wire.DiscoverRequest{}, &wire.DiscoverResponse{}, 100*monotonic.Millisecond); !apierror.IsLost(err) {
		t.Errorf("the call with the short timeout ended with %v", err)
	}
	close(timedOut)
	if err := <-long; err != nil || len(response.Body) != 8<<20 {
		t.Errorf("the call with the long reply ended with %v", err)
	}
}
