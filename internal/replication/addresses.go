package replication

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
)

// This file keeps the voters' addresses in the register. Whoever learns that a process votes learns in the same message where it is
// called: a voter that others can't call is no help to them, however many they count.

// learnAddresses passes the voters' addresses in a register value on to the resolver. A nil value has none.
func (m *Member) learnAddresses(value *wire.RegisterValue) {
	m.resolver.AddPeers(value.GetVoterAddresses())
}

// withVoterAddresses returns a function that does what alter does and adds the addresses of the voters to the value. It leaves out
// voters whose address is neither known here nor in the value that is replaced.
func (m *Member) withVoterAddresses(alter alterFunc) alterFunc {
	return func(value *wire.RegisterValue) (*wire.RegisterValue, error) {
		altered, err := alter(value)
		if err != nil {
			return nil, err
		}
		m.learnAddresses(value)
		altered = proto.CloneOf(altered)
		altered.VoterAddresses = m.addressesOf(m.configOf(altered).AllVoters())
		return altered, nil
	}
}

// addressesOf returns the known addresses of some processes, sorted by name.
func (m *Member) addressesOf(names []string) []*wire.PeerAddress {
	return slices.DeleteFunc(m.resolver.Peers(), func(known *wire.PeerAddress) bool { return !slices.Contains(names, known.Name) })
}
