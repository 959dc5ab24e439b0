// Package rack is the sorters' replicated state: guards, claims and duties behind countersign's machine interface.
package rack

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
	"snowflow/internal/sorter/counterfoil"
	"snowflow/internal/sorter/duty"
	"snowflow/internal/sorter/pigeonhole"
)

// sweepEvery is how far holder time moves between two sweeps. Sweeps happen inside Apply, so both copies make the same.
const sweepEvery = 250 * postmark.Millisecond

// Rack is the machine. Invariant: it changes only in Apply and Restore, and only by what they are given.
type Rack struct {
	Guards *pigeonhole.Table
	Claims *counterfoil.Table
	Duties *duty.Table
	swept  postmark.Micros
}

// New makes an empty rack.
func New() *Rack {
	return &Rack{Guards: pigeonhole.New(), Claims: counterfoil.New(), Duties: duty.New()}
}

// Apply carries out a command. An empty command is a tick.
func (rack *Rack) Apply(epoch uint64, now postmark.Micros, content []byte) []byte {
	command := &wire.SorterCommand{}
	if err := proto.Unmarshal(content, command); err != nil {
		return nil
	}
	if ended := command.GetTick().GetEnded(); now-rack.swept >= sweepEvery || len(ended) > 0 {
		rack.swept = now
		rack.Guards.Sweep(ended, now)
		rack.Claims.Sweep(now)
		rack.Duties.Sweep(now)
	}
	result := &wire.SorterResult{}
	for _, step := range steps {
		step(rack, epoch, now, command, result)
	}
	encoded, err := proto.Marshal(result)
	if err != nil {
		return nil
	}
	return encoded
}

// steps carry out the part of a command that is present.
var steps = []func(rack *Rack, epoch uint64, now postmark.Micros, command *wire.SorterCommand, result *wire.SorterResult){
	func(rack *Rack, _ uint64, now postmark.Micros, command *wire.SorterCommand, result *wire.SorterResult) {
		if command.Claim != nil {
			result.Claim = rack.Claims.Claim(command.Claim, now)
		}
	},
	func(rack *Rack, epoch uint64, now postmark.Micros, command *wire.SorterCommand, result *wire.SorterResult) {
		if command.Void != nil {
			result.Void = rack.Claims.Void(command.Void, epoch, now)
		}
	},
	func(rack *Rack, _ uint64, now postmark.Micros, command *wire.SorterCommand, result *wire.SorterResult) {
		if command.Settle != nil {
			result.Settle = rack.Claims.Settle(command.Settle, now)
		}
	},
	func(rack *Rack, _ uint64, now postmark.Micros, command *wire.SorterCommand, result *wire.SorterResult) {
		if command.Lease != nil {
			result.Lease = rack.Guards.Lease(command.Lease, now)
		}
	},
	func(rack *Rack, _ uint64, now postmark.Micros, command *wire.SorterCommand, result *wire.SorterResult) {
		if command.Guard != nil {
			result.Guard = rack.Guards.Write(command.Guard, now)
		}
	},
	func(rack *Rack, _ uint64, now postmark.Micros, command *wire.SorterCommand, result *wire.SorterResult) {
		if command.Duty != nil {
			result.Duty = rack.Duties.Ask(command.Duty, now)
		}
	},
}

// The claims' field in wire.SorterView. They are most of the state, so they are copied into a view and out of it as they are encoded.
const claimsField protowire.Number = 2

// View gives the whole state.
func (rack *Rack) View() []byte {
	rest := &wire.SorterView{Guards: rack.Guards.Records(), Duties: rack.Duties.Records(), Swept: int64(rack.swept)}
	options := proto.MarshalOptions{}
	room := options.Size(rest) + rack.Claims.Size() + rack.Claims.Length()*(protowire.SizeTag(claimsField)+protowire.SizeVarint(1<<20))
	content, err := options.MarshalAppend(make([]byte, 0, room), rest)
	if err != nil {
		panic(err) // the state is made of messages that were decoded or built here
	}
	return rack.Claims.AppendView(content, claimsField)
}

// Restore replaces the state; nothing restores the empty one. The content is kept, not copied.
func (rack *Rack) Restore(content []byte) error {
	claims, rest, err := apart(content)
	if err != nil {
		return err
	}
	view := &wire.SorterView{}
	if err := proto.Unmarshal(rest, view); err != nil {
		return err
	}
	if err := rack.Claims.Restore(claims); err != nil {
		return err
	}
	rack.Guards.Restore(view.Guards)
	rack.Duties.Restore(view.Duties)
	rack.swept = postmark.Micros(view.Swept)
	return nil
}

// apart takes a view's encoded claims out of it.
func apart(view []byte) (claims [][]byte, rest []byte, err error) {
	for len(view) > 0 {
		number, kind, length := protowire.ConsumeField(view)
		if length < 0 {
			return nil, nil, protowire.ParseError(length)
		}
		if number == claimsField && kind == protowire.BytesType {
			_, _, tag := protowire.ConsumeTag(view)
			claim, _ := protowire.ConsumeBytes(view[tag:])
			claims = append(claims, claim)
		} else {
			rest = append(rest, view[:length]...)
		}
		view = view[length:]
	}
	return claims, rest, nil
}

// Waiting tells whether time matters.
func (rack *Rack) Waiting() bool {
	return rack.Guards.Waiting() || rack.Claims.Length() > 0 || len(rack.Duties.Records()) > 0
}
