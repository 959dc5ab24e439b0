package machine

import (
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/frame"
	"snowflow/internal/transport/wire"
)

// TestKindsAreCounted: each message counts once at each end, under its own kind, with the bytes of its whole frame.
func TestKindsAreCounted(t *testing.T) {
	table := host.Table{}
	host.Handle(table, wire.Kind_claim, func(ask *wire.ClaimRequest) (*wire.ClaimResponse, error) {
		return &wire.ClaimResponse{Outcome: ask.Scope}, nil
	})
	host.Handle(table, wire.Kind_discover, func(*wire.DiscoverRequest) (*wire.DiscoverResponse, error) { return nil, apierror.Invalid.New("no") })
	called, address, _ := served(t, table)
	caller := New(nil, nil, nil)
	for range 3 {
		if err := caller.Call(address, wire.Kind_claim, &wire.ClaimRequest{Scope: "ab"}, &wire.ClaimResponse{}, 10*monotonic.Second); err != nil {
			t.Fatal(err)
		}
	}
	if err := caller.Call(address, wire.Kind_discover, &wire.DiscoverRequest{}, &wire.DiscoverResponse{}, 10*monotonic.Second); !apierror.IsRefused(err) {
		t.Fatal(err)
	}
	const claim = frame.HeaderLength + 4 // one field: its number, its length and two letters
	if got, want := caller.Kinds()[wire.Kind_claim], (Tally{Sent: 3, SentBytes: 3 * claim, Received: 3, ReceivedBytes: 3 * claim}); got != want {
		t.Errorf("the caller counts %+v, not %+v", got, want)
	}
	if got, want := called.Kinds()[wire.Kind_claim], caller.Kinds()[wire.Kind_claim]; got != want {
		t.Errorf("the called counts %+v, not %+v", got, want)
	}
	if got := caller.Kinds()[wire.Kind_discover]; got.Sent != 1 || got.Received != 1 || got.ReceivedBytes <= frame.HeaderLength {
		t.Errorf("a refusal counts as %+v", got)
	}
	if len(caller.Kinds()) != 2 {
		t.Errorf("other kinds count too: %v", caller.Kinds())
	}
	for kind := range wire.Kind_name {
		if kind >= kinds {
			t.Errorf("kind %d isn't counted", kind)
		}
	}
}

// TestHangUp: who waits on a connection that this process ends is told that it's lost, and the next call dials anew.
func TestHangUp(t *testing.T) {
	table, came, held := host.Table{}, make(chan struct{}), make(chan struct{})
	host.Handle(table, wire.Kind_forward, func(*wire.ForwardRequest) (*wire.ForwardResponse, error) {
		close(came)
		<-held
		return &wire.ForwardResponse{}, nil
	})
	host.Handle(table, wire.Kind_discover, func(*wire.DiscoverRequest) (*wire.DiscoverResponse, error) { return &wire.DiscoverResponse{}, nil })
	_, address, _ := served(t, table)
	defer close(held)
	caller, lost := New(nil, nil, nil), make(chan error, 1)
	go func() {
		lost <- caller.Call(address, wire.Kind_forward, &wire.ForwardRequest{}, &wire.ForwardResponse{}, monotonic.Minute)
	}()
	<-came
	caller.HangUp()
	if err := <-lost; !apierror.IsLost(err) {
		t.Errorf("the call ended with %v", err)
	}
	if err := caller.Call(address, wire.Kind_discover, &wire.DiscoverRequest{}, &wire.DiscoverResponse{}, 10*monotonic.Second); err != nil {
		t.Errorf("the next call: %v", err)
	}
}
