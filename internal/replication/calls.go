package replication

import (
	"google.golang.org/protobuf/proto"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// call sends a request whose handler doesn't wait for a disk.
func (m *Member) call(name string, kind wire.Kind, request, response proto.Message) error {
	return m.resolver.Call(name, kind, request, response, m.config.CallTimeout)
}

// callVoter sends a request that a voter answers after a sync, and records that the voter responded. The timeout allows for a
// slow disk, because there may be no quorum without that voter.
func (m *Member) callVoter(name string, kind wire.Kind, request, response proto.Message) error {
	return m.callVoterWithTimeout(name, kind, request, response, m.config.LeaseDuration)
}

func (m *Member) callVoterWithTimeout(name string, kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error {
	err := m.resolver.Call(name, kind, request, response, timeout)
	if err == nil {
		m.recordResponse(name)
	}
	return err
}

// gather calls the named processes concurrently and returns the responses received until enough returns true or the timeout
// passes. If enough is nil, it waits for all of them.
func gather[Response any](m *Member, names []string, timeout monotonic.Micros, call func(name string) (Response, error),
	enough func(responses map[string]Response) bool) map[string]Response {
	return host.Gather(m.host, names, timeout, call, func(responses map[string]Response, _ int) bool {
		return enough != nil && enough(responses)
	})
}

// grantResponse is a response that grants or rejects a request.
type grantResponse interface{ GetGranted() bool }

// grantedBy returns the names of the processes whose responses grant the request.
func grantedBy[Response grantResponse](responses map[string]Response) (names []string) {
	for name, response := range responses {
		if response.GetGranted() {
			names = append(names, name)
		}
	}
	return names
}

// HasQuorum reports whether names includes a quorum of a group's voters.
func HasQuorum(voters, names []string) bool { return quorum.Voters(voters).HasQuorum(names) }
