package replication

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
)

// This file keeps the voters' addresses in the register. A message that names a voter also carries its address, because a voter
// that others can't reach doesn't help them to form a quorum.

// learnAddresses adds the voters' addresses in a register value to the resolver. A nil value has none.
func (m *Member) learnAddresses(value *wire.RegisterValue) {
	m.resolver.AddPeers(value.GetVoterAddresses())
}

// withVoterAddresses wraps alter to add the voters' addresses to the value it returns. A voter is left out if its address is neither
// known to the resolver nor in the value that is replaced.
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

// addressesOf returns the known addresses of the named processes, sorted by name.
func (m *Member) addressesOf(names []string) []*wire.PeerAddress {
	return slices.DeleteFunc(m.resolver.Peers(), func(known *wire.PeerAddress) bool { return !slices.Contains(names, known.Name) })
}
