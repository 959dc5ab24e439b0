// Package ledger is the postmasters' replicated state: every desired state ever accepted, by serial.
package ledger

import (
	"google.golang.org/protobuf/proto"

	"snowflow/internal/franking"
	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
)

// The outcomes of an apply.
const (
	Accepted = "accepted"
	Conflict = "conflict"
	Invalid  = "invalid"
)

// Ledger is the machine. Invariant: states[i] has serial i+1, and is never changed or removed.
type Ledger struct {
	states   []*wire.DesiredKept
	requests map[string]*wire.DesiredKept
}

// New makes an empty ledger.
func New() *Ledger { return &Ledger{requests: map[string]*wire.DesiredKept{}} }

// Apply carries out a command. A request that was accepted before gets its first answer again.
func (ledger *Ledger) Apply(_ uint64, _ postmark.Micros, content []byte) []byte {
	command := &wire.DesiredCommand{}
	tell := &wire.DesiredApplyTell{Outcome: Invalid}
	if err := proto.Unmarshal(content, command); err == nil && command.Apply != nil {
		tell = ledger.accept(command.Apply)
	}
	encoded, err := proto.Marshal(tell)
	if err != nil {
		return nil
	}
	return encoded
}

func (ledger *Ledger) accept(ask *wire.DesiredApplyAsk) *wire.DesiredApplyTell {
	digest := franking.Digest(ask.Content)
	if earlier := ledger.requests[ask.Request]; ask.Request != "" && earlier != nil {
		if earlier.Digest == digest {
			return &wire.DesiredApplyTell{Outcome: Accepted, Serial: earlier.Serial, Digest: digest}
		}
		return &wire.DesiredApplyTell{Outcome: Conflict, Serial: ledger.Serial(), Faults: []string{"request id was used with another content"}}
	}
	if !ask.AnySerial && ask.ExpectedSerial != ledger.Serial() {
		return &wire.DesiredApplyTell{Outcome: Conflict, Serial: ledger.Serial()}
	}
	kept := &wire.DesiredKept{Serial: ledger.Serial() + 1, Content: ask.Content, Digest: digest, Request: ask.Request}
	ledger.keep(kept)
	return &wire.DesiredApplyTell{Outcome: Accepted, Serial: kept.Serial, Digest: digest}
}

func (ledger *Ledger) keep(kept *wire.DesiredKept) {
	ledger.states = append(ledger.states, kept)
	if kept.Request != "" {
		ledger.requests[kept.Request] = kept
	}
}

// Serial is the newest serial, zero before the first.
func (ledger *Ledger) Serial() uint64 { return uint64(len(ledger.states)) }

// Newest is the newest state, or nothing.
func (ledger *Ledger) Newest() *wire.DesiredKept { return ledger.Find(ledger.Serial()) }

// Find gives a state by serial, or nothing. States don't change, so it's not copied.
func (ledger *Ledger) Find(serial uint64) *wire.DesiredKept {
	if serial == 0 || serial > ledger.Serial() {
		return nil
	}
	return ledger.states[serial-1]
}

// All lists every state, oldest first. States don't change, and the list only grows behind its end.
func (ledger *Ledger) All() []*wire.DesiredKept {
	return ledger.states[:len(ledger.states):len(ledger.states)]
}

// View gives the whole state.
func (ledger *Ledger) View() []byte {
	content, err := proto.Marshal(&wire.DesiredView{States: ledger.states})
	if err != nil {
		panic(err) // the state is made of messages that were decoded or built here
	}
	return content
}

// Restore replaces the state.
func (ledger *Ledger) Restore(content []byte) error {
	view := &wire.DesiredView{}
	if err := proto.Unmarshal(content, view); err != nil {
		return err
	}
	ledger.states, ledger.requests = nil, map[string]*wire.DesiredKept{}
	for _, kept := range view.States {
		ledger.keep(kept)
	}
	return nil
}

// Waiting tells that no wait runs in desired states.
func (ledger *Ledger) Waiting() bool { return false }
