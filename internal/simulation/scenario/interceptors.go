package scenario

import (
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// interceptWrites makes a registry process call afterWrite at the moment at which it responds to an acknowledged write.
func (m *Mesh) interceptWrites(node *world.Node, handlers host.Handlers) {
	for _, kind := range []wire.Kind{wire.Kind_claim, wire.Kind_void_claim, wire.Kind_probe_lease, wire.Kind_breaker_write, wire.Kind_singleton_lease} {
		handle := handlers[kind]
		handlers[kind] = func(content []byte) (proto.Message, error) {
			reply, err := handle(content)
			if err == nil && m.afterWrite != nil {
				m.afterWrite(node, kind)
			}
			return reply, err
		}
	}
}

// interceptDesiredPolls makes a configuration store process call onDesiredPoll with each poll of a proxy and its response.
func (m *Mesh) interceptDesiredPolls(handlers host.Handlers) {
	intercept(handlers, wire.Kind_config_poll, func() func(*wire.ConfigPollRequest, *wire.ConfigPollResponse) { return m.onDesiredPoll })
}

// interceptRegistryPolls makes a registry process call onRegistryPoll with each poll of a proxy and its response.
func (m *Mesh) interceptRegistryPolls(registryName string, handlers host.Handlers) {
	intercept(handlers, wire.Kind_registry_poll, func() func(*wire.RegistryPollRequest, *wire.RegistryPollResponse) {
		if m.onRegistryPoll == nil {
			return nil
		}
		return func(request *wire.RegistryPollRequest, response *wire.RegistryPollResponse) {
			m.onRegistryPoll(registryName, request, response)
		}
	})
}

// errMissedAccept is the error that a proposer gets from a process that misses accept requests.
var errMissedAccept = apierror.Lost.New("the request was lost")

// interceptAccepts drops the accept requests to a process while missesAccepts reports that it misses them.
func (m *Mesh) interceptAccepts(name string, handlers host.Handlers) {
	handle := handlers[wire.Kind_accept]
	handlers[wire.Kind_accept] = func(content []byte) (proto.Message, error) {
		if m.missesAccepts != nil && m.missesAccepts(name) {
			return nil, errMissedAccept
		}
		return handle(content)
	}
}

// intercept wraps the handler of a kind of message. It calls hook for each request and passes the request and its response to the
// function that hook returns, unless that is nil. That function may change the response.
func intercept[Request any, RequestPointer interface {
	*Request
	proto.Message
}, Response proto.Message](handlers host.Handlers, kind wire.Kind, hook func() func(RequestPointer, Response)) {
	handle := handlers[kind]
	handlers[kind] = func(content []byte) (proto.Message, error) {
		reply, err := handle(content)
		response, ok := reply.(Response)
		call := hook()
		if err != nil || !ok || call == nil {
			return reply, err
		}
		request := RequestPointer(new(Request))
		if err := proto.Unmarshal(content, request); err != nil {
			return nil, err
		}
		call(request, response)
		return reply, nil
	}
}
