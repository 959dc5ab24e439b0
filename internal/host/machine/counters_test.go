package machine

import (
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/frame"
	"snowflow/internal/transport/wire"
)

// TestMessagesAreCountedByKind checks that each end counts each message once, under its kind, with the bytes of its whole frame.
func TestMessagesAreCountedByKind(t *testing.T) {
	handlers := host.Handlers{}
	host.Handle(handlers, wire.Kind_claim, func(request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
		return &wire.ClaimResponse{Outcome: request.Scope}, nil
	})
	host.Handle(handlers, wire.Kind_discover, func(*wire.DiscoverRequest) (*wire.DiscoverResponse, error) { return nil, apierror.Invalid.New("no") })
	server, address, _ := startServer(t, handlers)
	client := New(nil, nil, nil)
	for range 3 {
		if err := client.Call(address, wire.Kind_claim, &wire.ClaimRequest{Scope: "ab"}, &wire.ClaimResponse{}, 10*monotonic.Second); err != nil {
			t.Fatal(err)
		}
	}
	if err := client.Call(address, wire.Kind_discover, &wire.DiscoverRequest{}, &wire.DiscoverResponse{}, 10*monotonic.Second); !apierror.IsRefused(err) {
		t.Fatal(err)
	}
	const claimSize = frame.HeaderLength + 4 // one field: its tag, its length and two letters
	if got, want := client.MessageCounts()[wire.Kind_claim], (MessageCount{Sent: 3, SentBytes: 3 * claimSize, Received: 3, ReceivedBytes: 3 * claimSize}); got != want {
		t.Errorf("the client counts %+v, want %+v", got, want)
	}
	if got, want := server.MessageCounts()[wire.Kind_claim], client.MessageCounts()[wire.Kind_claim]; got != want {
		t.Errorf("the server counts %+v, want %+v", got, want)
	}
	if got := client.MessageCounts()[wire.Kind_discover]; got.Sent != 1 || got.Received != 1 || got.ReceivedBytes <= frame.HeaderLength {
		t.Errorf("a refused call counts as %+v", got)
	}
	if len(client.MessageCounts()) != 2 {
		t.Errorf("other kinds count too: %v", client.MessageCounts())
	}
	for kind := range wire.Kind_name {
		if kind >= maxKinds {
			t.Errorf("kind %d is not below maxKinds, so it isn't counted", kind)
		}
	}
}

// TestCloseConnections checks that a call that waits for a reply fails with Lost when its connection is closed, and that the next
// call dials a new connection.
func TestCloseConnections(t *testing.T) {
	handlers, received, release := host.Handlers{}, make(chan struct{}), make(chan struct{})
	host.Handle(handlers, wire.Kind_forward, func(*wire.ForwardRequest) (*wire.ForwardResponse, error) {
		close(received)
		<-release
		return &wire.ForwardResponse{}, nil
	})
	host.Handle(handlers, wire.Kind_discover, func(*wire.DiscoverRequest) (*wire.DiscoverResponse, error) { return &wire.DiscoverResponse{}, nil })
	_, address, _ := startServer(t, handlers)
	defer close(release)
	client, result := New(nil, nil, nil), make(chan error, 1)
	go func() {
		result <- client.Call(address, wire.Kind_forward, &wire.ForwardRequest{}, &wire.ForwardResponse{}, monotonic.Minute)
	}()
	<-received
	client.CloseConnections()
	if err := <-result; !apierror.IsLost(err) {
		t.Errorf("the call ended with %v", err)
	}
	if err := client.Call(address, wire.Kind_discover, &wire.DiscoverRequest{}, &wire.DiscoverResponse{}, 10*monotonic.Second); err != nil {
		t.Errorf("the next call failed with %v", err)
	}
}

// TestKindLabelsAreStable checks that each kind, by its number on the wire, keeps the label under which it was first published.
func TestKindLabelsAreStable(t *testing.T) {
	labels := map[wire.Kind]string{
		0: "kind_unset", 1: "whois", 2: "register_read", 3: "register_promise", 4: "register_accept", 5: "tenure_ask", 6: "replicate", 7: "install",
		8: "handover", 9: "sessions_tell", 10: "enroll", 20: "sorter_poll", 21: "claim", 22: "void", 23: "claim_settle", 24: "probe_lease",
		25: "guard_write", 26: "duty", 27: "sorter_status", 28: "sorter_batch", 40: "desired_poll", 41: "desired_apply", 42: "desired_read",
		43: "postmaster_status", 60: "pass", 61: "recall", 62: "pass_bulk", 63: "pass_cancel",
	}
	for number := range wire.Kind_name {
		kind := wire.Kind(number)
		if got := KindLabel(kind); got != labels[kind] {
			t.Errorf("kind %d is labelled %s, want %q", kind, got, labels[kind])
		}
	}
}
