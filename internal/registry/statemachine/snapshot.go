package statemachine

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// claimsField is the field number of the claims in wire.RegistrySnapshot. Claims are most of the state and are stored encoded, so
// Snapshot and Restore copy their bytes instead of encoding and decoding them.
const claimsField protowire.Number = 2

// maxLengthPrefix is the maximum size of a claim record's length prefix in bytes, for records of up to a mebibyte.
var maxLengthPrefix = protowire.SizeVarint(1 << 20)

// Snapshot returns the complete state as an encoded wire.RegistrySnapshot.
func (m *Machine) Snapshot() []byte {
	others := &wire.RegistrySnapshot{Breakers: m.Breakers.Records(), Singletons: m.Leases.Records(), SweptAt: int64(m.lastSweep)}
	options := proto.MarshalOptions{}
	claimsSize := m.Claims.EncodedSize() + m.Claims.Len()*(protowire.SizeTag(claimsField)+maxLengthPrefix)
	content, err := options.MarshalAppend(make([]byte, 0, options.Size(others)+claimsSize), others)
	if err != nil {
		panic(err) // the messages were decoded or built by the tables
	}
	return m.Claims.AppendSnapshot(content, claimsField)
}

// Restore replaces the state by a snapshot; an empty snapshot gives the empty state. The machine uses the content without copying it. On an
// error the state is unchanged.
func (m *Machine) Restore(content []byte) error {
	claims, others, err := splitSnapshot(content)
	if err != nil {
		return err
	}
	snapshot := &wire.RegistrySnapshot{}
	if err := proto.Unmarshal(others, snapshot); err != nil {
		return err
	}
	if err := m.Claims.Restore(claims); err != nil {
		return err
	}
	m.Breakers.Restore(snapshot.Breakers)
	m.Leases.Restore(snapshot.Singletons)
	m.lastSweep = monotonic.Micros(snapshot.SweptAt)
	return nil
}

// splitSnapshot returns the encoded claim records of a snapshot, and its other fields.
func splitSnapshot(snapshot []byte) (claims [][]byte, others []byte, err error) {
	for len(snapshot) > 0 {
		number, kind, length := protowire.ConsumeField(snapshot)
		if length < 0 {
			return nil, nil, protowire.ParseError(length)
		}
		if number == claimsField && kind == protowire.BytesType {
			_, _, tagLength := protowire.ConsumeTag(snapshot)
			claim, _ := protowire.ConsumeBytes(snapshot[tagLength:])
			claims = append(claims, claim)
		} else {
			others = append(others, snapshot[:length]...)
		}
		snapshot = snapshot[length:]
	}
	return claims, others, nil
}
