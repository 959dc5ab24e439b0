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
	host.Handle(table, wire.Kind_claim, func(ask *wire.ClaimAsk) (*wire.ClaimTell, error) {
		return &wire.ClaimTell{Outcome: ask.Scope}, nil
	})
	host.Handle(table, wire.Kind_whois, func(*wire.WhoisAsk) (*wire.WhoisTell, error) { return nil, apierror.Invalid.New("no") })
	called, address, _ := served(t, table)
	caller := New(nil, nil, nil)
	for range 3 {
		if err := caller.Call(address, wire.Kind_claim, &wire.ClaimAsk{Scope: "ab"}, &wire.ClaimTell{}, 10*monotonic.Second); err != nil {
			t.Fatal(err)
		}
	}
	if err := caller.Call(address, wire.Kind_whois, &wire.WhoisAsk{}, &wire.WhoisTell{}, 10*monotonic.Second); !apierror.IsRefused(err) {
		t.Fatal(err)
	}
	const claim = frame.HeaderLength + 4 // one field: its number, its length and two letters
	if got, want := caller.Kinds()[wire.Kind_claim], (Tally{Sent: 3, SentBytes: 3 * claim, Received: 3, ReceivedBytes: 3 * claim}); got != want {
		t.Errorf("the caller counts %+v, not %+v", got, want)
	}
	if got, want := called.Kinds()[wire.Kind_claim], caller.Kinds()[wire.Kind_claim]; got != want {
		t.Errorf("the called counts %+v, not %+v", got, want)
	}
	if got := caller.Kinds()[wire.Kind_whois]; got.Sent != 1 || got.Received != 1 || got.ReceivedBytes <= frame.HeaderLength {
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
	host.Handle(table, wire.Kind_pass, func(*wire.PassAsk) (*wire.PassTell, error) {
		close(came)
		<-held
		return &wire.PassTell{}, nil
	})
	host.Handle(table, wire.Kind_whois, func(*wire.WhoisAsk) (*wire.WhoisTell, error) { return &wire.WhoisTell{}, nil })
	_, address, _ := served(t, table)
	defer close(held)
	caller, lost := New(nil, nil, nil), make(chan error, 1)
	go func() {
		lost <- caller.Call(address, wire.Kind_pass, &wire.PassAsk{}, &wire.PassTell{}, monotonic.Minute)
	}()
	<-came
	caller.HangUp()
	if err := <-lost; !apierror.IsLost(err) {
		t.Errorf("the call ended with %v", err)
	}
	if err := caller.Call(address, wire.Kind_whois, &wire.WhoisAsk{}, &wire.WhoisTell{}, 10*monotonic.Second); err != nil {
		t.Errorf("the next call: %v", err)
	}
}
