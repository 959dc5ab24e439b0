package replication

import (
	"google.golang.org/protobuf/proto"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// call sends a request that is answered without waiting for a disk.
func (m *Member) call(name string, kind wire.Kind, request, response proto.Message) error {
	return m.resolver.Call(name, kind, request, response, m.config.CallTimeout)
}

// callVoter sends a request that a voter answers after a sync, and records that it responded. The timeout leaves time for a
// slow disk: without the voter it belongs to there may be no quorum.
func (m *Member) callVoter(name string, kind wire.Kind, request, response proto.Message) error {
	return m.callVoterWithin(name, kind, request, response, m.config.LeaseDuration)
}

func (m *Member) callVoterWithin(name string, kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error {
	err := m.resolver.Call(name, kind, request, response, timeout)
	if err == nil {
		m.recordResponse(name)
	}
	return err
}

// gather calls some processes at once and returns the responses that came before enough reported true, or the timeout. A nil
// enough waits for all.
func gather[Response any](m *Member, names []string, timeout monotonic.Micros, call func(name string) (Response, error),
	enough func(responses map[string]Response) bool) map[string]Response {
	return host.Gather(m.host, names, timeout, call, func(responses map[string]Response, _ int) bool {
		return enough != nil && enough(responses)
	})
}

// granting is a response that grants a request or doesn't.
type granting interface{ GetGranted() bool }

// grantedBy returns the names of those whose response grants a request.
func grantedBy[Response granting](responses map[string]Response) (names []string) {
	for name, response := range responses {
		if response.GetGranted() {
			names = append(names, name)
		}
	}
	return names
}

// HasQuorum reports whether some names include a quorum of a group's voters.
func HasQuorum(voters, names []string) bool { return quorum.Voters(voters).HasQuorum(names) }
