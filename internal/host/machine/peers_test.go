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

func served(t *testing.T, table host.Table) (*Machine, string, *eventlog.Board) {
	t.Helper()
	board, err := eventlog.NewBoard("test", "test", "error")
	if err != nil {
		t.Fatal(err)
	}
	machine := New(nil, board, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close(); board.Close() })
	go func() { _ = machine.Serve(listener, table) }()
	return machine, listener.Addr().String(), board
}

// TestMalformedFramesCloseTheConnection sends what is no frame, a frame cut by a flipped bit, an unknown kind and a
// version that isn't adjacent; each closes the connection and is told as an event.
func TestMalformedFramesCloseTheConnection(t *testing.T) {
	_, address, board := served(t, host.Table{wire.Kind_discover: nil})
	good := frame.Append(nil, frame.Frame{Kind: wire.Kind_forward, Number: 1, Content: []byte("abc")})
	flipped := append([]byte(nil), good...)
	flipped[len(flipped)-1] ^= 1
	distant := append([]byte(nil), good...)
	distant[5] = byte(frame.Version + 2)
	for name, content := range map[string][]byte{"no frame": []byte("GET / HTTP/1.1\r\nHost: somebody\r\n\r\n"), "a flipped bit": flipped,
		"an unknown kind": good, "a distant version": distant} {
		before := board.Counts()[eventlog.MalformedFrame]
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = connection.Write(content)
		_ = connection.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := connection.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !isReset(err) {
			t.Errorf("%s: the connection stays open: %v", name, err)
		}
		_ = connection.Close()
		if board.Counts()[eventlog.MalformedFrame] != before+1 {
			t.Errorf("%s: no event", name)
		}
	}
}

func isReset(err error) bool {
	operation := new(net.OpError)
	return errors.As(err, &operation) && !operation.Timeout()
}

// TestCallsSayWhatMayHaveHappened: refused, unreachable and lost are told apart.
func TestCallsSayWhatMayHaveHappened(t *testing.T) {
	table := host.Table{}
	held := make(chan struct{})
	host.Handle(table, wire.Kind_discover, func(*wire.DiscoverRequest) (*wire.DiscoverResponse, error) { return nil, errors.New("no") })
	host.Handle(table, wire.Kind_forward, func(*wire.ForwardRequest) (*wire.ForwardResponse, error) { <-held; return &wire.ForwardResponse{}, nil })
	host.Handle(table, wire.Kind_claim, func(ask *wire.ClaimRequest) (*wire.ClaimResponse, error) {
		return &wire.ClaimResponse{Outcome: ask.Scope}, nil
	})
	machine, address, _ := served(t, table)
	defer close(held)
	if err := machine.Call(address, wire.Kind_discover, &wire.DiscoverRequest{}, &wire.DiscoverResponse{}, monotonic.Second); !apierror.IsRefused(err) {
		t.Errorf("refused: %v", err)
	}
	if err := machine.Call(address, wire.Kind_forward, &wire.ForwardRequest{}, &wire.ForwardResponse{}, 20*monotonic.Millisecond); err == nil || apierror.IsRefused(err) || apierror.IsUnreachable(err) {
		t.Errorf("lost: %v", err)
	}
	if err := machine.Call("127.0.0.1:1", wire.Kind_forward, &wire.ForwardRequest{}, &wire.ForwardResponse{}, monotonic.Second); !apierror.IsUnreachable(err) {
		t.Errorf("unreachable: %v", err)
	}
	// Answers find their own asks, whatever else waits on the connection.
	done := make(chan bool)
	for number := range 50 {
		go func() {
			tell, scope := &wire.ClaimResponse{}, string(rune('a'+number))
			err := machine.Call(address, wire.Kind_claim, &wire.ClaimRequest{Scope: scope}, tell, 10*monotonic.Second)
			done <- err == nil && tell.Outcome == scope
		}()
	}
	for range 50 {
		if !<-done {
			t.Error("an answer went astray")
		}
	}
}

// TestLongAnswerOutlivesShortAsk: while a long answer comes in, a short ask on the same connection runs out of patience.
// The connection is alive, so the long answer must still arrive.
func TestLongAnswerOutlivesShortAsk(t *testing.T) {
	board, err := eventlog.NewBoard("test", "test", "error")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(board.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	coming, ranOut := make(chan struct{}), make(chan struct{})
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		ask, err := frame.Read(connection, 1<<20)
		if err != nil {
			return
		}
		answer, err := proto.Marshal(&wire.ForwardResponse{Body: make([]byte, 8<<20)})
		if err != nil {
			return
		}
		rest := frame.Append(nil, frame.Frame{Kind: ask.Kind, Flags: frame.Reply, Number: ask.Number, Content: answer})
		close(coming)
		for piece := 1; len(rest) > 0; rest = rest[piece:] {
			select {
			case <-ranOut:
				piece = len(rest)
			default:
			}
			if _, err := connection.Write(rest[:piece]); err != nil {
				return
			}
		}
	}()
	machine, address, tell := New(nil, board, nil), listener.Addr().String(), &wire.ForwardResponse{}
	long := make(chan error, 1)
	go func() {
		long <- machine.Call(address, wire.Kind_forward, &wire.ForwardRequest{}, tell, monotonic.Minute)
	}()
	<-coming
	if err := machine.Call(address, wire.Kind_discover, &wire.DiscoverRequest{}, &wire.DiscoverResponse{}, 100*monotonic.Millisecond); !apierror.IsLost(err) {
		t.Errorf("the short ask: %v", err)
	}
	close(ranOut)
	if err := <-long; err != nil || len(tell.Body) != 8<<20 {
		t.Errorf("the long answer: %v", err)
	}
}
