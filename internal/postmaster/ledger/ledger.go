// Package ledger is the postmasters' replicated state: the desired states accepted, by serial.
package ledger

import (
	"math"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/franking"
	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
	"snowflow/internal/postmaster/delta"
)

// The outcomes of an apply.
const (
	Accepted = "accepted"
	Conflict = "conflict"
	Invalid  = "invalid"
	// BaseUnknown: the content came as a difference from one that isn't kept here; nothing changed. It's to be sent whole.
	BaseUnknown = "base_unknown"
)

// Ledger is the machine.
// Invariants: serials rise along states, with gaps where versions were named; a state never changes; the newest stays, and
// older ones are removed only oldest first, once there are more than history; requests hold the states' own; a number stands for one
// content for as long as it's remembered, whether that was ever in force or not.
type Ledger struct {
	// Deltas tells whether views may hold states as differences, true if left out. It has no part in what the state is.
	Deltas func() bool

	// AnyContent confirms whatever content comes under a number that was taken. Only rehearsals of the checkers set it.
	AnyContent bool

	history  int
	states   []*wire.DesiredKept
	requests map[string]*wire.DesiredKept
	taken    taken
}

// New makes an empty ledger that keeps at most so many states, all for zero. Which requests it remembers goes by that, so it
// must be the same at every copy.
func New(history int) *Ledger {
	return &Ledger{history: history, requests: map[string]*wire.DesiredKept{}, taken: newTaken()}
}

// Apply carries out a command. A request that was accepted before gets its first answer again.
func (ledger *Ledger) Apply(_ uint64, _ postmark.Micros, content []byte) []byte {
	command := &wire.DesiredCommand{}
	tell := &wire.DesiredApplyTell{Outcome: Invalid}
	if err := proto.Unmarshal(content, command); err == nil && command.Apply != nil {
		tell = ledger.take(command.Apply)
	}
	encoded, err := proto.Marshal(tell)
	if err != nil {
		return nil
	}
	return encoded
}

// take carries out an apply, whose content may have come as a difference.
func (ledger *Ledger) take(ask *wire.DesiredApplyAsk) *wire.DesiredApplyTell {
	content, known := ledger.Content(ask)
	if !known {
		return &wire.DesiredApplyTell{Outcome: BaseUnknown, Serial: ledger.Serial()}
	}
	return ledger.accept(&wire.DesiredApplyAsk{Content: content, ExpectedSerial: ask.ExpectedSerial, Request: ask.Request, AnySerial: ask.AnySerial, Version: ask.Version})
}

// Content gives the content that an apply is about, if the base that it's told by is kept here.
func (ledger *Ledger) Content(ask *wire.DesiredApplyAsk) (content []byte, known bool) {
	if len(ask.Delta) == 0 {
		return ask.Content, true
	}
	var base []byte
	if ask.Base != "" {
		kept := ledger.WithDigest(ask.Base)
		if kept == nil {
			return nil, false
		}
		base = kept.Content
	}
	content, err := delta.Decode(base, ask.Delta, franking.Longest)
	return content, err == nil
}

// WithDigest gives the newest kept state with a digest, or nothing.
func (ledger *Ledger) WithDigest(digest string) *wire.DesiredKept {
	for _, kept := range slices.Backward(ledger.states) {
		if kept.Digest == digest {
			return kept
		}
	}
	return nil
}

func (ledger *Ledger) accept(ask *wire.DesiredApplyAsk) *wire.DesiredApplyTell {
	digest := franking.Digest(ask.Content)
	if ask.Version > 0 {
		return ledger.raise(ask, digest)
	}
	if earlier := ledger.requests[ask.Request]; ask.Request != "" && earlier != nil {
		if earlier.Digest == digest {
			return &wire.DesiredApplyTell{Outcome: Accepted, Serial: earlier.Serial, Digest: digest}
		}
		return &wire.DesiredApplyTell{Outcome: Conflict, Serial: ledger.Serial(), Faults: []string{"request id was used with another content"}}
	}
	if !ask.AnySerial && ask.ExpectedSerial != ledger.Serial() {
		return &wire.DesiredApplyTell{Outcome: Conflict, Serial: ledger.Serial()}
	}
	if ledger.Serial() == math.MaxUint64 {
		return &wire.DesiredApplyTell{Outcome: Conflict, Serial: ledger.Serial(), Faults: []string{"no serial is left"}}
	}
	kept := &wire.DesiredKept{Serial: ledger.Serial() + 1, Content: ask.Content, Digest: digest, Request: ask.Request}
	ledger.keep(kept)
	return &wire.DesiredApplyTell{Outcome: Accepted, Serial: kept.Serial, Digest: digest}
}

// raise takes a content that names its version if that is above the newest serial. The same content under a number that was taken, and
// any under a lower number that never was, is acknowledged and changes nothing, so that contents may come again and in any order.
// Another content under a number that was taken is refused: two operators are never both told yes. The request id plays no part.
func (ledger *Ledger) raise(ask *wire.DesiredApplyAsk, digest string) *wire.DesiredApplyTell {
	if !ledger.taken.claim(ask.Version, digest) && !ledger.AnyContent {
		return &wire.DesiredApplyTell{Outcome: Conflict, Serial: ledger.Serial(), Faults: []string{"the version stands for another content"}}
	}
	if ask.Version > ledger.Serial() {
		ledger.keep(&wire.DesiredKept{Serial: ask.Version, Content: ask.Content, Digest: digest, Request: ask.Request})
	}
	newest := ledger.Newest()
	return &wire.DesiredApplyTell{Outcome: Accepted, Serial: newest.Serial, Digest: newest.Digest}
}

func (ledger *Ledger) keep(kept *wire.DesiredKept) {
	ledger.taken.claim(kept.Serial, kept.Digest)
	ledger.states = append(ledger.states, kept)
	if kept.Request != "" {
		ledger.requests[kept.Request] = kept
	}
	if ledger.history == 0 || len(ledger.states) <= ledger.history {
		return
	}
	if oldest := ledger.states[0]; ledger.requests[oldest.Request] == oldest {
		delete(ledger.requests, oldest.Request)
	}
	// A new list: others may hold the present one, and the oldest's content is to be let go.
	ledger.states = slices.Clone(ledger.states[1:])
}

// Serial is the newest serial, zero before the first.
func (ledger *Ledger) Serial() uint64 {
	if len(ledger.states) == 0 {
		return 0
	}
	return ledger.states[len(ledger.states)-1].Serial
}

// Newest is the newest state, or nothing.
func (ledger *Ledger) Newest() *wire.DesiredKept { return ledger.Find(ledger.Serial()) }

// Find gives a state by serial, or nothing. States don't change, so it's not copied.
func (ledger *Ledger) Find(serial uint64) *wire.DesiredKept {
	index := sort.Search(len(ledger.states), func(index int) bool { return ledger.states[index].Serial >= serial })
	if index == len(ledger.states) || ledger.states[index].Serial != serial {
		return nil
	}
	return ledger.states[index]
}

// All lists every state kept, oldest first. States don't change, and the list only grows behind its end.
func (ledger *Ledger) All() []*wire.DesiredKept {
	return ledger.states[:len(ledger.states):len(ledger.states)]
}

// View gives the whole state.
func (ledger *Ledger) View() []byte {
	view := &wire.DesiredView{States: ledger.states, Taken: ledger.taken.list()}
	if ledger.Deltas == nil || ledger.Deltas() {
		view.States = packed(ledger.states)
	}
	content, err := proto.Marshal(view)
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
	states, err := unpacked(view.States)
	if err != nil {
		return err
	}
	ledger.states, ledger.requests, ledger.taken = nil, map[string]*wire.DesiredKept{}, newTaken()
	for _, one := range view.Taken {
		ledger.taken.restore(one)
	}
	for _, kept := range states {
		ledger.keep(kept)
	}
	return nil
}

// Waiting tells that no wait runs in desired states.
func (ledger *Ledger) Waiting() bool { return false }
